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
#include "prober.h"
#include "record_json.h"
#include "peer_sync.h"

#define FORWARD_CONNECT_US 400000 /* 0.4 s; a first SYN is resent after 1 s */
#define FORWARD_ASK_US 500000     /* 0.5 s for the far node's record */
#define FORWARD_IDLE_US 15000000  /* 15 s; below CONN_POOL_IDLE_TIMEOUT_US */
#define FORWARD_PATH_SIZE 64      /* bytes of a path, with the NUL */

static const http_conn_handlers forward_handlers;

struct forward_attempt {
    runtime *n;
    attempt_request *r;
    const attempt_callbacks *sink;
    void *payload;
    int member;
    http_conn *c;
    size_t sent;
    bool ended; /* all of the body is queued */
    bool answered;
    bool claimed; /* the hop broke, and its answer was asked for anew */
    uint64_t nonce;
    uint64_t incarnation; /* of the far node, as it was known at the start */
    struct sockaddr_in to;
    hop_response reply;
    http_async_call *question;
};

static void
forward_free(forward_attempt *f)
{
    instance_remove_call(f->n->fleet, f->member);
    free(f);
}

static void
forward_fail(forward_attempt *f, enum outcome outcome, enum reason reason,
             bool reached)
{
    attempt_failure failure = {outcome, reason, reached, f->answered,
                               f->member};
    const attempt_callbacks *sink = f->sink;
    void *payload = f->payload;
    forward_free(f);
    sink->failed(&failure, payload);
}

/* The far node has answered for its record of the attempt. */
static void
forward_on_record(const http_async_response *answer, void *payload)
{
    forward_attempt *f = payload;
    f->question = NULL;
    bool confirmed = false;
    if (answer->result == HTTP_ASYNC_COMPLETE && answer->status == 200) {
        json_t *record = json_loadb(answer->body, answer->length, 0, NULL);
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

/* Ask whether the request reached the target; it can't do so any more if
 * the far node says no. */
static void
forward_ask(forward_attempt *f)
{
    char path[FORWARD_PATH_SIZE];
    snprintf(path, sizeof(path), FORWARD_CANCEL_PATH "%" PRIx64, f->nonce);
    http_async_options opts = {
        .method = "POST", .path = path, .timeout_us = FORWARD_ASK_US};
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_async_start(&f->question, f->n->pool, f->n->l, &f->to, &opts,
                         forward_on_record, f) < 0) {
        f->question = NULL;
        forward_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
}

/* The connection broke after all of the request was sent: the far node may
 * have it, and keeps the answer for a moment.  Ask for it on a new
 * connection; nothing is run again. */
static int
forward_claim(forward_attempt *f)
{
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_conn_connect(&f->c, f->n->l, &f->to, FORWARD_CONNECT_US,
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

static void
forward_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    forward_attempt *f = payload;
    bool connected = http_conn_is_connected(c);
    bool claimable = f->ended && !f->answered && !f->claimed &&
                     strcmp(f->r->method, "HEAD") != 0;
    f->c = NULL;
    http_conn_close(c);
    (void)end;
    if (connected && claimable && forward_claim(f) == 0) {
        return;
    }
    if (!connected && !f->claimed) {
        prober_mark_unreachable(f->n->reach, f->member);
        forward_fail(f, OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE, false);
    }
    else if (f->claimed || f->answered || f->r->idempotent) {
        forward_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
    else {
        forward_ask(f);
    }
}

static enum http_conn_head_result
forward_on_head(http_conn *c, const http_head *head, void *payload)
{
    forward_attempt *f = payload;
    if (hop_read_response(&f->reply, http_head_get_field(head, HOP_HEADER)) <
        0) {
        forward_on_end(c, HTTP_CONN_MALFORMED, f);
        return HTTP_CONN_CLOSED;
    }
    if (f->claimed && f->reply.outcome == OUTCOME_NOT_RUN &&
        (f->r->idempotent || f->reply.incarnation != f->incarnation)) {
        /* No record is kept of idempotent ones, nor by another start. */
        f->reply.outcome = OUTCOME_UNKNOWN;
        f->reply.reached = true;
    }
    instance_set_load(f->n->fleet, f->member, &f->reply.report,
                      f->n->l->now_us);
    if (f->reply.reason == REASON_NO_TARGET &&
        f->reply.report.state == INSTANCE_READY) {
        prober_mark_unreachable(f->n->reach,
                                f->member); /* another instance is there */
    }
    runtime_record_overload(f->n, f->r->route, f->reply.origin,
                            &f->reply.chain_overload);
    f->n->heard_us = f->n->l->now_us;
    if (f->reply.config_version > runtime_config_version(f->n)) {
        peer_sync_fetch_state(f->n, &f->to);
    }
    char seconds[FORWARD_PATH_SIZE];
    f->r->retry_after_us = 0;
    if (http_str_copy(seconds, sizeof(seconds),
                      http_head_get_field(head, "Retry-After"))) {
        f->r->retry_after_us =
            (int64_t)(strtod(seconds, NULL) * CLOCK_US_PER_S);
    }
    if (f->reply.outcome == OUTCOME_DONE) {
        f->answered = true;
        f->sink->head(head, f->payload);
    }
    return f->c == NULL ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

static void
forward_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    forward_attempt *f = payload;
    if (f->answered) {
        f->sink->body(bytes, length, f->payload);
    }
}

static void
forward_on_message(http_conn *c, void *payload)
{
    forward_attempt *f = payload;
    f->c = NULL;
    conn_pool_put(f->n->pool, c, f->ended ? CONN_POOL_IDLE_TIMEOUT_US : 0);
    if (f->answered) {
        const attempt_callbacks *sink = f->sink;
        void *owner = f->payload;
        forward_free(f);
        sink->done(owner);
    }
    else {
        forward_fail(f, f->reply.outcome, f->reply.reason, f->reply.reached);
    }
}

static void
forward_on_drain(http_conn *c, void *payload)
{
    (void)c;
    forward_attempt *f = payload;
    forward_send_body(f);
    f->sink->resume_body(f->payload);
}

static const http_conn_handlers forward_handlers = {
    forward_on_head, forward_on_body, forward_on_message, forward_on_drain,
    forward_on_end};

static void
forward_write_head(forward_attempt *f, const char *instance)
{
    const attempt_request *r = f->r;
    hop_request ask = {.config_version = runtime_config_version(f->n),
                       .nonce = f->nonce,
                       .time_left_us = r->deadline_us - f->n->l->now_us,
                       .objective_us = r->objective_us,
                       .priority = r->priority,
                       .peer_port = ntohs(f->n->self.port),
                       .depth = r->depth,
                       .route = r->route,
                       .origin = r->origin,
                       .moved = r->moved,
                       .repeat = r->repeat,
                       .idempotent = r->idempotent};
    g_strlcpy(ask.instance, instance, sizeof(ask.instance));
    if (ask.time_left_us < 0) {
        ask.time_left_us = 0;
    }
    bytebuf *out = http_conn_output(f->c);
    bytebuf_appendf(out, "%s ", r->method);
    bytebuf_append(out, bytebuf_data(&r->target), bytebuf_length(&r->target));
    bytebuf_append_text(out, " HTTP/1.1\r\n");
    bytebuf_append(out, bytebuf_data(&r->fields), bytebuf_length(&r->fields));
    hop_write_request(out, &ask);
    attempt_write_framing(out, r->framing, r->length);
    http_conn_expect_response(f->c, strcmp(r->method, "HEAD") == 0);
}

/* Send the request to a member of the fleet; ERR_UNAVAILABLE where that
 * can't even be tried. */
int
forward_start(forward_attempt **out, runtime *n, attempt_request *r,
              int member, const attempt_callbacks *sink, void *payload)
{
    const instance_record *record = instance_get(n->fleet, member);
    struct sockaddr_in to = record_json_address(record);
    http_conn *c = conn_pool_take(n->pool, &to, FORWARD_IDLE_US);
    if (c == NULL) {
        if (http_conn_connect(&c, n->l, &to, FORWARD_CONNECT_US,
                              &forward_handlers, NULL) < 0) {
            prober_mark_unreachable(n->reach, member);
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
                           .sink = sink,
                           .payload = payload,
                           .member = member,
                           .c = c,
                           .nonce = runtime_random(),
                           .incarnation = record->incarnation,
                           .to = to};
    http_conn_set_handlers(c, &forward_handlers, f);
    counter_add(COUNTER_ATTEMPTS, 1);
    instance_add_call(n->fleet, member);
    forward_write_head(f, record->instance);
    forward_send_body(f);
    *out = f;
    return 0;
}

/* More of the body may have come, or its end. */
void
forward_send_body(forward_attempt *f)
{
    if (f->c == NULL || f->ended) {
        return;
    }
    f->sent = attempt_body_send(f->r, f->sent, f->c);
    if (f->r->body_complete && f->sent == attempt_body_end_offset(f->r)) {
        http_conn_end_body(f->c, f->r->framing);
        f->ended = true;
    }
}

/* Stop or go on taking the answer. */
void
forward_pause_response(forward_attempt *f, bool paused)
{
    if (f->c != NULL) {
        http_conn_set_paused(f->c, paused);
    }
}

/* Give the attempt up: the far node sees the connection close.  The sink
 * hears nothing more. */
void
forward_cancel(forward_attempt *f)
{
    if (f->c != NULL) {
        http_conn_close(f->c);
    }
    http_async_cancel(f->question);
    counter_add(COUNTER_CANCELS, 1);
    forward_free(f);
}
