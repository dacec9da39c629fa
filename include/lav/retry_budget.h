/*
 * retry_budget: this node's share of the retry budget of one service, kept in
 * every sliding window: retries <= ratio x the requests that count for the
 * window + a share of the slack.
 * Requests that already are retries, as a repeated run makes them, count too.
 *
 * Keeps retries from becoming the load of an instance that fails or sheds
 * under load.  Each node keeps its own share, so that together they keep the
 * total without coordination, however requests move between them: what counts
 * at a node is a weighted mean of its requests in the window before and in the
 * window itself, with weights that are the same at all nodes.  The sum over
 * the nodes is then the same mean of the total, which is no more than the
 * greater of both windows has.
 *
 * Load pattern: at hundreds of nodes each share is small, and the slack's is
 * below one retry; the ratio carries the retries then.
 */
#ifndef LAV_RETRY_BUDGET_H
#define LAV_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_BUDGET_SLICES 40 /* time slices of a window */

/* Weight of the requests in the window before; the others are those in the
 * window itself, as far as it has passed.  In the first window after the
 * fleet's start only these count. */
#define RETRY_BUDGET_BEFORE_WEIGHT 0.75

/* Nodes whose first start lies within this time of the fleet's share the slack
 * at once.  All others have none until a window has passed in which the nodes
 * that had it knew of them; so much longer may that take. */
#define RETRY_BUDGET_FOUNDING_US 2000000

/* Slices kept: the current one, and those of two windows before it. */
#define RETRY_BUDGET_RING (2 * RETRY_BUDGET_SLICES + 1)

/* Fraction of the budget that is used: which requests are retries is partly
 * an estimate. */
#define RETRY_BUDGET_SAFETY_FACTOR 0.9

/* Part of a service's budget beyond which no runs that call the service are
 * retried: nothing denies the calls of such a run, and the rest is for retries
 * of the service itself. */
#define RETRY_BUDGET_INHERITED_RATIO 0.5

/* Where the budget is paced, so many slices in a row may use this part of it:
 * what begins to fail must not use the retries of all that follows. */
#define RETRY_BUDGET_PACE_SLICES 2
#define RETRY_BUDGET_PACE_PART 0.2

/* Time after the last call of a target for a service during which it counts as
 * a caller of the service. */
#define RETRY_BUDGET_CALLER_TTL_US 5000000

/* Start of a fleet that has run before this node's start. */
#define RETRY_BUDGET_LONG_AGO (INT64_MIN / 2)

typedef struct retry_budget_options {
    double ratio;             /* retries per request */
    double slack;             /* additional retries, of all nodes together */
    int64_t window_us;        /* over which both are counted */
    int nodes;                /* that share the slack */
    int64_t started_us;       /* when this node started */
    int64_t fleet_started_us; /* when the first node did, on this node's clock;
                               * RETRY_BUDGET_LONG_AGO: windows before */
} retry_budget_options;

/* How far a budget is used, in the window that leaves least. */
typedef struct retry_budget_usage {
    double used;
    double allowed;
} retry_budget_usage;

/* What a window has counted since it was initialized. */
typedef struct retry_budget_totals {
    uint64_t requests;
    uint64_t taken;   /* retries that were allowed */
    uint64_t denied;  /* retries that were not allowed */
    double inherited; /* requests that were retries by themselves, estimated */
} retry_budget_totals;

typedef struct retry_budget_window {
    retry_budget_options options;
    retry_budget_totals totals;
    int64_t slice; /* number of the slice that is being filled */
    int requests[RETRY_BUDGET_RING];
    double retries[RETRY_BUDGET_RING];
    bool paced;  /* retries are spread over the window */
    bool called; /* by the target beside this node */
    int64_t called_us;
} retry_budget_window;

void retry_budget_init(retry_budget_window *window,
                       const retry_budget_options *options);
void retry_budget_set_paced(retry_budget_window *window, bool paced);
void retry_budget_add_request(retry_budget_window *window,
                              double retry_probability, int64_t now_us);
void retry_budget_add_call(retry_budget_window *window,
                           double retry_probability, int64_t now_us);
bool retry_budget_is_called(const retry_budget_window *window, int64_t now_us);
bool retry_budget_has_room(retry_budget_window *window, int64_t now_us);
bool retry_budget_take(retry_budget_window *window, int64_t now_us);
void retry_budget_set_nodes(retry_budget_window *window, int nodes);
void retry_budget_set_fleet_start(retry_budget_window *window,
                                  int64_t fleet_started_us);
retry_budget_usage retry_budget_get_usage(const retry_budget_window *window);

#ifdef __cplusplus
}
#endif

#endif
