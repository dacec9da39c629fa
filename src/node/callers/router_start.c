/* Start of a call: operation, context, request id, retry budget. */
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "router_private.h"

#define ROUTER_MARGIN_DIVISOR                                                 \
    10 /* part of the caller's wait kept for the response */
#define ROUTER_MARGIN_MAX_US 50000

/* Time that the router may spend on a call whose caller waits `wait_ms`, in
 * microseconds: a margin is kept for sending the response. */
static int64_t
router_time_budget_us(int64_t wait_ms)
{
    int64_t wait_us = wait_ms * CLOCK_US_PER_MS;
    int64_t margin_us = wait_us / ROUTER_MARGIN_DIVISOR;
    if (margin_us > ROUTER_MARGIN_MAX_US) {
        margin_us = ROUTER_MARGIN_MAX_US;
    }
    return wait_us - margin_us;
}

/* Copy the properties of an operation and set the deadline. */
static void
router_set_operation(router_call *state, const catalog *landscape,
                     catalog_op_id op)
{
    const catalog_operation *operation = &landscape->operations[op];
    snprintf(state->operation, sizeof(state->operation), "%s.%s",
             landscape->services[operation->service]->name,
             operation->source->name);
    state->klass = operation->source->klass;
    state->idempotent = operation->source->idempotent;
    state->has_callees = operation->callee_count > 0;
    state->policy = *catalog_get_policy(landscape, op);
    state->deadline_us =
        state->started_us +
        router_time_budget_us(operation->source->caller_wait_ms);
}

/* Initialize a root request: made by an external caller, or by the target
 * outside of any call that it serves. REASON_NONE if it may proceed. */
static enum reason
router_init_root(router_state *r, pending_call *call, router_call *state)
{
    state->depth = 1;
    if (call->invalid_id) {
        return REASON_BAD_REQUEST_ID;
    }
    if (!call->has_id) {
        id_generate(&call->request, clock_wall_ms());
        state->root = call->request;
        call_outcome_init(&state->outcome, true);
        state->budget =
            call->from_target ? 0 : (int)state->policy.retry_budget;
        return REASON_NONE;
    }
    state->root = call->request;
    seen_request_history seen =
        seen_request_add(r->seen_requests, call->request.text,
                         (int)state->policy.retry_budget, state->started_us);
    state->in_seen_table = true;
    state->budget = seen.budget;
    bool none_ran_elsewhere =
        call->earlier_attempts_not_run ||
        (call->caller_attempt == 1 && seen.attempts == 1);
    call_outcome_init(&state->outcome, seen.none_ran && none_ran_elsewhere);
    if (seen.budget < 0) {
        state->budget = 0;
        if (state->policy.retries == SVC_RETRIES_CHAIN) {
            return REASON_RETRY_BUDGET_SPENT;
        }
    }
    return REASON_NONE;
}

/* Initialize a call that the local target makes while it serves `parent`: its
 * id is derived from the root's, and class, deadline and budget are
 * inherited. REASON_NONE if it may proceed. */
static enum reason
router_init_subcall(router_state *r, pending_call *call, router_call *state,
                    const catalog *landscape, catalog_op_id op,
                    const served_call_context *parent)
{
    catalog_op_id from = catalog_find_op_by_name(landscape, parent->operation);
    state->parent = call->token;
    state->root = parent->root;
    state->depth = parent->depth + 1;
    id_derive(&call->request, &parent->root, state->operation, call->key);
    bool first_here = served_call_begin_subcall(
        r->node->served_calls, call->token, id_hash(call->request.text),
        state->started_us);
    call_outcome_init(&state->outcome, parent->first && first_here);
    state->budget = 0;
    if (from == CATALOG_NOT_FOUND ||
        !catalog_is_call_allowed(landscape, from, op)) {
        return REASON_CALL_NOT_ALLOWED;
    }
    if (state->depth > CATALOG_CALL_DEPTH_MAX) {
        return REASON_TOO_DEEP;
    }
    if (state->policy.root_class) {
        state->klass = parent->klass;
    }
    if (parent->deadline_us < state->deadline_us) {
        state->deadline_us = parent->deadline_us;
    }
    state->granted =
        served_call_take_budget(r->node->served_calls, call->token,
                                (int)landscape->operations[from].callee_count);
    state->budget = state->granted;
    return REASON_NONE;
}

/* Look the operation up and initialize the call; REASON_NONE if it may
 * proceed. */
static enum reason
router_init_call(router_state *r, pending_call *call, router_call *state,
                 const catalog *landscape)
{
    if (landscape == NULL) {
        return REASON_NO_CONFIG;
    }
    catalog_op_id op =
        catalog_find_op(landscape, call->service, call->operation);
    if (op == CATALOG_NOT_FOUND) {
        return REASON_UNKNOWN_OPERATION;
    }
    router_set_operation(state, landscape, op);
    served_call_context parent;
    enum reason reason;
    if (call->has_context &&
        served_call_find(&parent, r->node->served_calls, call->token)) {
        reason = router_init_subcall(r, call, state, landscape, op, &parent);
    }
    else {
        reason = router_init_root(r, call, state);
    }
    switch (state->policy.retries) {
    case SVC_RETRIES_PER_HOP:
        state->budget = (int)state->policy.retry_budget;
        break;
    case SVC_RETRIES_NONE:
        state->budget = 0;
        break;
    default:
        break;
    }
    return reason;
}

/* Whether the call may be refused at this node although its owner might have
 * a result: not for later attempts of a non-idempotent call, which only the
 * owner can answer. */
static bool
router_allows_early_refusal(const router_call *state)
{
    return state->policy.early_refusal &&
           (state->idempotent || state->outcome.first);
}

/* Start a new call: refuse it, or send its first attempt. */
void
router_start_call(router_state *r, int handle, int64_t now_us)
{
    pending_call *call = pending_get(r->calls, handle);
    router_call *state = &r->states[handle];
    memset(state, 0, sizeof(*state));
    state->started_us = now_us;
    call_outcome_init(&state->outcome, !call->has_id);
    counter_add(COUNTER_CALLS_IN, 1);
    r->active[r->active_count++] = handle;
    snapshot_read_lock();
    const snapshot_config *config = snapshot_get_config(r->node->snapshot);
    enum reason reason = router_init_call(r, call, state, config->catalog);
    snapshot_read_unlock();
    state->rank = id_rank(state->root.text);
    if (reason == REASON_NONE && router_allows_early_refusal(state) &&
        router_is_refused_early(r, handle, now_us)) {
        reason = REASON_EARLY_REFUSAL;
    }
    if (reason != REASON_NONE) {
        router_respond(r, handle, reason, NULL, now_us);
        return;
    }
    router_send_attempt(r, handle, now_us);
}
