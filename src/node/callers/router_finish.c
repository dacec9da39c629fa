/* Answers: what is said to the caller, and the accounts that it closes. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "router_private.h"

static void
router_count(const pending_answer *answer)
{
    switch (answer->outcome) {
    case OUTCOME_DONE:
        counter_add(COUNTER_DONE, 1);
        break;
    case OUTCOME_NOT_RUN:
        counter_add(COUNTER_NOT_RUN, 1);
        break;
    case OUTCOME_UNKNOWN:
        counter_add(COUNTER_UNKNOWN, 1);
        break;
    }
    if (answer->reason != REASON_NONE) {
        counter_add_reason(answer->reason);
    }
}

static void
router_close_accounts(router_state *r, const pending_call *call,
                      const router_call *state, enum outcome outcome,
                      int64_t now_us)
{
    if (state->parent != 0) {
        served_call_end_subcall(r->node->served_calls, state->parent,
                                state->granted, state->budget, now_us);
    }
    if (state->remembered) {
        seen_request_set_answer(r->seen, call->request.text, state->budget,
                                outcome == OUTCOME_NOT_RUN);
    }
    if (outcome == OUTCOME_DONE) {
        retry_bucket_credit(&r->bucket);
    }
}

static void
router_deactivate(router_state *r, int handle)
{
    r->states[handle].phase = ROUTER_IDLE;
    for (size_t i = 0; i < r->active_count; i++) {
        if (r->active[i] == handle) {
            r->active[i] = r->active[--r->active_count];
            return;
        }
    }
}

/* Answer a call.  `reply` is the target's answer where there is one, and
 * its body is taken over. */
void
router_answer_call(router_state *r, int handle, enum reason reason,
                   msg_reply *reply, int64_t now_us)
{
    pending_call *call = pending_get(r->calls, handle);
    router_call *state = &r->states[handle];
    pending_answer *answer = &call->answer;
    answer->outcome = call_outcome_get(&state->truth);
    answer->reason = reason;
    if (reply != NULL && answer->outcome == OUTCOME_DONE) {
        answer->status = reply->status;
        memcpy(answer->content_type, reply->content_type,
               sizeof(answer->content_type));
        answer->body = reply->body;
        reply->body = (msg_body){0, NULL};
    }
    router_count(answer);
    decision_log_add(
        r->node->decisions, state->root.text, call->request.text,
        "answered %s, reason %s, after %lld us and %zu attempts",
        outcome_name(answer->outcome), reason_name(answer->reason),
        (long long)(now_us - state->started_us), state->truth.count);
    router_close_accounts(r, call, state, answer->outcome, now_us);
    router_deactivate(r, handle);
    r->answered(handle, r->payload);
}
