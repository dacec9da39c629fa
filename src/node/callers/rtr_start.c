/* What a call is and what it may: operation, context, id, budget. */
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "rtr_private.h"

#define RTR_MARGIN_PART 10 /* of a caller's wait, kept for the answer */
#define RTR_MARGIN_MAX_US 50000

/* Time for which the router works on a call whose caller waits `wait_ms`. */
static int64_t
rtr_working_time_us(int64_t wait_ms)
{
    int64_t wait_us = wait_ms * CLOCK_US_PER_MS;
    int64_t margin_us = wait_us / RTR_MARGIN_PART;
    if (margin_us > RTR_MARGIN_MAX_US) {
        margin_us = RTR_MARGIN_MAX_US;
    }
    return wait_us - margin_us;
}

static void
rtr_take_operation(rtr_call *state, const catalog *l, catalog_op_id op)
{
    const catalog_operation *operation = &l->operations[op];
    snprintf(state->operation, sizeof(state->operation), "%s.%s",
             l->services[operation->service]->name, operation->source->name);
    state->klass = operation->source->klass;
    state->idempotent = operation->source->idempotent;
    state->has_callees = operation->callee_count > 0;
    state->policy = *catalog_get_policy(l, op);
    state->deadline_us =
        state->started_us +
        rtr_working_time_us(operation->source->caller_wait_ms);
}

/* A root request: an outside caller's, or one that the target makes outside
 * any call that it serves. */
static enum reason
rtr_start_root(rtr *r, cal_call *call, rtr_call *state)
{
    state->depth = 1;
    if (call->bad_id) {
        return REASON_BAD_REQUEST_ID;
    }
    if (!call->has_id) {
        id_mint(&call->request, clock_wall_ms());
        state->root = call->request;
        call_outcome_init(&state->truth, true);
        state->budget =
            call->from_target ? 0 : (int)state->policy.retry_budget;
        return REASON_NONE;
    }
    state->root = call->request;
    seen_request_history seen =
        seen_request_add(r->seen, call->request.text,
                         (int)state->policy.retry_budget, state->started_us);
    state->remembered = true;
    state->budget = seen.budget;
    bool none_elsewhere = call->earlier_not_run ||
                          (call->caller_attempt == 1 && seen.attempts == 1);
    call_outcome_init(&state->truth, seen.none_ran && none_elsewhere);
    if (seen.budget < 0) {
        state->budget = 0;
        if (state->policy.retries == SVC_RETRIES_CHAIN) {
            return REASON_RETRY_BUDGET_SPENT;
        }
    }
    return REASON_NONE;
}

/* A call that the local target makes for a call that it serves. */
static enum reason
rtr_start_child(rtr *r, cal_call *call, rtr_call *state, const catalog *l,
                catalog_op_id op, const tok_context *parent)
{
    catalog_op_id from = catalog_find_op_by_name(l, parent->operation);
    state->parent = call->token;
    state->root = parent->root;
    state->depth = parent->depth + 1;
    id_derive(&call->request, &parent->root, state->operation, call->key);
    bool first_here =
        tok_call_begin(r->node->tokens, call->token,
                       id_hash(call->request.text), state->started_us);
    call_outcome_init(&state->truth, parent->first && first_here);
    state->budget = 0;
    if (from == CATALOG_NOT_FOUND || !catalog_is_call_allowed(l, from, op)) {
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
    state->granted = tok_take(r->node->tokens, call->token,
                              (int)l->operations[from].callee_count);
    state->budget = state->granted;
    return REASON_NONE;
}

static enum reason
rtr_start_known(rtr *r, cal_call *call, rtr_call *state, const catalog *l)
{
    if (l == NULL) {
        return REASON_NO_CONFIG;
    }
    catalog_op_id op = catalog_find_op(l, call->service, call->operation);
    if (op == CATALOG_NOT_FOUND) {
        return REASON_UNKNOWN_OPERATION;
    }
    rtr_take_operation(state, l, op);
    tok_context parent;
    enum reason reason;
    if (call->has_context && tok_find(&parent, r->node->tokens, call->token)) {
        reason = rtr_start_child(r, call, state, l, op, &parent);
    }
    else {
        reason = rtr_start_root(r, call, state);
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

/* Whether the call may be refused here although its owner might know more.
 * Later attempts of a call that is not idempotent are for the owner. */
static bool
rtr_may_refuse_early(const rtr_call *state)
{
    return state->policy.early_refusal &&
           (state->idempotent || state->truth.first);
}

/* Take a new call on: refuse it, or send its first attempt. */
void
rtr_start(rtr *r, int handle, int64_t now_us)
{
    cal_call *call = cal_get(r->calls, handle);
    rtr_call *state = &r->states[handle];
    memset(state, 0, sizeof(*state));
    state->started_us = now_us;
    call_outcome_init(&state->truth, !call->has_id);
    counter_add(COUNTER_CALLS_IN, 1);
    r->active[r->active_count++] = handle;
    view_read_begin();
    const view_config *config = view_config_get(r->node->view);
    enum reason reason = rtr_start_known(r, call, state, config->landscape);
    view_read_end();
    state->rank = id_rank(state->root.text);
    if (reason == REASON_NONE && rtr_may_refuse_early(state) &&
        rtr_refused_early(r, handle, now_us)) {
        reason = REASON_EARLY_REFUSAL;
    }
    if (reason != REASON_NONE) {
        rtr_finish(r, handle, reason, NULL, now_us);
        return;
    }
    rtr_try(r, handle, now_us);
}
