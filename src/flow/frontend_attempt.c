#include <string.h>

#include "frontend_identity.h"
#include "frontend_log.h"
#include "frontend_private.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/retry.h"
#include "metrics.h"

/* A target that sheds half of its requests almost certainly accepts one of
 * these resends. */
#define FRONTEND_SHED_RETRIES_MAX 8

/* Responds to a request whose attempts all failed; with 503 (not run) only if
 * none of them may have run. */
static void
frontend_respond_failure(frontend_request *q)
{
    bool not_run =
        q->last_failure.outcome == OUTCOME_NOT_RUN && !q->may_have_run;
    frontend_respond_error(
        q, not_run ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_BAD_GATEWAY,
        q->last_failure.reason);
}

/* Starts an attempt on a member of the fleet.  On a negative result `failure`
 * is set and no callback follows. */
static int
frontend_start_on_member(frontend_request *q, int member,
                         attempt_failure *failure)
{
    runtime *n = q->n;
    q->r.rerouted = q->reroutes > 0;
    q->r.resent = q->resend_to != INSTANCE_NONE;
    if (member == n->self_member) {
        downstream_overload chain_overload =
            local_target_overload(n->local, q->r.route);
        runtime_record_overload(
            n, q->r.route, n->service_hash,
            downstream_route_origin(n->downstream, q->r.route),
            &chain_overload);
        failure->member = member;
        int result = local_target_start_call(
            &q->attempt.handle.local, n->local, &q->r, runtime_random(),
            &frontend_attempt_callbacks, q, failure);
        if (result == 0) {
            runtime_merge_target_level(n, n->service_hash,
                                       local_target_level(n->local));
            q->attempt.kind = FRONTEND_ATTEMPT_LOCAL;
        }
        else {
            failure->member = member;
            q->r.retry_after_us = local_target_retry_after_us(n->local);
        }
        return result;
    }
    int result = forward_start(&q->attempt.handle.peer, n, &q->r, member,
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

/* Returns the member that a shed request may be resent to, or INSTANCE_NONE.
 * The target that shed it does not count as a further target, and targets
 * often shed for other reasons than a lack of slots. */
static int
frontend_resend_target(frontend_request *q, const attempt_failure *failure)
{
    bool shed = failure->reached && failure->outcome == OUTCOME_NOT_RUN &&
                failure->reason == REASON_TARGET_SHED;
    if (!shed || q->attempts_left > 0 ||
        q->shed_retries == FRONTEND_SHED_RETRIES_MAX ||
        !instance_serves(q->n->fleet, failure->member, q->service)) {
        return INSTANCE_NONE;
    }
    q->shed_retries++;
    return failure->member;
}

/* Classifies a failure for the retry decision. */
static enum retry_end
frontend_classify_failure(const attempt_failure *failure)
{
    if (failure->outcome != OUTCOME_NOT_RUN) {
        return RETRY_END_UNKNOWN;
    }
    if (failure->reason == REASON_PEER_UNREACHABLE) {
        return RETRY_END_NOT_SENT;
    }
    return failure->reached ? RETRY_END_REFUSED : RETRY_END_NOT_FORWARDED;
}

/* Whether another instance, or the one that is to get the request again, takes
 * retries: their calls must fit in the budgets of the services below. */
static bool
frontend_is_retry_taken(const frontend_request *q)
{
    int64_t now_us = q->n->l->now_us;
    return q->resend_to != INSTANCE_NONE
               ? instance_takes_retries(q->n->fleet, q->resend_to, now_us)
               : instance_service_takes_retries(q->n->fleet, q->service,
                                                now_us);
}

/* Whether the request is attempted again after a failure.  If so, the retry
 * has been charged to its limits and to the retry budget. */
static bool
frontend_should_retry(frontend_request *q, const attempt_failure *failure)
{
    int64_t now_us = q->n->l->now_us;
    if (failure->reached) {
        q->attempts_left--;
    }
    if (failure->outcome != OUTCOME_NOT_RUN) {
        q->may_have_run = true;
    }
    if (q->n->ending) {
        return false;
    }
    q->resend_to = frontend_resend_target(q, failure);
    bool may_send = q->attempts_left > 0 || q->resend_to != INSTANCE_NONE;
    retry_failure input = {.end = frontend_classify_failure(failure),
                           .reason = failure->reason,
                           .idempotent = q->r.idempotent,
                           .budget = may_send ? 1 : 0,
                           .reroutes = q->reroutes,
                           .time_left_us = q->r.deadline_us - now_us};
    if (!attempt_is_resendable(&q->r)) {
        return false;
    }
    retry_budget_window *budget = runtime_retry_budget(q->n, q->service);
    bool room_below = true;
    switch (retry_decide(&input)) {
    case RETRY_REROUTE:
        q->reroutes++;
        counter_add_reason(REASON_RETRY_REROUTED);
        return true;
    case RETRY_RESEND:
    case RETRY_RESEND_TO_OWNER:
        if (!q->r.idempotent && failure->outcome != OUTCOME_NOT_RUN) {
            return false;
        }
        room_below = frontend_is_retry_taken(q);
        if (!room_below || !retry_budget_take(budget, now_us)) {
            counter_add_reason(REASON_RETRY_BUDGET_SPENT);
            frontend_log_denied_retry(q, budget, room_below);
            return false;
        }
        q->r.retry_probability = 1;
        q->query.retry = true;
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

/* Excludes a member from the selection for further attempts. */
static void
frontend_exclude_member(frontend_request *q, int member)
{
    instance_query *query = &q->query;
    if (member != INSTANCE_NONE && query->tried_count < INSTANCE_TRIED_MAX) {
        query->tried[query->tried_count++] = member;
    }
}

/* Attempts the request until an attempt is in progress or an error response
 * was sent.  The latter releases the request. */
void
frontend_start_attempt(frontend_request *q)
{
    for (;;) {
        if (!frontend_identity_recheck(q)) {
            return;
        }
        int member =
            q->resend_to != INSTANCE_NONE
                ? q->resend_to
                : instance_pick(q->n->fleet, &q->query, q->n->l->now_us);
        if (member == INSTANCE_NONE) {
            frontend_respond_failure(q);
            return;
        }
        q->last_member = member;
        if (frontend_start_on_member(q, member, &q->last_failure) == 0) {
            return;
        }
        frontend_exclude_member(q, member);
        if (!frontend_should_retry(q, &q->last_failure)) {
            frontend_respond_failure(q);
            return;
        }
    }
}

/* An attempt failed: retries the request or responds with an error.  If a part
 * of the response was already sent, the connection is reset. */
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
    bytebuf_clear(&q->buffered);
    frontend_exclude_member(q, failure->member);
    q->last_failure = *failure;
    if (frontend_should_retry(q, failure)) {
        frontend_start_attempt(q);
    }
    else {
        frontend_respond_failure(q);
    }
}

/* Selects the fields of a response that are not relayed. */
static bool
frontend_skip_response_field(http_str name, void *payload)
{
    (void)payload;
    return http_str_equals_nocase(name, HOP_HEADER);
}

/* Receives the response head.  The response is buffered until it is complete
 * or exceeds FRONTEND_RESPONSE_BUFFER_BYTES_MAX, so that the request can still
 * be retried if the response breaks off. */
static void
frontend_on_response_head(const http_head *head, void *payload)
{
    frontend_request *q = payload;
    q->status = head->status;
    q->framing = server_conn_response_framing(head);
    q->length = head->content_length;
    q->no_body = q->s->head_request || q->framing == HTTP_CONN_BODY_NONE;
    http_head_write_fields(&q->fields, head, frontend_skip_response_field,
                           NULL);
}

/* Writes the response head and the buffered body to the caller.  From then on
 * the request cannot be retried. */
static void
frontend_commit_response(frontend_request *q)
{
    q->committed = true;
    server_conn_write_head(q->s, q->status, &q->fields, q->framing, q->length);
    server_conn_write_body(q->s, bytebuf_data(&q->buffered),
                           bytebuf_length(&q->buffered));
    bytebuf_clear(&q->buffered);
}

/* Pauses reading of the response, while the caller does not keep up. */
static void
frontend_pause_attempt(frontend_request *q)
{
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_PEER:
        forward_pause_response(q->attempt.handle.peer, true);
        break;
    case FRONTEND_ATTEMPT_LOCAL:
        local_target_pause_response(q->attempt.handle.local, true);
        break;
    case FRONTEND_ATTEMPT_NONE:
        break;
    }
}

/* Buffers or relays a part of the response body. */
static void
frontend_on_response_body(const char *bytes, size_t length, void *payload)
{
    frontend_request *q = payload;
    if (!q->committed) {
        bytebuf_append(&q->buffered, bytes, length);
        if (bytebuf_length(&q->buffered) >
            FRONTEND_RESPONSE_BUFFER_BYTES_MAX) {
            frontend_commit_response(q);
        }
    }
    else {
        server_conn_write_body(q->s, bytes, length);
    }
    if (http_conn_queued_bytes(q->s->c) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        frontend_pause_attempt(q);
    }
}

/* The response is complete: relays it and releases the request. */
static void
frontend_on_done(void *payload)
{
    frontend_request *q = payload;
    q->attempt.kind = FRONTEND_ATTEMPT_NONE;
    if (!q->committed) {
        if (!q->no_body) {
            q->framing = HTTP_CONN_BODY_LENGTH;
            q->length = (int64_t)bytebuf_length(&q->buffered);
        }
        frontend_commit_response(q);
    }
    counter_add(COUNTER_DONE, 1);
    metrics_observe_latency(q->n->l->now_us - q->r.arrived_us);
    frontend_log_relayed_response(q);
    frontend_finish_request(q);
}

/* Resumes reading of the request body. */
static void
frontend_on_resume_body(void *payload)
{
    frontend_request *q = payload;
    http_conn_set_paused(q->s->c, false);
}

const attempt_callbacks frontend_attempt_callbacks = {
    frontend_on_response_head, frontend_on_response_body, frontend_on_done,
    frontend_on_failed, frontend_on_resume_body};
