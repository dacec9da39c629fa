/* End of a call: its response, counters and retry budgets. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "router_private.h"

/* Count a response by outcome and reason. */
static void
router_count_response(const pending_response *response)
{
    switch (response->outcome) {
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
    if (response->reason != REASON_NONE) {
        counter_add_reason(response->reason);
    }
}

/* Return unused retries to the parent's ledger, record the result for
 * repeated requests, and credit the retry bucket. */
static void
router_settle_budgets(router_state *r, const pending_call *call,
                      const router_call *state, enum outcome outcome,
                      int64_t now_us)
{
    if (state->parent != 0) {
        served_call_end_subcall(r->node->served_calls, state->parent,
                                state->granted, state->budget, now_us);
    }
    if (state->in_seen_table) {
        seen_request_finish(r->seen_requests, call->request.text,
                            state->budget, outcome == OUTCOME_NOT_RUN);
    }
    if (outcome == OUTCOME_DONE) {
        retry_bucket_credit(&r->bucket);
    }
}

/* Remove a handle from the unfinished calls. */
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

/* Finish a call: store its response and report it. `reply` is the reply to
 * the last attempt or NULL; for OUTCOME_DONE its body moves into the
 * response. */
void
router_respond(router_state *r, int handle, enum reason reason,
               msg_reply *reply, int64_t now_us)
{
    pending_call *call = pending_get(r->calls, handle);
    router_call *state = &r->states[handle];
    pending_response *response = &call->response;
    response->outcome = call_outcome_get(&state->outcome);
    response->reason = reason;
    if (reply != NULL && response->outcome == OUTCOME_DONE) {
        response->status = reply->status;
        memcpy(response->content_type, reply->content_type,
               sizeof(response->content_type));
        response->body = reply->body;
        reply->body = (msg_body){0, NULL};
    }
    router_count_response(response);
    decision_log_add(
        r->node->decisions, state->root.text, call->request.text,
        "answered %s, reason %s, after %lld us and %zu attempts",
        outcome_name(response->outcome), reason_name(response->reason),
        (long long)(now_us - state->started_us), state->outcome.count);
    router_settle_budgets(r, call, state, response->outcome, now_us);
    router_deactivate(r, handle);
    r->on_response(handle, r->payload);
}
