#include "forward.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_async.h"
#include "hop.h"
#include "conn_pool.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/err.h"
#include "lav/log.h"
#include "prober.h"
#include "record_json.h"
#include "peer_sync.h"

/* 0.4 s; the kernel resends a lost SYN only after 1 s. */
#define FORWARD_CONNECT_TIMEOUT_US 400000

/* 0.5 s for the peer's dispatch record. */
#define FORWARD_QUERY_TIMEOUT_US 500000

/* 15 s; below CONN_POOL_IDLE_TIMEOUT_US. */
#define FORWARD_MAX_IDLE_US 15000000

#define FORWARD_PATH_SIZE 64   /* bytes of a path, with the NUL */
#define FORWARD_NUMBER_SIZE 64 /* bytes of a number in a field, with the NUL */

static const http_conn_handlers forward_handlers;

struct forward_attempt {
    runtime *n;
    attempt_request *r;
    const attempt_callbacks *callbacks;
    void *payload;
    int member;
    http_conn *c;
    size_t sent;    /* body offset up to which bytes are queued */
    bool body_sent; /* all of the body is queued */
    bool response_started;
    bool claimed; /* the connection broke and the response was claimed */
    uint64_t nonce;
    uint64_t incarnation; /* of the peer, as known at the start */
    instance_start to_instance;
    struct sockaddr_in to;
    hop_response response;
    http_async_call *record_query; /* NULL: none pending */
};

/* Releases the attempt and its share of the member's calls in flight. */
static void
forward_free(forward_attempt *f)
{
    instance_remove_call(f->n->fleet, f->member);
    free(f);
}

/* Ends the attempt with a failure. */
static void
forward_fail(forward_attempt *f, enum outcome outcome, enum reason reason,
             bool reached)
{
    attempt_failure failure = {outcome, reason, reached, f->response_started,
                               f->member};
    const attempt_callbacks *callbacks = f->callbacks;
    void *payload = f->payload;
    forward_free(f);
    callbacks->failed(&failure, payload);
}

/* Handles the peer's dispatch record of the attempt.  The request has not run
 * only if the same incarnation of the peer that it was sent to says so. */
static void
forward_on_record(const http_async_response *response, void *payload)
{
    forward_attempt *f = payload;
    f->record_query = NULL;
    bool confirmed = false;
    if (response->result == HTTP_ASYNC_COMPLETE && response->status == 200) {
        json_t *record = json_loadb(response->body, response->length, 0, NULL);
        const json_t *refused = json_object_get(record, "not_run");
        const json_t *start = json_object_get(record, "incarnation");
        confirmed = json_is_true(refused) && json_is_integer(start) &&
                    (uint64_t)json_integer_value(start) == f->incarnation;
        json_decref(record);
    }
    if (confirmed) {
        forward_fail(f, OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE, false);
    }
    else {
        forward_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
}

/* Queries the peer whether the request was dispatched to its target.  If not,
 * the peer refuses the attempt from then on. */
static void
forward_query_record(forward_attempt *f)
{
    char path[FORWARD_PATH_SIZE];
    snprintf(path, sizeof(path), FORWARD_CANCEL_PATH "%" PRIx64, f->nonce);
    http_async_options opts = {.method = "POST",
                               .path = path,
                               .timeout_us = FORWARD_QUERY_TIMEOUT_US};
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_async_start(&f->record_query, f->n->pool, f->n->l, &f->to, &opts,
                         forward_on_record, f) < 0) {
        f->record_query = NULL;
        forward_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
}

/* Claims the response on a new connection, after the previous one broke when
 * the whole request had been sent.  The peer may have received it, and retains
 * the response for a moment; nothing is run again.  ERR_UNAVAILABLE if no
 * connection can be opened. */
static int
forward_claim_response(forward_attempt *f)
{
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_conn_connect(&f->c, f->n->l, &f->to, FORWARD_CONNECT_TIMEOUT_US,
                          &forward_handlers, f) < 0) {
        f->c = NULL;
        return ERR_UNAVAILABLE;
    }
    f->claimed = true;
    http_conn_enable_keepalive(f->c);
    bytebuf_appendf(http_conn_output(f->c),
                    "GET " FORWARD_CLAIM_PATH "%" PRIx64 " HTTP/1.1\r\n"
                    "Host: peer\r\n\r\n",
                    f->nonce);
    http_conn_expect_response(f->c, false);
    counter_add_reason(REASON_REPLY_CLAIMED);
    return 0;
}

/* The connection closed or broke before the response was complete. */
static void
forward_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    forward_attempt *f = payload;
    bool connected = http_conn_is_connected(c);
    bool claimable = f->body_sent && !f->response_started && !f->claimed &&
                     strcmp(f->r->method, "HEAD") != 0;
    f->c = NULL;
    http_conn_close(c);
    (void)end;
    if (connected && claimable && forward_claim_response(f) == 0) {
        return;
    }
    if (!connected && !f->claimed) {
        prober_mark_unreachable(f->n->prober, f->member);
        forward_fail(f, OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE, false);
    }
    else if (f->claimed || f->response_started || f->r->idempotent) {
        forward_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
    else {
        forward_query_record(f);
    }
}

/* Whether a response head is the peer's response to this attempt. */
static bool
forward_read_response(forward_attempt *f, const http_head *head)
{
    if (hop_read_response(&f->response,
                          http_head_get_field(head, HOP_HEADER)) < 0) {
        return false;
    }
    if (f->response.nonce == f->nonce || f->response.nonce == 0) {
        return true;
    }
    if (log_allow_line("foreign_answer", LOG_LINES_PER_S)) {
        const instance_record *record = instance_get(f->n->fleet, f->member);
        log_event(LOG_WARN, "foreign_answer", f->r->id, "{s:s}", "node",
                  record == NULL ? "" : record->node);
    }
    return false;
}

/* Evaluates the peer's response head: load report, overload, configuration
 * version and outcome. */
static enum http_conn_head_result
forward_on_head(http_conn *c, const http_head *head, void *payload)
{
    forward_attempt *f = payload;
    if (!forward_read_response(f, head)) {
        forward_on_end(c, HTTP_CONN_MALFORMED, f);
        return HTTP_CONN_CLOSED;
    }
    if (f->claimed && f->response.outcome == OUTCOME_NOT_RUN &&
        (f->r->idempotent || f->response.incarnation != f->incarnation)) {
        /* The peer keeps no dispatch record of idempotent requests, and
         * loses its records when it restarts. */
        f->response.outcome = OUTCOME_UNKNOWN;
        f->response.reached = true;
    }
    instance_set_load(f->n->fleet, f->member, &f->response.report,
                      f->n->l->now_us);
    if (f->response.reason != REASON_NO_TARGET) {
        instance_note_report(f->n->fleet, f->member, &f->to_instance,
                             &f->response.report,
                             runtime_drain_cutoff_us(f->n), f->n->l->now_us);
        if (f->response.report.state == INSTANCE_DRAINING) {
            prober_watch_leaving(f->n->prober);
        }
    }
    if (f->response.reason == REASON_NO_TARGET &&
        f->response.report.state == INSTANCE_READY) {
        prober_mark_replaced(f->n->prober, f->member);
    }
    runtime_merge_levels(f->n, &f->response.levels);
    if (f->response.outcome == OUTCOME_DONE && f->response.own_level > 0) {
        runtime_merge_target_level(f->n,
                                   runtime_member_service(f->n, f->member),
                                   f->response.own_level);
    }
    runtime_record_overload(f->n, f->r->route,
                            runtime_member_service(f->n, f->member),
                            f->response.origin, &f->response.chain_overload);
    f->n->last_peer_contact_us = f->n->l->now_us;
    config_contact_hear_peer(&f->n->contact, f->response.config_version,
                             f->n->l->now_us);
    if (f->response.config_version > runtime_config_version(f->n)) {
        peer_sync_fetch_state(f->n, &f->to);
    }
    char seconds[FORWARD_NUMBER_SIZE];
    f->r->retry_after_us = 0;
    if (http_str_copy(seconds, sizeof(seconds),
                      http_head_get_field(head, "Retry-After"))) {
        f->r->retry_after_us =
            (int64_t)(strtod(seconds, NULL) * CLOCK_US_PER_S);
    }
    if (f->response.outcome == OUTCOME_DONE) {
        f->response_started = true;
        f->callbacks->head(head, f->payload);
    }
    return f->c == NULL ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

/* Passes a part of the response body on, unless the response is an error of
 * the peer itself. */
static void
forward_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    forward_attempt *f = payload;
    if (f->response_started) {
        f->callbacks->body(bytes, length, f->payload);
    }
}

/* The response is complete: returns the connection to the pool and ends the
 * attempt. */
static void
forward_on_message(http_conn *c, void *payload)
{
    forward_attempt *f = payload;
    f->c = NULL;
    conn_pool_put(f->n->pool, c, f->body_sent ? CONN_POOL_IDLE_TIMEOUT_US : 0);
    if (f->response_started) {
        const attempt_callbacks *callbacks = f->callbacks;
        void *owner = f->payload;
        forward_free(f);
        callbacks->done(owner);
    }
    else {
        forward_fail(f, f->response.outcome, f->response.reason,
                     f->response.reached);
    }
}

/* The output buffer drained: sends more of the body and resumes its source. */
static void
forward_on_drain(http_conn *c, void *payload)
{
    (void)c;
    forward_attempt *f = payload;
    forward_send_body(f);
    f->callbacks->resume_body(f->payload);
}

static const http_conn_handlers forward_handlers = {
    forward_on_head, forward_on_body, forward_on_message, forward_on_drain,
    forward_on_end};

/* Writes the request head with its hop field. */
static void
forward_write_head(forward_attempt *f, const char *instance)
{
    const attempt_request *r = f->r;
    hop_request hop = {.config_version = runtime_config_version(f->n),
                       .nonce = f->nonce,
                       .time_left_us = r->deadline_us - f->n->l->now_us,
                       .objective_us = r->objective_us,
                       .priority = r->priority,
                       .peer_port = ntohs(f->n->self.port),
                       .depth = r->depth,
                       .route = r->route,
                       .origin = r->origin,
                       .rerouted = r->rerouted,
                       .resent = r->resent,
                       .retry_probability = r->retry_probability,
                       .idempotent = r->idempotent,
                       .weight = r->weight,
                       .workspace = r->workspace,
                       .rate = instance_get_rate(f->n->fleet, f->member)};
    g_strlcpy(hop.instance, instance, sizeof(hop.instance));
    runtime_list_levels(&hop.levels, f->n, 0);
    if (hop.time_left_us < 0) {
        hop.time_left_us = 0;
    }
    bytebuf *out = http_conn_output(f->c);
    bytebuf_appendf(out, "%s ", r->method);
    bytebuf_append(out, bytebuf_data(&r->target), bytebuf_length(&r->target));
    bytebuf_append_text(out, " HTTP/1.1\r\n");
    bytebuf_append(out, bytebuf_data(&r->fields), bytebuf_length(&r->fields));
    hop_write_request(out, &hop);
    attempt_write_framing(out, r->framing, r->length);
    http_conn_expect_response(f->c, strcmp(r->method, "HEAD") == 0);
}

/* Starts forwarding the request to a member of the fleet.  On an error
 * (ERR_UNAVAILABLE, ERR_NO_MEMORY) nothing was sent and no callback
 * follows. */
int
forward_start(forward_attempt **out, runtime *n, attempt_request *r,
              int member, const attempt_callbacks *callbacks, void *payload)
{
    const instance_record *record = instance_get(n->fleet, member);
    struct sockaddr_in to = record_json_address(record);
    http_conn *c = conn_pool_take(n->pool, &to, FORWARD_MAX_IDLE_US);
    if (c == NULL) {
        if (http_conn_connect(&c, n->l, &to, FORWARD_CONNECT_TIMEOUT_US,
                              &forward_handlers, NULL) < 0) {
            prober_mark_unreachable(n->prober, member);
            return ERR_UNAVAILABLE;
        }
        http_conn_enable_keepalive(c);
    }
    forward_attempt *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        http_conn_close(c);
        return ERR_NO_MEMORY;
    }
    *f = (forward_attempt){.n = n,
                           .r = r,
                           .callbacks = callbacks,
                           .payload = payload,
                           .member = member,
                           .c = c,
                           .nonce = runtime_random(),
                           .incarnation = record->incarnation,
                           .to_instance = {.born_ms = record->born_ms},
                           .to = to};
    g_strlcpy(f->to_instance.instance, record->instance,
              sizeof(f->to_instance.instance));
    http_conn_set_handlers(c, &forward_handlers, f);
    counter_add(COUNTER_ATTEMPTS, 1);
    instance_add_call(n->fleet, member);
    forward_write_head(f, record->instance);
    forward_send_body(f);
    *out = f;
    return 0;
}

/* Sends the part of the body received since the last call, and its end. */
void
forward_send_body(forward_attempt *f)
{
    if (f->c == NULL || f->body_sent) {
        return;
    }
    f->sent = attempt_body_send(f->r, f->sent, f->c);
    if (f->r->body_complete && f->sent == attempt_body_end_offset(f->r)) {
        http_conn_end_body(f->c, f->r->framing);
        f->body_sent = true;
    }
}

/* Pauses or resumes reading of the response. */
void
forward_pause_response(forward_attempt *f, bool paused)
{
    if (f->c != NULL) {
        http_conn_set_paused(f->c, paused);
    }
}

/* Ends the attempt early, as this node is about to end: it fails at once, or
 * when the peer has said whether a request that must not be repeated ran. */
void
forward_end(forward_attempt *f)
{
    if (f->record_query != NULL) {
        return; /* already asked */
    }
    bool connected = f->c != NULL && http_conn_is_connected(f->c);
    if (f->c != NULL) {
        http_conn_close(f->c);
        f->c = NULL;
    }
    if (!connected && !f->claimed) {
        forward_fail(f, OUTCOME_NOT_RUN, REASON_STOPPING, false);
    }
    else if (f->claimed || f->response_started || f->r->idempotent) {
        forward_fail(f, OUTCOME_UNKNOWN, REASON_STOPPING, true);
    }
    else {
        forward_query_record(f);
    }
}

/* Cancels the attempt: the peer sees the connection close.  No callback
 * follows. */
void
forward_cancel(forward_attempt *f)
{
    if (f->c != NULL) {
        http_conn_close(f->c);
    }
    http_async_cancel(f->record_query);
    counter_add(COUNTER_CANCELS, 1);
    forward_free(f);
}
