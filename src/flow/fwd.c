#include "fwd.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hcl.h"
#include "hop.h"
#include "hpl.h"
#include "lav/clk.h"
#include "lav/ctr.h"
#include "lav/err.h"
#include "rch.h"
#include "rec.h"
#include "syc.h"

#define FWD_CONNECT_US 400000 /* 0.4 s; a first SYN is resent after 1 s */
#define FWD_ASK_US 500000     /* 0.5 s for the far node's record */
#define FWD_IDLE_US 15000000  /* 15 s; below HPL_KEEP_US */
#define FWD_PATH_SIZE 64      /* bytes of a path, with the NUL */

static const hcn_handlers fwd_handlers;

struct fwd {
    nod *n;
    att_request *r;
    const att_sink *sink;
    void *payload;
    int member;
    hcn *c;
    size_t sent;
    bool ended; /* all of the body is queued */
    bool answered;
    bool claimed; /* the hop broke, and its answer was asked for anew */
    uint64_t nonce;
    uint64_t incarnation; /* of the far node, as it was known at the start */
    struct sockaddr_in to;
    hop_reply reply;
    hcl_call *question;
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
fwd_on_record(const hcl_answer *answer, void *payload)
{
    fwd *f = payload;
    f->question = NULL;
    bool confirmed = false;
    if (answer->result == HCL_ANSWERED && answer->status == 200) {
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
    hcl_options opts = {
        .method = "POST", .path = path, .timeout_us = FWD_ASK_US};
    hpl_drop(f->n->pool, &f->to);
    if (hcl_start(&f->question, f->n->pool, f->n->l, &f->to, &opts,
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
    hpl_drop(f->n->pool, &f->to);
    if (hcn_connect(&f->c, f->n->l, &f->to, FWD_CONNECT_US, &fwd_handlers, f) <
        0) {
        f->c = NULL;
        return ERR_UNAVAILABLE;
    }
    f->claimed = true;
    hcn_probe_silence(f->c);
    hbf_addf(hcn_out(f->c),
             "GET " FWD_CLAIM_PATH "%" PRIx64 " HTTP/1.1\r\n"
             "Host: peer\r\n\r\n",
             f->nonce);
    hcn_expect_answer(f->c, false);
    ctr_reason(REASON_REPLY_CLAIMED);
    return 0;
}

static void
fwd_on_end(hcn *c, enum hcn_end end, void *payload)
{
    fwd *f = payload;
    bool connected = hcn_connected(c);
    bool claimable = f->ended && !f->answered && !f->claimed &&
                     strcmp(f->r->method, "HEAD") != 0;
    f->c = NULL;
    hcn_close(c);
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

static enum hcn_verdict
fwd_on_head(hcn *c, const htm *head, void *payload)
{
    fwd *f = payload;
    if (hop_read_reply(&f->reply, htm_get(head, HOP_FIELD)) < 0) {
        fwd_on_end(c, HCN_MALFORMED, f);
        return HCN_CLOSED;
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
    if (htm_copy(seconds, sizeof(seconds), htm_get(head, "Retry-After"))) {
        f->r->retry_after_us = (int64_t)(strtod(seconds, NULL) * CLK_US_PER_S);
    }
    if (f->reply.outcome == OUTCOME_DONE) {
        f->answered = true;
        f->sink->head(head, f->payload);
    }
    return f->c == NULL ? HCN_CLOSED : HCN_ACCEPT;
}

static void
fwd_on_body(hcn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    fwd *f = payload;
    if (f->answered) {
        f->sink->body(bytes, length, f->payload);
    }
}

static void
fwd_on_message(hcn *c, void *payload)
{
    fwd *f = payload;
    f->c = NULL;
    hpl_put(f->n->pool, c, f->ended ? HPL_KEEP_US : 0);
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
fwd_on_drain(hcn *c, void *payload)
{
    (void)c;
    fwd *f = payload;
    fwd_body(f);
    f->sink->wants_body(f->payload);
}

static const hcn_handlers fwd_handlers = {
    fwd_on_head, fwd_on_body, fwd_on_message, fwd_on_drain, fwd_on_end};

static void
fwd_write_head(fwd *f, const char *instance)
{
    const att_request *r = f->r;
    hop_ask ask = {.config_version = nod_version(f->n),
                   .nonce = f->nonce,
                   .left_us = r->deadline_us - f->n->l->now_us,
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
    if (ask.left_us < 0) {
        ask.left_us = 0;
    }
    hbf *out = hcn_out(f->c);
    hbf_addf(out, "%s ", r->method);
    hbf_add(out, hbf_bytes(&r->target), hbf_length(&r->target));
    hbf_add_text(out, " HTTP/1.1\r\n");
    hbf_add(out, hbf_bytes(&r->fields), hbf_length(&r->fields));
    hop_write_ask(out, &ask);
    att_write_framing(out, r->framing, r->length);
    hcn_expect_answer(f->c, strcmp(r->method, "HEAD") == 0);
}

/* Send the request to a member of the fleet; ERR_UNAVAILABLE where that
 * can't even be tried. */
int
fwd_start(fwd **out, nod *n, att_request *r, int member, const att_sink *sink,
          void *payload)
{
    const instance_record *record = instance_get(n->fleet, member);
    struct sockaddr_in to = rec_address(record);
    hcn *c = hpl_get(n->pool, &to, FWD_IDLE_US);
    if (c == NULL) {
        if (hcn_connect(&c, n->l, &to, FWD_CONNECT_US, &fwd_handlers, NULL) <
            0) {
            rch_lost(n->reach, member);
            return ERR_UNAVAILABLE;
        }
        hcn_probe_silence(c);
    }
    fwd *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        hcn_close(c);
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
    hcn_own(c, &fwd_handlers, f);
    ctr_add(CTR_ATTEMPTS, 1);
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
        hcn_body_end(f->c, f->r->framing);
        f->ended = true;
    }
}

/* Stop or go on taking the answer. */
void
fwd_pause(fwd *f, bool paused)
{
    if (f->c != NULL) {
        hcn_pause(f->c, paused);
    }
}

/* Give the attempt up: the far node sees the connection close.  The sink
 * hears nothing more. */
void
fwd_cancel(fwd *f)
{
    if (f->c != NULL) {
        hcn_close(f->c);
    }
    hcl_cancel(f->question);
    ctr_add(CTR_CANCELS, 1);
    fwd_free(f);
}
