#include <string.h>

#include "frontend_log.h"
#include "frontend_private.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/retry.h"
#include "metrics.h"

#define FRONTEND_SHEDS_MAX                                                    \
    8 /* a target that sheds half of what it gets takes one of them */

/* Final answer to a request that no attempt has answered; "not run" only
 * where that is true of all its attempts. */
static void
frontend_give_up(frontend_request *q)
{
    bool not_run = q->last.outcome == OUTCOME_NOT_RUN && !q->may_have_run;
    frontend_respond_error(
        q, not_run ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_BAD_GATEWAY,
        q->last.reason);
}

/* Begin an attempt at a member of the fleet; a failure is in `failure`. */
static int
frontend_start(frontend_request *q, int member, attempt_failure *failure)
{
    runtime *n = q->n;
    q->r.moved = q->reroutes > 0;
    if (member == n->self_member) {
        downstream_overload chain_overload =
            local_target_overload(n->local, q->r.route);
        runtime_record_overload(n, q->r.route,
                                downstream_route_origin(n->chains, q->r.route),
                                &chain_overload);
        failure->member = member;
        int result = local_target_start_call(
            &q->attempt.of.local, n->local, &q->r, runtime_random(),
            &frontend_attempt_callbacks, q, failure);
        if (result == 0) {
            q->attempt.kind = FRONTEND_ATTEMPT_LOCAL;
        }
        else {
            failure->member = member;
            q->r.retry_after_us = local_target_retry_after_us(n->local);
        }
        return result;
    }
    int result = forward_start(&q->attempt.of.peer, n, &q->r, member,
                               &frontend_attempt_callbacks, q);
    if (result == 0) {
        q->attempt.kind = FRONTEND_ATTEMPT_PEER;
    }
    else {
        *failure = (attempt_failure){OUTCOME_NOT_RUN, REASON_PEER_UNREACHABLE,
                                     false, false, member};
    }
    return result;
}

/* A target that has shed the request may get it again: that is no further
 * target, and what it sheds is often not for want of slots. */
static int
frontend_resend_to(frontend_request *q, const attempt_failure *failure)
{
    bool shed = failure->reached && failure->outcome == OUTCOME_NOT_RUN &&
                failure->reason == REASON_TARGET_SHED;
    if (!shed || q->attempts_left > 0 || q->sheds == FRONTEND_SHEDS_MAX ||
        !instance_serves(q->n->fleet, failure->member, q->service)) {
        return INSTANCE_NONE;
    }
    q->sheds++;
    return failure->member;
}

static enum retry_end
frontend_end_of(const attempt_failure *failure)
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
frontend_again(frontend_request *q, const attempt_failure *failure)
{
    int64_t now_us = q->n->l->now_us;
    if (failure->reached) {
        q->attempts_left--;
    }
    if (failure->outcome != OUTCOME_NOT_RUN) {
        q->may_have_run = true;
    }
    q->resend_to = frontend_resend_to(q, failure);
    bool may_send = q->attempts_left > 0 || q->resend_to != INSTANCE_NONE;
    retry_failure c = {.end = frontend_end_of(failure),
                       .reason = failure->reason,
                       .idempotent = q->r.idempotent,
                       .budget = may_send ? 1 : 0,
                       .reroutes = q->reroutes,
                       .time_left_us = q->r.deadline_us - now_us};
    if (!attempt_is_resendable(&q->r)) {
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
        if (!retry_budget_take(runtime_retry_budget(q->n, q->service),
                               now_us)) {
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
frontend_leave_out(frontend_request *q, int member)
{
    instance_query *choice = &q->choice;
    if (member != INSTANCE_NONE && choice->tried_count < INSTANCE_TRIED_MAX) {
        choice->tried[choice->tried_count++] = member;
    }
}

/* Attempt the request until an attempt is under way or it is answered.  The
 * request may be gone after. */
void
frontend_start_attempt(frontend_request *q)
{
    for (;;) {
        int member =
            q->resend_to != INSTANCE_NONE
                ? q->resend_to
                : instance_pick(q->n->fleet, &q->choice, q->n->l->now_us);
        if (member == INSTANCE_NONE) {
            frontend_give_up(q);
            return;
        }
        q->last_member = member;
        if (frontend_start(q, member, &q->last) == 0) {
            return;
        }
        frontend_leave_out(q, member);
        if (!frontend_again(q, &q->last)) {
            frontend_give_up(q);
            return;
        }
    }
}

static void
frontend_on_failed(const attempt_failure *failure, void *payload)
{
    frontend_request *q = payload;
    q->attempt.kind = FRONTEND_ATTEMPT_NONE;
    frontend_log_failed_attempt(q, failure);
    if (q->committed) {
        counter_add_reason(REASON_REPLY_TRUNCATED);
        http_conn_reset(q->s->c); /* frontend_on_end() releases the request */
        return;
    }
    bytebuf_clear(&q->fields);
    bytebuf_clear(&q->held);
    frontend_leave_out(q, failure->member);
    q->last = *failure;
    if (frontend_again(q, failure)) {
        frontend_start_attempt(q);
    }
    else {
        frontend_give_up(q);
    }
}

static bool
frontend_skip_answer_field(http_str name, void *payload)
{
    (void)payload;
    return http_str_equals_nocase(name, HOP_HEADER);
}

/* The target's answer begins; it is kept back until it is whole, or too
 * large for that. */
static void
frontend_on_answer_head(const http_head *head, void *payload)
{
    frontend_request *q = payload;
    q->status = head->status;
    q->framing = server_conn_response_framing(head);
    q->length = head->content_length;
    q->no_body = q->s->head_request || q->framing == HTTP_CONN_BODY_NONE;
    http_head_write_fields(&q->fields, head, frontend_skip_answer_field, NULL);
}

static void
frontend_commit(frontend_request *q)
{
    q->committed = true;
    server_conn_write_head(q->s, q->status, &q->fields, q->framing, q->length);
    server_conn_write_body(q->s, bytebuf_data(&q->held),
                           bytebuf_length(&q->held));
    bytebuf_clear(&q->held);
}

static void
frontend_pause_attempt(frontend_request *q)
{
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_PEER:
        forward_pause_response(q->attempt.of.peer, true);
        break;
    case FRONTEND_ATTEMPT_LOCAL:
        local_target_pause_response(q->attempt.of.local, true);
        break;
    case FRONTEND_ATTEMPT_NONE:
        break;
    }
}

static void
frontend_on_answer_body(const char *bytes, size_t length, void *payload)
{
    frontend_request *q = payload;
    if (!q->committed) {
        bytebuf_append(&q->held, bytes, length);
        if (bytebuf_length(&q->held) > FRONTEND_RESPONSE_BUFFER_BYTES_MAX) {
            frontend_commit(q);
        }
    }
    else {
        server_conn_write_body(q->s, bytes, length);
    }
    if (http_conn_queued_bytes(q->s->c) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        frontend_pause_attempt(q);
    }
}

static void
frontend_on_done(void *payload)
{
    frontend_request *q = payload;
    q->attempt.kind = FRONTEND_ATTEMPT_NONE;
    if (!q->committed) {
        if (!q->no_body) {
            q->framing = HTTP_CONN_BODY_LENGTH;
            q->length = (int64_t)bytebuf_length(&q->held);
        }
        frontend_commit(q);
    }
    counter_add(COUNTER_DONE, 1);
    metrics_observe_latency(q->n->l->now_us - q->r.arrived_us);
    frontend_log_relayed_response(q);
    frontend_finish_request(q);
}

static void
frontend_wants_body(void *payload)
{
    frontend_request *q = payload;
    http_conn_set_paused(q->s->c, false);
}

const attempt_callbacks frontend_attempt_callbacks = {
    frontend_on_answer_head, frontend_on_answer_body, frontend_on_done,
    frontend_on_failed, frontend_wants_body};
