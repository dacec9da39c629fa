/* Attempts: send, evaluate the result, retry. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/dispatch.h"
#include "lav/retry.h"
#include "router_private.h"

/* Wait past the deadline, by which the remote node replies. */
#define ROUTER_REPLY_GRACE_MS 30

/* Split off the part of the retry budget that is passed on with an attempt. */
static int
router_delegate_budget(router_call *state)
{
    int delegated = state->has_callees ? state->budget / 2 : 0;
    state->budget -= delegated;
    return delegated;
}

/* Build the message of an attempt. */
static void
router_build_call(msg *out, const router_state *r, const router_call *state,
                  const pending_call *call, bool none_ran, int64_t now_us)
{
    memset(out, 0, sizeof(*out));
    out->kind = MSG_CALL;
    msg_call *m = &out->call;
    m->nonce = state->nonce;
    memcpy(m->request, call->request.text, sizeof(m->request));
    memcpy(m->root, state->root.text, sizeof(m->root));
    memcpy(m->service, call->service, sizeof(m->service));
    memcpy(m->operation, call->operation, sizeof(m->operation));
    memcpy(m->method, call->method, sizeof(m->method));
    memcpy(m->path, call->path, sizeof(m->path));
    memcpy(m->content_type, call->content_type, sizeof(m->content_type));
    m->klass = state->klass;
    m->depth = state->depth;
    m->budget = state->delegated;
    m->first = none_ran;
    const endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    m->time_left_us = state->deadline_us - now_us - ep->one_way_us;
    m->sent_wall_ms = clock_wall_ms();
    m->checksum = correlation_checksum(call->body.bytes, call->body.length);
    m->body = call->body;
}

static void router_on_not_sent(router_state *r, int handle, int64_t now_us);

/* Send an attempt to a member. */
static void
router_send(router_state *r, int handle, const swim_member *entry,
            int64_t now_us)
{
    router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    msg m;
    bool none_ran = call_outcome_get(&state->outcome) == OUTCOME_NOT_RUN;
    state->instance = entry->incarnation;
    state->nonce = id_random();
    state->attempt = call_outcome_add_attempt(&state->outcome);
    state->delegated = router_delegate_budget(state);
    state->sent_us = now_us;
    state->phase = ROUTER_WAITING;
    state->phase_timeout_us = state->deadline_us;
    router_build_call(&m, r, state, call, none_ran, now_us);
    int64_t time_left_us = state->deadline_us - now_us;
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    bool sole = state->sole_instance && now_us >= ep->backoff_until_us;
    rpc_client_timeouts timeouts = {
        .connect_ms = retry_connect_timeout_ms(sole, time_left_us),
        .reply_ms = time_left_us / CLOCK_US_PER_MS + ROUTER_REPLY_GRACE_MS};
    counter_add(COUNTER_ATTEMPTS, 1);
    ep->outstanding++;
    if (correlation_add(r->correlations, state->nonce, handle,
                        state->attempt) < 0 ||
        rpc_client_send(r->attempts, entry->address, entry->peer_port, &m,
                        state->nonce, &timeouts) < 0) {
        router_on_not_sent(r, handle, now_us);
    }
}

/* Send the next attempt of a call, or respond if there is no instance for
 * it. */
void
router_send_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    enum reason reason = REASON_NONE;
    if (!router_select_instance(&entry, &reason, r, handle, now_us) ||
        state->outcome.count == CALL_OUTCOME_ATTEMPTS_MAX) {
        router_respond(r, handle, reason, NULL, now_us);
        return;
    }
    decision_log_add(r->node->decisions, state->root.text,
                     pending_get(r->calls, handle)->request.text,
                     "attempt %zu of %s to %s", state->outcome.count + 1,
                     state->operation, entry.name);
    router_send(r, handle, &entry, now_us);
}

/* Exclude the present instance from further attempts. */
static void
router_exclude_instance(router_call *state)
{
    if (state->excluded_count < CALL_OUTCOME_ATTEMPTS_MAX) {
        state->excluded[state->excluded_count++] = state->instance;
    }
}

/* Take one retry from the budget and count it under `counted`; false if the
 * retry bucket is empty. */
static bool
router_take_retry(router_state *r, router_call *state, enum reason counted)
{
    if (state->policy.retries == SVC_RETRIES_CHAIN &&
        retry_bucket_take(&r->bucket) < 0) {
        return false;
    }
    state->budget--;
    counter_add_reason(counted);
    return true;
}

/* Make another attempt if the retry policy allows it, else respond. `owner`
 * is the owner named by a REASON_WRONG_OWNER reply, or 0. */
static void
router_handle_failure(router_state *r, int handle, enum retry_end end,
                      uint64_t owner, int64_t now_us)
{
    router_call *state = &r->states[handle];
    retry_failure failure = {end,
                             state->reason,
                             state->idempotent,
                             state->budget,
                             state->reroutes,
                             state->caller_gone ? 0
                                                : state->deadline_us - now_us};
    switch (retry_decide(&failure)) {
    case RETRY_STOP:
        break;
    case RETRY_REROUTE:
    case RETRY_REDIRECT_OWNER:
        if (state->reason == REASON_WRONG_OWNER && owner == 0) {
            break;
        }
        state->reroutes++;
        state->owner = state->reason == REASON_WRONG_OWNER ? owner : 0;
        counter_add_reason(REASON_RETRY_REROUTED);
        router_exclude_instance(state);
        if (state->idempotent || state->reroutes == 1) {
            router_send_attempt(r, handle, now_us);
            return;
        }
        /* The owners are changing: wait for the new map to arrive. */
        state->phase = ROUTER_BACKING_OFF;
        state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
        return;
    case RETRY_RESEND:
        if (router_take_retry(r, state,
                              end == RETRY_END_UNKNOWN
                                  ? REASON_RETRY_AFTER_UNKNOWN
                                  : REASON_RETRY_AFTER_REFUSAL)) {
            router_exclude_instance(state);
            router_send_attempt(r, handle, now_us);
            return;
        }
        break;
    case RETRY_RESEND_TO_OWNER:
        if (router_take_retry(r, state, REASON_RETRY_AFTER_UNKNOWN)) {
            state->owner = state->instance;
            state->phase = ROUTER_BACKING_OFF;
            state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
            return;
        }
        break;
    }
    router_respond(r, handle, state->reason, NULL, now_us);
}

/* The attempt never left this node: its instance is unreachable. */
static void
router_on_not_sent(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    ep->outstanding--;
    ep->backoff_until_us = now_us + ENDPOINT_BACKOFF_US;
    correlation_remove(r->correlations, state->nonce);
    call_outcome_set_attempt(&state->outcome, state->attempt,
                             CALL_OUTCOME_NOT_SENT);
    state->budget += state->delegated;
    state->delegated = 0;
    state->reason =
        state->idempotent ? REASON_PEER_UNREACHABLE : REASON_OWNER_UNREACHABLE;
    if (state->owner != 0) {
        /* Only the owner may run it, so there is no other instance. */
        router_respond(r, handle, state->reason, NULL, now_us);
        return;
    }
    router_handle_failure(r, handle, RETRY_END_NOT_SENT, 0, now_us);
}

/* Handle an intact reply to the present attempt. */
static void
router_on_reply(router_state *r, int handle, msg_reply *reply, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    endpoint_record_reply(ep, reply, now_us - state->sent_us, now_us);
    admission_cache_put(r->admission_levels, state->operation, state->instance,
                        reply->level, now_us);
    state->budget +=
        reply->budget < state->delegated ? reply->budget : state->delegated;
    state->delegated = 0;
    state->reason = (enum reason)reply->reason;
    switch ((enum outcome)reply->outcome) {
    case OUTCOME_DONE:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_DONE);
        router_respond(r, handle, state->reason, reply, now_us);
        return;
    case OUTCOME_NOT_RUN:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_REFUSED);
        if (reply->settled) {
            call_outcome_refuse_permanently(&state->outcome);
        }
        router_handle_failure(r, handle, RETRY_END_REFUSED, reply->owner,
                              now_us);
        return;
    case OUTCOME_UNKNOWN:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_LOST);
        router_handle_failure(r, handle, RETRY_END_UNKNOWN, 0, now_us);
        return;
    }
}

/* Handle the end of the present attempt: replied to, not sent, or lost. */
void
router_on_attempt_done(router_state *r, int handle, const router_event *event,
                       int64_t now_us)
{
    router_call *state = &r->states[handle];
    if (event->result == RPC_CLIENT_NOT_SENT) {
        router_on_not_sent(r, handle, now_us);
        return;
    }
    if (state->phase == ROUTER_WAITING) {
        endpoint_get(r->endpoints, state->instance, now_us)->outstanding--;
    }
    if (event->result == RPC_CLIENT_REPLY &&
        msg_is_reply_to(event->reply, state->nonce)) {
        correlation_remove(r->correlations, state->nonce);
        router_on_reply(r, handle, &event->reply->reply, now_us);
        return;
    }
    state->reason = REASON_REPLY_LOST;
    if (event->result == RPC_CLIENT_REPLY) {
        counter_add_reason(REASON_REPLY_MISMATCH);
        state->reason = REASON_REPLY_MISMATCH;
    }
    state->delegated = 0;
    router_cancel_attempt(r, handle, now_us);
}

/* Ask the remote node not to dispatch the present attempt, or to stop it. */
void
router_cancel_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    const rpc_client_timeouts timeouts = {
        .connect_ms = RETRY_CONNECT_TIMEOUT_MS,
        .reply_ms = ROUTER_CANCEL_TIMEOUT_US / CLOCK_US_PER_MS};
    msg m = {.kind = MSG_CANCEL};
    m.cancel.nonce = state->nonce;
    call_outcome_set_attempt(&state->outcome, state->attempt,
                             CALL_OUTCOME_LOST);
    state->phase = ROUTER_CANCELLING;
    state->phase_timeout_us = now_us + ROUTER_CANCEL_TIMEOUT_US;
    counter_add(COUNTER_CANCELS, 1);
    if (!router_find_member(&entry, r, state->instance) ||
        rpc_client_send(r->cancels, entry.address, entry.control_port, &m,
                        state->nonce, &timeouts) < 0) {
        state->phase_timeout_us = now_us;
    }
}

/* Handle the reply to a cancel, or its timeout if `event` is NULL. A
 * confirmed cancel counts like an attempt that was never sent. */
void
router_on_cancel_done(router_state *r, int handle, const router_event *event,
                      int64_t now_us)
{
    router_call *state = &r->states[handle];
    bool confirmed =
        event != NULL && event->result == RPC_CLIENT_REPLY &&
        event->reply->kind == MSG_CANCELLED &&
        event->reply->cancelled.nonce == state->nonce &&
        event->reply->cancelled.result == DISPATCH_CANCEL_CONFIRMED;
    correlation_remove(r->correlations, state->nonce);
    if (confirmed) {
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_CANCELLED);
        if (state->reason == REASON_REPLY_TIMEOUT) {
            state->reason = REASON_DEADLINE;
        }
    }
    router_handle_failure(r, handle,
                          confirmed ? RETRY_END_NOT_SENT : RETRY_END_UNKNOWN,
                          0, now_us);
}
