#include "lav/retry_budget.h"

#include <glib.h>

/* Initializes an empty window. */
void
retry_budget_init(retry_budget_window *window,
                  const retry_budget_options *options)
{
    *window = (retry_budget_window){.options = *options};
}

/* Sets the number of nodes that share the slack; at least 1. */
void
retry_budget_set_nodes(retry_budget_window *window, int nodes)
{
    window->options.nodes = nodes > 0 ? nodes : 1;
}

/* Sets when the first node of the fleet started; RETRY_BUDGET_LONG_AGO if an
 * earlier start of this node may have used the budget. */
void
retry_budget_set_fleet_start(retry_budget_window *window,
                             int64_t fleet_started_us)
{
    window->options.fleet_started_us = fleet_started_us;
}

/* Sets whether the retries are spread over the window. */
void
retry_budget_set_paced(retry_budget_window *window, bool paced)
{
    window->paced = paced;
}

/* Returns the index of a slice in the ring. */
static int
retry_budget_index(int64_t slice)
{
    return (int)(slice % RETRY_BUDGET_RING);
}

/* Clears the slices that have left the ring. */
static void
retry_budget_advance(retry_budget_window *window, int64_t now_us)
{
    int64_t slice = now_us / (window->options.window_us / RETRY_BUDGET_SLICES);
    int64_t steps = slice - window->slice;
    if (steps > RETRY_BUDGET_RING) {
        steps = RETRY_BUDGET_RING;
    }
    for (int64_t i = 0; i < steps; i++) {
        int index = retry_budget_index(slice - i);
        window->requests[index] = 0;
        window->retries[index] = 0;
    }
    if (steps > 0) {
        window->slice = slice;
    }
}

/* Returns the requests of the slices `from` to `to`, by their age: the current
 * slice has age 0.  `sums` holds the sums up to each age. */
static int
retry_budget_sum(const int *sums, int from, int to)
{
    if (to < from) {
        return 0;
    }
    return sums[to] - (from == 0 ? 0 : sums[from - 1]);
}

/* Sums the requests up to each age. */
static void
retry_budget_sum_requests(int *sums, const retry_budget_window *window)
{
    int total = 0;
    for (int age = 0; age < RETRY_BUDGET_RING; age++) {
        int64_t slice = window->slice - age;
        total += slice < 0 ? 0 : window->requests[retry_budget_index(slice)];
        sums[age] = total;
    }
}

/* Returns the requests that count for the windows that begin within the slice
 * of an age.  Only those count that lie in each of these windows, or in the
 * window before each. */
static double
retry_budget_counted(const retry_budget_window *window, const int *sums,
                     int age)
{
    const retry_budget_options *options = &window->options;
    int64_t slice_us = options->window_us / RETRY_BUDGET_SLICES;
    int64_t begin_us = (window->slice - age) * slice_us;
    int64_t first_end_us = options->fleet_started_us + options->window_us;
    double before =
        retry_budget_sum(sums, age + 1, age + RETRY_BUDGET_SLICES - 1);
    double since = retry_budget_sum(sums, 0, age - 1);
    double mean = RETRY_BUDGET_BEFORE_WEIGHT * before +
                  (1 - RETRY_BUDGET_BEFORE_WEIGHT) * since;
    if (begin_us >= first_end_us) {
        return mean;
    }
    /* Other nodes' slices begin at other times: some of these windows may lie
     * on either side of the end. */
    return begin_us + slice_us <= first_end_us ? since : MIN(since, mean);
}

/* Returns this node's share of the slack, in retries. */
static double
retry_budget_slack(const retry_budget_window *window, int64_t now_us)
{
    const retry_budget_options *options = &window->options;
    bool founded = options->started_us - options->fleet_started_us <=
                   RETRY_BUDGET_FOUNDING_US;
    int64_t joined_us =
        options->started_us + options->window_us + RETRY_BUDGET_FOUNDING_US;
    return founded || now_us >= joined_us ? options->slack / options->nodes
                                          : 0;
}

/* Returns the retries of the slice `age` slices before the current one. */
static double
retry_budget_retries(const retry_budget_window *window, int age)
{
    int64_t slice = window->slice - age;
    return slice < 0 ? 0 : window->retries[retry_budget_index(slice)];
}

/* Returns how far the budget is used: of all windows that the current slice
 * belongs to, the one that leaves least.  A node whose requests become more
 * can't use a budget that another node has used before the requests moved. */
retry_budget_usage
retry_budget_get_usage(const retry_budget_window *window)
{
    const retry_budget_options *options = &window->options;
    int64_t slice_us = options->window_us / RETRY_BUDGET_SLICES;
    double slack = retry_budget_slack(window, window->slice * slice_us);
    retry_budget_usage tightest = {0, 0};
    double used = 0;
    int sums[RETRY_BUDGET_RING];
    retry_budget_sum_requests(sums, window);
    for (int age = 0; age <= RETRY_BUDGET_SLICES; age++) {
        used += retry_budget_retries(window, age);
        double requests = retry_budget_counted(window, sums, age);
        double allowed =
            (requests * options->ratio + slack) * RETRY_BUDGET_SAFETY_FACTOR;
        if (age == 0 || allowed - used < tightest.allowed - tightest.used) {
            tightest = (retry_budget_usage){used, allowed};
        }
    }
    return tightest;
}

/* Counts a request for the service at this node, which itself is a retry with
 * the given probability, 0 to 1. */
void
retry_budget_add_request(retry_budget_window *window, double retry_probability,
                         int64_t now_us)
{
    retry_budget_advance(window, now_us);
    window->requests[retry_budget_index(window->slice)]++;
    window->retries[retry_budget_index(window->slice)] += retry_probability;
    window->totals.requests++;
    window->totals.inherited += retry_probability;
}

/* Counts a call of the target beside this node, which is a request for the
 * service as well. */
void
retry_budget_add_call(retry_budget_window *window, double retry_probability,
                      int64_t now_us)
{
    retry_budget_add_request(window, retry_probability, now_us);
    window->called = true;
    window->called_us = now_us;
}

/* Whether the target beside this node has called the service recently. */
bool
retry_budget_is_called(const retry_budget_window *window, int64_t now_us)
{
    return window->called &&
           now_us - window->called_us <= RETRY_BUDGET_CALLER_TTL_US;
}

/* Whether the service can take the calls of a retried run. */
bool
retry_budget_has_room(retry_budget_window *window, int64_t now_us)
{
    retry_budget_advance(window, now_us);
    retry_budget_usage usage = retry_budget_get_usage(window);
    return usage.used < usage.allowed * RETRY_BUDGET_INHERITED_RATIO;
}

/* Whether the last slices have used their part of a paced budget. */
static bool
retry_budget_is_ahead(const retry_budget_window *window,
                      const retry_budget_usage *usage)
{
    double used = 0;
    for (int age = 0; age < RETRY_BUDGET_PACE_SLICES; age++) {
        used += retry_budget_retries(window, age);
    }
    return window->paced &&
           used + 1 > MAX(usage->allowed * RETRY_BUDGET_PACE_PART, 1);
}

/* Whether one more retry may be sent; counts it if so. */
bool
retry_budget_take(retry_budget_window *window, int64_t now_us)
{
    retry_budget_advance(window, now_us);
    retry_budget_usage usage = retry_budget_get_usage(window);
    if (usage.used + 1 > usage.allowed) {
        window->totals.denied++;
        return false;
    }
    if (retry_budget_is_ahead(window, &usage)) {
        window->totals.denied++;
        return false;
    }
    window->retries[retry_budget_index(window->slice)]++;
    window->totals.taken++;
    return true;
}
