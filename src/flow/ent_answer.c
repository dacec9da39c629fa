#include <string.h>

#include "ent_log.h"
#include "ent_private.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/retry.h"
#include "mtr.h"

#define ENT_SHEDS_MAX                                                         \
    8 /* a target that sheds half of what it gets takes one of them */

/* Final answer to a request that no attempt has answered; "not run" only
 * where that is true of all its attempts. */
static void
ent_give_up(ent_request *q)
{
    bool not_run = q->last.outcome == OUTCOME_NOT_RUN && !q->may_have_run;
    ent_own(
        q, not_run ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_BAD_GATEWAY,
        q->last.reason);
}

/* Begin an attempt at a member of the fleet; a failure is in `failure`. */
static int
ent_start(ent_request *q, int member, att_failure *failure)
{
    nod *n = q->n;
    q->r.moved = q->reroutes > 0;
    if (member == n->self_handle) {
        downstream_overload chain_overload = lcl_strain(n->local, q->r.route);
        nod_heard(n, q->r.route,
                  downstream_route_origin(n->chains, q->r.route),
                  &chain_overload);
        failure->member = member;
        int result = lcl_start(&q->attempt.of.local, n->local, &q->r,
                               nod_random(), &ent_sink, q, failure);
        if (result == 0) {
            q->attempt.kind = ENT_ATTEMPT_LOCAL;
        }
        else {
            failure->member = member;
            q->r.retry_after_us = lcl_retry_after_us(n->local);
        }
        return result;
    }
    int result =
        fwd_start(&q->attempt.of.peer, n, &q->r, member, &ent_sink, q);
    if (result == 0) {
        q->attempt.kind = ENT_ATTEMPT_PEER;
    }
    else {
        *failure = (att_failure){OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE,
                                 false, false, member};
    }
    return result;
}

/* A target that has shed the request may get it again: that is no further
 * target, and what it sheds is often not for want of slots. */
static int
ent_resend_to(ent_request *q, const att_failure *failure)
{
    bool shed = failure->reached && failure->outcome == OUTCOME_NOT_RUN &&
                failure->reason == REASON_TARGET_SHED;
    if (!shed || q->attempts_left > 0 || q->sheds == ENT_SHEDS_MAX ||
        !instance_serves(q->n->fleet, failure->member, q->service)) {
        return INSTANCE_NONE;
    }
    q->sheds++;
    return failure->member;
}

static enum retry_end
ent_end_of(const att_failure *failure)
{
    if (failure->outcome != OUTCOME_NOT_RUN) {
        return RETRY_END_LOST;
    }
    if (failure->reason == REASON_PEER_UNREACHABLE) {
        return RETRY_END_NOT_SENT;
    }
    return failure->reached ? RETRY_END_REFUSED : RETRY_END_UNREACHED;
}

/* Whether another attempt follows a failure; its cost is paid. */
static bool
ent_again(ent_request *q, const att_failure *failure)
{
    int64_t now_us = q->n->l->now_us;
    if (failure->reached) {
        q->attempts_left--;
    }
    if (failure->outcome != OUTCOME_NOT_RUN) {
        q->may_have_run = true;
    }
    q->resend_to = ent_resend_to(q, failure);
    bool may_send = q->attempts_left > 0 || q->resend_to != INSTANCE_NONE;
    retry_failure c = {.end = ent_end_of(failure),
                       .reason = failure->reason,
                       .idempotent = q->r.idempotent,
                       .budget = may_send ? 1 : 0,
                       .reroutes = q->reroutes,
                       .time_left_us = q->r.deadline_us - now_us};
    if (!att_repeatable(&q->r)) {
        return false;
    }
    switch (retry_decide(&c)) {
    case RETRY_REROUTE:
        q->reroutes++;
        counter_add_reason(REASON_RETRY_REROUTED);
        return true;
    case RETRY_RESEND:
    case RETRY_ASK_OWNER:
        if (!q->r.idempotent && failure->outcome != OUTCOME_NOT_RUN) {
            return false;
        }
        if (!retry_budget_take(nod_budget(q->n, q->service), now_us)) {
            counter_add_reason(REASON_RETRY_BUDGET_SPENT);
            return false;
        }
        q->r.repeat = 1;
        counter_add_reason(failure->outcome == OUTCOME_NOT_RUN
                               ? REASON_RETRY_AFTER_REFUSAL
                               : REASON_RETRY_AFTER_UNKNOWN);
        return true;
    case RETRY_REDIRECT_OWNER:
    case RETRY_STOP:
        return false;
    }
    return false;
}

static void
ent_leave_out(ent_request *q, int member)
{
    instance_query *choice = &q->choice;
    if (member != INSTANCE_NONE && choice->tried_count < INSTANCE_TRIED_MAX) {
        choice->tried[choice->tried_count++] = member;
    }
}

/* Attempt the request until an attempt is under way or it is answered.  The
 * request may be gone after. */
void
ent_try(ent_request *q)
{
    for (;;) {
        int member =
            q->resend_to != INSTANCE_NONE
                ? q->resend_to
                : instance_pick(q->n->fleet, &q->choice, q->n->l->now_us);
        if (member == INSTANCE_NONE) {
            ent_give_up(q);
            return;
        }
        q->last_member = member;
        if (ent_start(q, member, &q->last) == 0) {
            return;
        }
        ent_leave_out(q, member);
        if (!ent_again(q, &q->last)) {
            ent_give_up(q);
            return;
        }
    }
}

static void
ent_on_failed(const att_failure *failure, void *payload)
{
    ent_request *q = payload;
    q->attempt.kind = ENT_ATTEMPT_NONE;
    ent_log_attempt(q, failure);
    if (q->committed) {
        counter_add_reason(REASON_REPLY_TRUNCATED);
        http_conn_reset(q->s->c); /* ent_on_end() releases the request */
        return;
    }
    bytebuf_clear(&q->fields);
    bytebuf_clear(&q->held);
    ent_leave_out(q, failure->member);
    q->last = *failure;
    if (ent_again(q, failure)) {
        ent_try(q);
    }
    else {
        ent_give_up(q);
    }
}

static bool
ent_skip_answer_field(http_str name, void *payload)
{
    (void)payload;
    return http_str_equals_nocase(name, HOP_FIELD);
}

/* The target's answer begins; it is kept back until it is whole, or too
 * large for that. */
static void
ent_on_answer_head(const http_head *head, void *payload)
{
    ent_request *q = payload;
    q->status = head->status;
    q->framing = rsp_framing_of(head);
    q->length = head->content_length;
    q->no_body = q->s->head_request || q->framing == HTTP_CONN_BODY_NONE;
    http_head_write_fields(&q->fields, head, ent_skip_answer_field, NULL);
}

static void
ent_commit(ent_request *q)
{
    q->committed = true;
    rsp_head(q->s, q->status, &q->fields, q->framing, q->length);
    rsp_body(q->s, bytebuf_data(&q->held), bytebuf_length(&q->held));
    bytebuf_clear(&q->held);
}

static void
ent_pause_attempt(ent_request *q)
{
    switch (q->attempt.kind) {
    case ENT_ATTEMPT_PEER:
        fwd_pause(q->attempt.of.peer, true);
        break;
    case ENT_ATTEMPT_LOCAL:
        lcl_pause(q->attempt.of.local, true);
        break;
    case ENT_ATTEMPT_NONE:
        break;
    }
}

static void
ent_on_answer_body(const char *bytes, size_t length, void *payload)
{
    ent_request *q = payload;
    if (!q->committed) {
        bytebuf_append(&q->held, bytes, length);
        if (bytebuf_length(&q->held) > ENT_HOLD_MAX) {
            ent_commit(q);
        }
    }
    else {
        rsp_body(q->s, bytes, length);
    }
    if (http_conn_queued_bytes(q->s->c) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        ent_pause_attempt(q);
    }
}

static void
ent_on_done(void *payload)
{
    ent_request *q = payload;
    q->attempt.kind = ENT_ATTEMPT_NONE;
    if (!q->committed) {
        if (!q->no_body) {
            q->framing = HTTP_CONN_BODY_LENGTH;
            q->length = (int64_t)bytebuf_length(&q->held);
        }
        ent_commit(q);
    }
    counter_add(COUNTER_DONE, 1);
    mtr_served(q->n->l->now_us - q->r.arrived_us);
    ent_log_served(q);
    ent_finish(q);
}

static void
ent_wants_body(void *payload)
{
    ent_request *q = payload;
    http_conn_set_paused(q->s->c, false);
}

const att_sink ent_sink = {ent_on_answer_head, ent_on_answer_body, ent_on_done,
                           ent_on_failed, ent_wants_body};
