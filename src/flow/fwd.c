#include "fwd.h"

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
#include "rch.h"
#include "rec.h"
#include "syc.h"

#define FWD_CONNECT_US 400000 /* 0.4 s; a first SYN is resent after 1 s */
#define FWD_ASK_US 500000     /* 0.5 s for the far node's record */
#define FWD_IDLE_US 15000000  /* 15 s; below CONN_POOL_IDLE_TIMEOUT_US */
#define FWD_PATH_SIZE 64      /* bytes of a path, with the NUL */

static const http_conn_handlers fwd_handlers;

struct fwd {
    nod *n;
    att_request *r;
    const att_sink *sink;
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
    hop_reply reply;
    http_async_call *question;
};

static void
fwd_free(fwd *f)
{
    instance_remove_call(f->n->fleet, f->member);
    free(f);
}

static void
fwd_fail(fwd *f, enum outcome outcome, enum reason reason, bool reached)
{
    att_failure failure = {outcome, reason, reached, f->answered, f->member};
    const att_sink *sink = f->sink;
    void *payload = f->payload;
    fwd_free(f);
    sink->failed(&failure, payload);
}

/* The far node has answered for its record of the attempt. */
static void
fwd_on_record(const http_async_response *answer, void *payload)
{
    fwd *f = payload;
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
        fwd_fail(f, OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE, false);
    }
    else {
        fwd_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
}

/* Ask whether the request reached the target; it can't do so any more if
 * the far node says no. */
static void
fwd_ask(fwd *f)
{
    char path[FWD_PATH_SIZE];
    snprintf(path, sizeof(path), FWD_CANCEL_PATH "%" PRIx64, f->nonce);
    http_async_options opts = {
        .method = "POST", .path = path, .timeout_us = FWD_ASK_US};
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_async_start(&f->question, f->n->pool, f->n->l, &f->to, &opts,
                         fwd_on_record, f) < 0) {
        f->question = NULL;
        fwd_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
}

/* The connection broke after all of the request was sent: the far node may
 * have it, and keeps the answer for a moment.  Ask for it on a new
 * connection; nothing is run again. */
static int
fwd_claim(fwd *f)
{
    conn_pool_close_idle(f->n->pool, &f->to);
    if (http_conn_connect(&f->c, f->n->l, &f->to, FWD_CONNECT_US,
                          &fwd_handlers, f) < 0) {
        f->c = NULL;
        return ERR_UNAVAILABLE;
    }
    f->claimed = true;
    http_conn_enable_keepalive(f->c);
    bytebuf_appendf(http_conn_output(f->c),
                    "GET " FWD_CLAIM_PATH "%" PRIx64 " HTTP/1.1\r\n"
                    "Host: peer\r\n\r\n",
                    f->nonce);
    http_conn_expect_response(f->c, false);
    counter_add_reason(REASON_REPLY_CLAIMED);
    return 0;
}

static void
fwd_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    fwd *f = payload;
    bool connected = http_conn_is_connected(c);
    bool claimable = f->ended && !f->answered && !f->claimed &&
                     strcmp(f->r->method, "HEAD") != 0;
    f->c = NULL;
    http_conn_close(c);
    (void)end;
    if (connected && claimable && fwd_claim(f) == 0) {
        return;
    }
    if (!connected && !f->claimed) {
        rch_lost(f->n->reach, f->member);
        fwd_fail(f, OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE, false);
    }
    else if (f->claimed || f->answered || f->r->idempotent) {
        fwd_fail(f, OUTCOME_UNKNOWN, REASON_REPLY_LOST, true);
    }
    else {
        fwd_ask(f);
    }
}

static enum http_conn_head_result
fwd_on_head(http_conn *c, const http_head *head, void *payload)
{
    fwd *f = payload;
    if (hop_read_reply(&f->reply, http_head_get_field(head, HOP_FIELD)) < 0) {
        fwd_on_end(c, HTTP_CONN_MALFORMED, f);
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
        rch_lost(f->n->reach, f->member); /* another instance is there */
    }
    nod_heard(f->n, f->r->route, f->reply.origin, &f->reply.chain_overload);
    f->n->heard_us = f->n->l->now_us;
    if (f->reply.config_version > nod_version(f->n)) {
        syc_fetch(f->n, &f->to);
    }
    char seconds[FWD_PATH_SIZE];
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
fwd_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    fwd *f = payload;
    if (f->answered) {
        f->sink->body(bytes, length, f->payload);
    }
}

static void
fwd_on_message(http_conn *c, void *payload)
{
    fwd *f = payload;
    f->c = NULL;
    conn_pool_put(f->n->pool, c, f->ended ? CONN_POOL_IDLE_TIMEOUT_US : 0);
    if (f->answered) {
        const att_sink *sink = f->sink;
        void *owner = f->payload;
        fwd_free(f);
        sink->done(owner);
    }
    else {
        fwd_fail(f, f->reply.outcome, f->reply.reason, f->reply.reached);
    }
}

static void
fwd_on_drain(http_conn *c, void *payload)
{
    (void)c;
    fwd *f = payload;
    fwd_body(f);
    f->sink->wants_body(f->payload);
}

static const http_conn_handlers fwd_handlers = {
    fwd_on_head, fwd_on_body, fwd_on_message, fwd_on_drain, fwd_on_end};

static void
fwd_write_head(fwd *f, const char *instance)
{
    const att_request *r = f->r;
    hop_ask ask = {.config_version = nod_version(f->n),
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
    hop_write_ask(out, &ask);
    att_write_framing(out, r->framing, r->length);
    http_conn_expect_response(f->c, strcmp(r->method, "HEAD") == 0);
}

/* Send the request to a member of the fleet; ERR_UNAVAILABLE where that
 * can't even be tried. */
int
fwd_start(fwd **out, nod *n, att_request *r, int member, const att_sink *sink,
          void *payload)
{
    const instance_record *record = instance_get(n->fleet, member);
    struct sockaddr_in to = rec_address(record);
    http_conn *c = conn_pool_take(n->pool, &to, FWD_IDLE_US);
    if (c == NULL) {
        if (http_conn_connect(&c, n->l, &to, FWD_CONNECT_US, &fwd_handlers,
                              NULL) < 0) {
            rch_lost(n->reach, member);
            return ERR_UNAVAILABLE;
        }
        http_conn_enable_keepalive(c);
    }
    fwd *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        http_conn_close(c);
        return ERR_NO_MEMORY;
    }
    *f = (fwd){.n = n,
               .r = r,
               .sink = sink,
               .payload = payload,
               .member = member,
               .c = c,
               .nonce = nod_random(),
               .incarnation = record->incarnation,
               .to = to};
    http_conn_set_handlers(c, &fwd_handlers, f);
    counter_add(COUNTER_ATTEMPTS, 1);
    instance_add_call(n->fleet, member);
    fwd_write_head(f, record->instance);
    fwd_body(f);
    *out = f;
    return 0;
}

/* More of the body may have come, or its end. */
void
fwd_body(fwd *f)
{
    if (f->c == NULL || f->ended) {
        return;
    }
    f->sent = att_body_send(f->r, f->sent, f->c);
    if (f->r->body_complete && f->sent == att_body_end(f->r)) {
        http_conn_end_body(f->c, f->r->framing);
        f->ended = true;
    }
}

/* Stop or go on taking the answer. */
void
fwd_pause(fwd *f, bool paused)
{
    if (f->c != NULL) {
        http_conn_set_paused(f->c, paused);
    }
}

/* Give the attempt up: the far node sees the connection close.  The sink
 * hears nothing more. */
void
fwd_cancel(fwd *f)
{
    if (f->c != NULL) {
        http_conn_close(f->c);
    }
    http_async_cancel(f->question);
    counter_add(COUNTER_CANCELS, 1);
    fwd_free(f);
}
