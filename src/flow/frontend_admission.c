/* Admission of a request that is known: by the admission levels. */
#include "frontend_private.h"
#include "lav/retry_after.h"

/* Returns the workspace of a request in the desired state in force; NULL if it
 * has none. */
static const workspace *
frontend_find_workspace(const frontend_request *q)
{
    const workspace_table *workspaces = routing_get_workspaces(q->n->routes);
    return workspaces == NULL ? NULL
                              : workspace_get(workspaces, q->r.workspace);
}

/* Admits a request that was identified and routed, and starts its first
 * attempt, or refuses it. */
void
frontend_admit_request(frontend_request *q)
{
    runtime *n = q->n;
    if (q->r.depth == 0 &&
        !shedder_admit(n->shedder, q->r.route, q->r.priority,
                       frontend_find_workspace(q), n->l->now_us)) {
        q->r.retry_after_us = retry_after_shed_us(
            q->r.objective_us,
            shedder_get_share(n->shedder, q->r.route, q->r.priority),
            runtime_random());
        frontend_respond_error(q, HTTP_STATUS_SERVICE_UNAVAILABLE,
                               REASON_EARLY_REFUSAL);
        return;
    }
    if (q->r.depth == 0) {
        q->r.weight =
            1 / shedder_get_limit(n->shedder, q->r.route, n->l->now_us).level;
    }
    frontend_start_attempt(q);
}
