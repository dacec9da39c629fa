#include "prs_private.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fwd.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "rch.h"
#include "rec.h"
#include "syc.h"

#define PRS_HEAD_MAX 131072 /* bytes; twice what callers may send */
#define PRS_IDLE_US                                                           \
    60000000LL /* 60 s; over CONN_POOL_IDLE_TIMEOUT_US of the clients */
#define PRS_PATH_SIZE 128 /* bytes of a path, with the NUL */
#define PRS_HEX 16        /* base of a nonce */
static const http_conn_handlers prs_handlers;
static const att_sink prs_sink;

/* A socket was accepted at the peers' address. */
void
prs_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    nod *n = payload;
    rsp *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        log_write(LOG_ERROR, NULL, "no memory for a peer's connection");
        close(fd);
        return;
    }
    s->n = n;
    s->idle_us = PRS_IDLE_US;
    if (http_conn_accept(&s->c, n->l, fd, from, PRS_HEAD_MAX, &prs_handlers,
                         s) < 0) {
        free(s);
        return;
    }
    http_conn_enable_keepalive(s->c);
    http_conn_set_deadline(s->c, n->l->now_us + PRS_IDLE_US);
}

/* Release a request whose call is over. */
void
prs_free(prs_request *q)
{
    nod *n = q->n;
    n->requests--;
    if (g_hash_table_lookup(n->claims, &q->ask.nonce) == q) {
        g_hash_table_remove(n->claims, &q->ask.nonce);
    }
    ev_timer_stop(n->l->loop, &q->forget);
    bytebuf_clear(&q->kept.fields);
    bytebuf_clear(&q->kept.body);
    att_request_clear(&q->r);
    free(q);
}

static void
prs_write_reply(nod *n, uint32_t route, bytebuf *fields, enum outcome outcome,
                enum reason reason, bool reached)
{
    hop_reply reply = {.outcome = outcome,
                       .reason = reason,
                       .reached = reached,
                       .config_version = nod_version(n),
                       .incarnation = n->self.incarnation,
                       .report = lcl_report(n->local),
                       .origin = downstream_route_origin(n->chains, route),
                       .chain_overload = lcl_strain(n->local, route)};
    hop_write_reply(fields, &reply);
}

/* The answer is complete. */
void
prs_finish(prs_request *q)
{
    rsp *s = q->s;
    prs_free(q);
    rsp_end(s);
}

/* Write that a request on a route was refused, or failed. */
void
prs_fail(rsp *s, uint32_t route, const att_failure *failure)
{
    nod *n = s->n;
    bytebuf fields = {0};
    bool not_run = failure->outcome == OUTCOME_NOT_RUN;
    counter_add_reason(failure->reason);
    prs_write_reply(n, route, &fields, failure->outcome, failure->reason,
                    failure->reached);
    if (not_run) {
        bytebuf_appendf(&fields, "Retry-After: %.3f\r\n",
                        (double)lcl_retry_after_us(n->local) / CLOCK_US_PER_S);
    }
    rsp_head(
        s, not_run ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_BAD_GATEWAY,
        &fields, HTTP_CONN_BODY_LENGTH, 0);
    bytebuf_clear(&fields);
}

/* Tell the other node that the request was refused, or failed. */
void
prs_refuse(prs_request *q, const att_failure *failure)
{
    lcl_log_refusal(q->n->local, &q->r, failure);
    prs_fail(q->s, q->r.route, failure);
    prs_finish(q);
}

static bool
prs_skip_field(http_str name, void *payload)
{
    (void)payload;
    return http_str_equals_nocase(name, HOP_FIELD);
}

/* The nonce at the end of a question's path. */
static uint64_t
prs_nonce(const char *path, const char *prefix)
{
    return strtoull(path + strlen(prefix), NULL, PRS_HEX);
}

/* Answer a question of another node. */
static void
prs_question(rsp *s, const http_head *head)
{
    char path[PRS_PATH_SIZE];
    char *text = NULL;
    int status = HTTP_STATUS_OK;
    http_str_copy(path, sizeof(path), http_head_get_target(head));
    if (g_str_has_prefix(path, FWD_CLAIM_PATH)) {
        prs_claim(s, prs_nonce(path, FWD_CLAIM_PATH));
        return;
    }
    if (strcmp(path, SYC_STATE_PATH) == 0) {
        text = syc_state_text(s->n);
    }
    else if (strcmp(path, SYC_VERSION_PATH) == 0) {
        text = syc_version_text(s->n);
    }
    else if (strcmp(path, RCH_NODE_PATH) == 0) {
        json_t *record = rec_pack(&s->n->self);
        text = json_dumps(record, JSON_COMPACT);
        json_decref(record);
    }
    else if (g_str_has_prefix(path, FWD_CANCEL_PATH)) {
        uint64_t nonce = prs_nonce(path, FWD_CANCEL_PATH);
        text = malloc(PRS_PATH_SIZE);
        if (text != NULL) {
            snprintf(text, PRS_PATH_SIZE,
                     "{\"not_run\":%s,\"incarnation\":%" PRIu64 "}",
                     lcl_never_runs(s->n->local, nonce) ? "true" : "false",
                     s->n->self.incarnation);
        }
    }
    else {
        status = HTTP_STATUS_NOT_FOUND;
    }
    size_t length = text == NULL ? 0 : strlen(text);
    rsp_head(s, status, NULL, HTTP_CONN_BODY_LENGTH, (int64_t)length);
    rsp_body(s, text, length);
    free(text);
    rsp_end(s);
}

static prs_request *
prs_request_new(rsp *s, const http_head *head, const hop_ask *ask)
{
    nod *n = s->n;
    prs_request *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        return NULL;
    }
    q->n = n;
    q->s = s;
    q->ask = *ask;
    s->request = q;
    n->requests++;
    g_hash_table_insert(n->claims, &q->ask.nonce, q);
    http_str_copy(q->r.id, sizeof(q->r.id),
                  http_head_get_field(head, n->fields->request_id));
    att_request_take(&q->r, head, prs_skip_field, NULL);
    q->r.arrived_us = n->l->now_us;
    q->r.deadline_us = n->l->now_us + ask->time_left_us;
    q->r.objective_us = ask->objective_us;
    q->r.idempotent = ask->idempotent;
    q->r.priority = ask->priority;
    q->r.depth = ask->depth;
    q->r.route = ask->route;
    q->r.origin = ask->origin;
    q->r.moved = ask->moved;
    q->r.repeat = ask->repeat;
    return q;
}

static enum http_conn_head_result
prs_on_head(http_conn *c, const http_head *head, void *payload)
{
    rsp *s = payload;
    nod *n = s->n;
    hop_ask ask;
    rsp_begin(s, head);
    http_str field = http_head_get_field(head, HOP_FIELD);
    if (field.bytes == NULL) {
        prs_question(s, head);
        return HTTP_CONN_ACCEPT;
    }
    prs_request *q =
        hop_read_ask(&ask, field) == 0 ? prs_request_new(s, head, &ask) : NULL;
    if (q == NULL) {
        log_write(LOG_WARN, NULL, "a peer's request can't be read");
        http_conn_close(c);
        free(s);
        return HTTP_CONN_CLOSED;
    }
    n->heard_us = n->l->now_us;
    if (ask.config_version > nod_version(n)) {
        struct sockaddr_in from = *http_conn_peer(c);
        from.sin_port = htons((uint16_t)ask.peer_port);
        syc_fetch(n, &from);
    }
    att_failure failure = {OUTCOME_NOT_RUN,
                           n->closed ? REASON_STOPPING : REASON_NO_TARGET,
                           false, false, INSTANCE_NONE};
    if (n->closed || !lcl_is(n->local, ask.instance) ||
        lcl_start(&q->call, n->local, &q->r, ask.nonce, &prs_sink, q,
                  &failure) < 0) {
        q->call = NULL;
        prs_refuse(q, &failure);
        return HTTP_CONN_ACCEPT;
    }
    http_conn_set_deadline(c, q->r.deadline_us + PRS_LATE_US);
    return HTTP_CONN_ACCEPT;
}

static void
prs_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    rsp *s = payload;
    prs_request *q = s->request;
    if (q == NULL) {
        return; /* refused already */
    }
    att_body_add(&q->r, bytes, length);
    lcl_body(q->call);
    if (bytebuf_length(&q->r.body) > ATT_BODY_HELD_MAX) {
        http_conn_set_paused(c, true);
    }
}

static void
prs_on_message(http_conn *c, void *payload)
{
    (void)c;
    rsp *s = payload;
    prs_request *q = s->request;
    if (q != NULL) {
        q->r.body_complete = true;
        lcl_body(q->call);
    }
    rsp_read_all(s);
}

static void
prs_on_drain(http_conn *c, void *payload)
{
    (void)c;
    rsp *s = payload;
    prs_request *q = s->request;
    if (q != NULL) {
        lcl_pause(q->call, false);
    }
}

/* The other node has given the request up, or the connection broke. */
static void
prs_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    (void)c;
    rsp *s = payload;
    prs_request *q = s->request;
    if (q != NULL && !(end == HTTP_CONN_RESET && prs_keep(q))) {
        counter_add_reason(REASON_CANCELLED);
        if (q->call != NULL) {
            lcl_cancel(q->call);
        }
        prs_free(q);
    }
    free(s);
}

static const http_conn_handlers prs_handlers = {
    prs_on_head, prs_on_body, prs_on_message, prs_on_drain, prs_on_end};

static void
prs_on_answer_head(const http_head *head, void *payload)
{
    prs_request *q = payload;
    bytebuf fields = {0};
    q->answered = true;
    http_head_write_fields(&fields, head, prs_skip_field, NULL);
    prs_write_reply(q->n, q->r.route, &fields, OUTCOME_DONE, REASON_NONE,
                    true);
    if (q->s == NULL) {
        q->kept.begun = true;
        q->kept.status = head->status;
        q->kept.fields = fields;
        q->kept.framing = rsp_framing_of(head);
        q->kept.length = head->content_length;
        return;
    }
    rsp_head(q->s, head->status, &fields, rsp_framing_of(head),
             head->content_length);
    bytebuf_clear(&fields);
}

static void
prs_on_answer_body(const char *bytes, size_t length, void *payload)
{
    prs_request *q = payload;
    if (q->s == NULL) {
        prs_keep_body(q, bytes, length);
        return;
    }
    rsp_body(q->s, bytes, length);
    if (http_conn_queued_bytes(q->s->c) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        lcl_pause(q->call, true);
    }
}

static void
prs_on_done(void *payload)
{
    prs_request *q = payload;
    q->call = NULL;
    if (q->s == NULL) {
        q->kept.done = true;
    }
    else {
        prs_finish(q);
    }
}

static void
prs_on_failed(const att_failure *failure, void *payload)
{
    prs_request *q = payload;
    q->call = NULL;
    if (q->s == NULL) {
        q->failed = true;
        q->failure = *failure;
    }
    else if (q->answered) {
        http_conn_reset(q->s->c); /* prs_on_end() releases the request */
    }
    else {
        prs_refuse(q, failure);
    }
}

static void
prs_wants_body(void *payload)
{
    prs_request *q = payload;
    if (q->s != NULL) {
        http_conn_set_paused(q->s->c, false);
    }
}

static const att_sink prs_sink = {prs_on_answer_head, prs_on_answer_body,
                                  prs_on_done, prs_on_failed, prs_wants_body};
