#include "frontend_usage.h"

/* Goes on with a request that was granted, or refuses it. */
static void
frontend_on_usage(const usage_gate_result *result, void *payload)
{
    frontend_request *q = payload;
    if (result->decision == USAGE_GRANTED) {
        frontend_admit_request(q);
        return;
    }
    q->r.retry_after_us = result->retry_after_us;
    frontend_respond_error(q, result->status, result->reason);
}

/* Part of the time that a request has which it may wait for its cap to be
 * checked: the rest is left to serve it. */
#define FRONTEND_USAGE_WAIT_DIVISOR 2

/* Returns for how long a request may wait and still be served within its
 * objective and its deadline. */
static int64_t
frontend_patience_us(const frontend_request *q)
{
    int64_t objective_us = q->r.arrived_us + q->r.objective_us;
    return (MIN(objective_us, q->r.deadline_us) - q->n->l->now_us) /
           FRONTEND_USAGE_WAIT_DIVISOR;
}

/* Takes a request from the usage cap of its workspace and admits it, refuses
 * it, or lets it wait for the answer.  Meanwhile its body is buffered, and its
 * caller, its deadline and a planned stop may end it.  Requests of no workspace
 * and calls of targets, which come on exempt routes, are admitted at once. */
void
frontend_take_usage(frontend_request *q)
{
    if (q->identity.exempt || q->r.workspace == WORKSPACE_NONE) {
        frontend_admit_request(q);
        return;
    }
    usage_gate_result result =
        usage_gate_take(q->n->usage, &q->usage, q->r.workspace,
                        frontend_patience_us(q), frontend_on_usage, q);
    if (result.decision != USAGE_WAIT) {
        frontend_on_usage(&result, q);
    }
}
