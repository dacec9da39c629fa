/*
 * retry_budget_window: this node's share of the budget for repeats at one service, kept in
 * every sliding window: repeats <= ratio x requests + a share of the slack.
 * Requests that are repeats already, as a repeated run makes them, count too.
 *
 * Load pattern answered: an instance that fails or sheds under load; repeats
 * must not become the load.  Each node keeps its own share, so that all
 * together keep the sum without asking each other.
 */
#ifndef LAV_RETRY_BUDGET_H
#define LAV_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_BUDGET_SLICES 20 /* parts of a window */
#define RETRY_BUDGET_SAFETY_FACTOR                                            \
    0.9 /* of the budget: what is a repeat is partly guessed */

typedef struct retry_budget_options {
    double ratio;      /* repeats for each request */
    double slack;      /* repeats beside, all nodes together */
    int64_t window_us; /* over which both are counted */
    int nodes;         /* that share the slack */
} retry_budget_options;

typedef struct retry_budget_window {
    retry_budget_options options;
    int64_t slice; /* number of the slice that is being filled */
    int requests[RETRY_BUDGET_SLICES + 1];
    double repeats[RETRY_BUDGET_SLICES + 1];
} retry_budget_window;

void retry_budget_init(retry_budget_window *b,
                       const retry_budget_options *options);
void retry_budget_add_request(retry_budget_window *b, double repeat,
                              int64_t now_us);
bool retry_budget_take(retry_budget_window *b, int64_t now_us);
void retry_budget_set_nodes(retry_budget_window *b, int nodes);

#ifdef __cplusplus
}
#endif

#endif
