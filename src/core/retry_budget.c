#include "lav/retry_budget.h"

/* Begin with an empty window. */
void
retry_budget_init(retry_budget_window *b, const retry_budget_options *options)
{
    *b = (retry_budget_window){.options = *options};
}

/* The number of nodes that share the slack has changed. */
void
retry_budget_set_nodes(retry_budget_window *b, int nodes)
{
    b->options.nodes = nodes > 0 ? nodes : 1;
}

/* Empty the slices that have left the window. */
static void
retry_budget_advance(retry_budget_window *b, int64_t now_us)
{
    int64_t slice = now_us / (b->options.window_us / RETRY_BUDGET_SLICES);
    int64_t steps = slice - b->slice;
    if (steps > RETRY_BUDGET_SLICES + 1) {
        steps = RETRY_BUDGET_SLICES + 1;
    }
    for (int64_t i = 0; i < steps; i++) {
        int64_t index = (slice - i) % (RETRY_BUDGET_SLICES + 1);
        b->requests[index] = 0;
        b->repeats[index] = 0;
    }
    if (steps > 0) {
        b->slice = slice;
    }
}

/* A request for the service came to this node; it is a repeat itself with the
 * probability `repeat`. */
void
retry_budget_add_request(retry_budget_window *b, double repeat, int64_t now_us)
{
    retry_budget_advance(b, now_us);
    b->requests[b->slice % (RETRY_BUDGET_SLICES + 1)]++;
    b->repeats[b->slice % (RETRY_BUDGET_SLICES + 1)] += repeat;
}

/* Whether one more repeat may be sent; it is counted if so. */
bool
retry_budget_take(retry_budget_window *b, int64_t now_us)
{
    retry_budget_advance(b, now_us);
    double requests = 0;
    double repeats = 0;
    for (int i = 0; i <= RETRY_BUDGET_SLICES; i++) {
        requests += b->requests[i];
        repeats += b->repeats[i];
    }
    double allowed =
        requests * b->options.ratio * RETRY_BUDGET_SAFETY_FACTOR +
        b->options.slack * RETRY_BUDGET_SAFETY_FACTOR / b->options.nodes;
    if (repeats + 1 > allowed) {
        return false;
    }
    b->repeats[b->slice % (RETRY_BUDGET_SLICES + 1)]++;
    return true;
}
