#include "frontend_identity.h"

#include <glib.h>
#include <string.h>

#include "frontend_log.h"
#include "lav/identity.h"
#include "lav/retry_after.h"

/* Looks up the workspace of the request's key in the desired state in
 * force. */
static enum identity_verdict
frontend_identity_lookup(frontend_request *q, bool exempt)
{
    const runtime *n = q->n;
    identity_question question = {
        .workspaces = routing_get_workspaces(n->routes),
        .exempt = exempt,
        .may_be_outdated = config_contact_may_be_outdated(
            &n->contact, runtime_config_version(n),
            instance_count(n->fleet) > 1, n->l->now_us),
        .key = q->identity.key,
        .length = q->identity.key == NULL ? 0 : strlen(q->identity.key)};
    enum identity_verdict verdict =
        identity_decide(&q->identity.entry, &question);
    q->identity.version = runtime_config_version(n);
    q->identity.checked = question.workspaces != NULL;
    return verdict;
}

/* Copies the key that a request bears: one field, not malformed. */
static void
frontend_identity_copy_key(frontend_request *q, const http_head *head)
{
    const char *name = q->n->header_names->authorization;
    const char *key = NULL;
    size_t length = 0;
    http_str value = http_head_get_field(head, name);
    if (http_head_count_field(head, name) == 1 &&
        identity_parse_bearer(&key, &length, value.bytes, value.length)) {
        q->identity.key = g_strndup(key, length);
    }
}

/* Returns the status of the response to a request whose key has the given
 * verdict, with its reason; 0 if it may go on. */
static int
frontend_identity_status(frontend_request *q, enum identity_verdict verdict,
                         enum reason *reason)
{
    switch (verdict) {
    case IDENTITY_NOT_ASKED:
    case IDENTITY_KNOWN:
        return 0;
    case IDENTITY_UNKNOWN:
        *reason = REASON_UNKNOWN_KEY;
        return HTTP_STATUS_UNAUTHORIZED;
    case IDENTITY_UNSURE:
        *reason = REASON_KEY_NOT_CONFIRMED;
        q->r.retry_after_us = RETRY_AFTER_NO_TARGET_US;
        return HTTP_STATUS_SERVICE_UNAVAILABLE;
    }
    return 0;
}

/* Finds the workspace of a request whose head was received.  Returns 0, or the
 * status of the error response with its reason. */
int
frontend_identify(frontend_request *q, const http_head *head,
                  const routing_route *route, enum reason *reason)
{
    if (routing_get_workspaces(q->n->routes) != NULL && !route->auth_exempt) {
        frontend_identity_copy_key(q, head);
    }
    q->identity.exempt = route->auth_exempt;
    int status = frontend_identity_status(
        q, frontend_identity_lookup(q, route->auth_exempt), reason);
    if (status != 0) {
        frontend_log_refused_key(q, status, *reason);
    }
    return status;
}

/* Sets what the workspace determines: its name in the last field to forward,
 * and the priority.  Does nothing for a request of no workspace. */
void
frontend_set_workspace(frontend_request *q, int route_priority)
{
    const workspace *entry = q->identity.entry;
    q->identity.route_priority = route_priority;
    if (entry == NULL) {
        return;
    }
    if (q->identity.fields_end == 0) {
        q->identity.fields_end = bytebuf_length(&q->r.fields);
    }
    bytebuf_truncate(&q->r.fields, q->identity.fields_end);
    bytebuf_appendf(&q->r.fields, "%s: %s\r\n", q->n->header_names->workspace,
                    entry->name);
    q->r.workspace = entry->id;
    q->r.priority = identity_priority(entry, route_priority);
    q->identity.entry = NULL; /* belongs to a desired state that may go */
}

/* Looks up the key of a waiting request again if another desired state has
 * come into force.  False if the request must not be sent any more; it was
 * then responded to and released. */
bool
frontend_identity_recheck(frontend_request *q)
{
    if (q->identity.version == runtime_config_version(q->n)) {
        return true;
    }
    enum reason reason = REASON_NONE;
    bool was_checked = q->identity.checked;
    enum identity_verdict verdict =
        frontend_identity_lookup(q, q->identity.exempt);
    if (!was_checked && q->identity.checked && !q->identity.exempt) {
        /* Its key was not read, and is among its fields. */
        verdict = IDENTITY_UNSURE;
    }
    int status = frontend_identity_status(q, verdict, &reason);
    if (status == 0) {
        frontend_set_workspace(q, q->identity.route_priority);
        return true;
    }
    if (q->may_have_run) {
        status = HTTP_STATUS_BAD_GATEWAY;
    }
    frontend_cancel_attempt(q);
    frontend_log_refused_key(q, status, reason);
    frontend_respond_error(q, status, reason);
    return false;
}

/* Whether a request waits at this node: it has not been sent to a peer or the
 * target. */
static bool
frontend_is_waiting(const frontend_request *q)
{
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_NONE:
        return true;
    case FRONTEND_ATTEMPT_LOCAL:
        return local_target_call_is_queued(q->attempt.handle.local);
    case FRONTEND_ATTEMPT_PEER:
        return false;
    }
    return false;
}

/* Another desired state came into force: refuses the waiting requests whose
 * keys it has withdrawn. */
void
frontend_on_config(runtime *n)
{
    GList *next = NULL;
    for (GList *link = n->caller_requests.head; link != NULL; link = next) {
        frontend_request *q = link->data;
        next = link->next;
        if (frontend_is_waiting(q)) {
            frontend_identity_recheck(q);
        }
    }
}
