#include "peer_server_private.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "forward.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "prober.h"
#include "record_json.h"
#include "peer_sync.h"
#include "usage_gate.h"
#include "usage_message.h"

/* Twice the size that callers may send. */
#define PEER_SERVER_HEAD_BYTES_MAX 131072

/* 60 s; above CONN_POOL_IDLE_TIMEOUT_US of the clients. */
#define PEER_SERVER_IDLE_TIMEOUT_US 60000000LL

#define PEER_SERVER_PATH_SIZE 128 /* bytes of a path, with the NUL */
#define PEER_SERVER_NONCE_BASE 16 /* nonces are hexadecimal */

static const http_conn_handlers peer_server_handlers;
static const attempt_callbacks peer_server_attempt_callbacks;

/* Takes a socket accepted at the peers' address. */
void
peer_server_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    runtime *n = payload;
    server_conn *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        log_write(LOG_ERROR, NULL, "out of memory for a peer's connection");
        close(fd);
        return;
    }
    s->n = n;
    s->idle_us = PEER_SERVER_IDLE_TIMEOUT_US;
    if (http_conn_accept(&s->c, n->l, fd, from, PEER_SERVER_HEAD_BYTES_MAX,
                         &peer_server_handlers, s) < 0) {
        free(s);
        return;
    }
    http_conn_enable_keepalive(s->c);
    http_conn_set_deadline(s->c, n->l->now_us + PEER_SERVER_IDLE_TIMEOUT_US);
}

/* Parses the nonce that follows the prefix of a query's path. */
static uint64_t
peer_server_parse_nonce(const char *path, const char *prefix)
{
    return strtoull(path + strlen(prefix), NULL, PEER_SERVER_NONCE_BASE);
}

/* Responds to a query of another node. */
static void
peer_server_handle_query(server_conn *s, const http_head *head)
{
    char path[PEER_SERVER_PATH_SIZE];
    char *text = NULL;
    int status = HTTP_STATUS_OK;
    http_str_copy(path, sizeof(path), http_head_get_target(head));
    if (g_str_has_prefix(path, FORWARD_CLAIM_PATH)) {
        peer_server_claim_response(
            s, peer_server_parse_nonce(path, FORWARD_CLAIM_PATH));
        return;
    }
    if (strcmp(path, PEER_SYNC_STATE_PATH) == 0) {
        text = peer_sync_state_json(s->n);
    }
    else if (strcmp(path, PEER_SYNC_VERSION_PATH) == 0) {
        text = peer_sync_version_json(s->n);
    }
    else if (strcmp(path, PROBER_NODE_PATH) == 0) {
        json_t *record = record_json_encode(&s->n->self);
        text = json_dumps(record, JSON_COMPACT);
        json_decref(record);
    }
    else if (usage_message_is_ask(http_head_get_target(head))) {
        text =
            usage_gate_handle_query(s->n->usage, http_head_get_target(head));
        status = text == NULL ? HTTP_STATUS_BAD_REQUEST : HTTP_STATUS_OK;
    }
    else if (g_str_has_prefix(path, FORWARD_CANCEL_PATH)) {
        uint64_t nonce = peer_server_parse_nonce(path, FORWARD_CANCEL_PATH);
        text = malloc(PEER_SERVER_PATH_SIZE);
        if (text != NULL) {
            snprintf(text, PEER_SERVER_PATH_SIZE,
                     "{\"not_run\":%s,\"incarnation\":%" PRIu64 "}",
                     local_target_revoke_attempt(s->n->local, nonce) ? "true"
                                                                     : "false",
                     s->n->self.incarnation);
        }
    }
    else {
        status = HTTP_STATUS_NOT_FOUND;
    }
    size_t length = text == NULL ? 0 : strlen(text);
    server_conn_write_head(s, status, NULL, HTTP_CONN_BODY_LENGTH,
                           (int64_t)length);
    server_conn_write_body(s, text, length);
    free(text);
    server_conn_end_response(s);
}

/* Receives a request head: responds to a query, or starts a call to the
 * target. */
static enum http_conn_head_result
peer_server_on_head(http_conn *c, const http_head *head, void *payload)
{
    server_conn *s = payload;
    runtime *n = s->n;
    hop_request hop;
    server_conn_begin_request(s, head);
    http_str field = http_head_get_field(head, HOP_HEADER);
    if (field.bytes == NULL) {
        peer_server_handle_query(s, head);
        return HTTP_CONN_ACCEPT;
    }
    bool valid =
        hop_read_request(&hop, field) == 0 &&
        hop_read_workspace(
            &hop, http_head_get_field(head, HOP_WORKSPACE_HEADER)) == 0;
    peer_server_request *q =
        valid ? peer_server_request_new(s, head, &hop) : NULL;
    if (q == NULL) {
        log_write(LOG_WARN, NULL,
                  "invalid hop field in a peer's request, or out of memory");
        http_conn_close(c);
        free(s);
        return HTTP_CONN_CLOSED;
    }
    n->last_peer_contact_us = n->l->now_us;
    runtime_merge_levels(n, &hop.levels);
    config_contact_hear_peer(&n->contact, hop.config_version, n->l->now_us);
    if (hop.config_version > runtime_config_version(n)) {
        struct sockaddr_in from = *http_conn_peer(c);
        from.sin_port = htons((uint16_t)hop.peer_port);
        peer_sync_fetch_state(n, &from);
    }
    attempt_failure failure = {OUTCOME_NOT_RUN,
                               n->closed ? REASON_STOPPING : REASON_NO_TARGET,
                               false, false, INSTANCE_NONE};
    if (local_target_is_instance(n->local, hop.instance)) {
        local_target_recall_rate(n->local, &hop.rate);
    }
    if (n->closed || !local_target_is_instance(n->local, hop.instance) ||
        local_target_start_call(&q->call, n->local, &q->r, hop.nonce,
                                &peer_server_attempt_callbacks, q,
                                &failure) < 0) {
        q->call = NULL;
        peer_server_refuse_request(q, &failure);
        return HTTP_CONN_ACCEPT;
    }
    http_conn_set_deadline(c,
                           q->r.deadline_us + PEER_SERVER_DEADLINE_GRACE_US);
    return HTTP_CONN_ACCEPT;
}

/* Buffers a part of the request body and passes it on; pauses reading while
 * too much is buffered. */
static void
peer_server_on_body(http_conn *c, const char *bytes, size_t length,
                    void *payload)
{
    server_conn *s = payload;
    peer_server_request *q = s->request;
    if (q == NULL) {
        return; /* already refused */
    }
    attempt_body_append(&q->r, bytes, length);
    local_target_send_body(q->call);
    if (bytebuf_length(&q->r.body) > ATTEMPT_BODY_BUFFERED_BYTES_MAX) {
        http_conn_set_paused(c, true);
    }
}

/* The whole request has been read. */
static void
peer_server_on_message(http_conn *c, void *payload)
{
    (void)c;
    server_conn *s = payload;
    peer_server_request *q = s->request;
    if (q != NULL) {
        q->r.body_complete = true;
        local_target_send_body(q->call);
    }
    server_conn_end_request(s);
}

/* The connection drained: resumes reading the response of the target. */
static void
peer_server_on_drain(http_conn *c, void *payload)
{
    (void)c;
    server_conn *s = payload;
    peer_server_request *q = s->request;
    if (q != NULL) {
        local_target_pause_response(q->call, false);
    }
}

/* Responds to a malformed or oversized request before the connection closes,
 * unless a response has been started; that before it is written out in any
 * case. */
static void
peer_server_reject_request(server_conn *s, int status)
{
    const peer_server_request *q = s->request;
    if (q != NULL && q->response_started) {
        return;
    }
    if (q != NULL || !s->in_exchange) {
        s->close_after = true;
        counter_add_reason(REASON_BAD_REQUEST);
        server_conn_write_head(s, status, NULL, HTTP_CONN_BODY_LENGTH, 0);
    }
    http_conn_linger(s->c);
}

/* The peer cancelled the request, or the connection broke.  After a reset the
 * request may be retained, so that the peer can claim its response. */
static void
peer_server_on_end(http_conn *c, enum http_conn_close_reason end,
                   void *payload)
{
    server_conn *s = payload;
    peer_server_request *q = s->request;
    int status = http_conn_error_status(c, end);
    if (status != 0 && end != HTTP_CONN_TIMEOUT) {
        peer_server_reject_request(s, status);
    }
    if (q != NULL &&
        !(end == HTTP_CONN_RESET && peer_server_retain_request(q))) {
        counter_add_reason(REASON_CANCELLED);
        if (q->call != NULL) {
            local_target_cancel_call(q->call);
        }
        peer_server_request_free(q);
    }
    free(s);
}

static const http_conn_handlers peer_server_handlers = {
    peer_server_on_head, peer_server_on_body, peer_server_on_message,
    peer_server_on_drain, peer_server_on_end};

/* Relays the response head with a hop field, or saves it while the connection
 * is broken. */
static void
peer_server_on_response_head(const http_head *head, void *payload)
{
    peer_server_request *q = payload;
    bytebuf fields = {0};
    q->response_started = true;
    http_head_write_fields(&fields, head, peer_server_skip_field, NULL);
    peer_server_write_hop_header(q->n, &q->hop, &fields, OUTCOME_DONE,
                                 REASON_NONE, true);
    if (q->s == NULL) {
        q->saved.head_received = true;
        q->saved.status = head->status;
        q->saved.fields = fields;
        q->saved.framing = server_conn_response_framing(head);
        q->saved.length = head->content_length;
        return;
    }
    server_conn_write_head(q->s, head->status, &fields,
                           server_conn_response_framing(head),
                           head->content_length);
    bytebuf_clear(&fields);
}

/* Relays or saves a part of the response body. */
static void
peer_server_on_response_body(const char *bytes, size_t length, void *payload)
{
    peer_server_request *q = payload;
    if (q->s == NULL) {
        peer_server_buffer_body(q, bytes, length);
        return;
    }
    server_conn_write_body(q->s, bytes, length);
    if (http_conn_queued_bytes(q->s->c) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        local_target_pause_response(q->call, true);
    }
}

/* The response is complete, or saved as a whole. */
static void
peer_server_on_done(void *payload)
{
    peer_server_request *q = payload;
    q->call = NULL;
    if (q->s == NULL) {
        q->saved.complete = true;
    }
    else {
        peer_server_finish_request(q);
    }
}

/* The call failed: refuses the request, or keeps the failure for a claim.  If
 * a part of the response was already sent, the connection is reset. */
static void
peer_server_on_failed(const attempt_failure *failure, void *payload)
{
    peer_server_request *q = payload;
    q->call = NULL;
    if (q->s == NULL) {
        q->failed = true;
        q->failure = *failure;
    }
    else if (q->response_started) {
        http_conn_reset(
            q->s->c); /* peer_server_on_end() releases the request */
    }
    else {
        peer_server_refuse_request(q, failure);
    }
}

/* Resumes reading of the request body. */
static void
peer_server_on_resume_body(void *payload)
{
    peer_server_request *q = payload;
    if (q->s != NULL) {
        http_conn_set_paused(q->s->c, false);
    }
}

static const attempt_callbacks peer_server_attempt_callbacks = {
    peer_server_on_response_head, peer_server_on_response_body,
    peer_server_on_done, peer_server_on_failed, peer_server_on_resume_body};
