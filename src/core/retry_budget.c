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

/* Sets whether this is the first start of the node.  If it is not, an earlier
 * one may have used the budget, so the node begins with its share of the slack
 * only. */
void
retry_budget_set_first_start(retry_budget_window *window, bool first_start)
{
    window->options.first_start = first_start;
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
    int last = MIN(to, RETRY_BUDGET_RING - 1);
    int before = MAX(from, 0) - 1;
    return sums[last] - (before < 0 ? 0 : sums[before]);
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

/* Whether a window that begins with the slice of an age has no whole window
 * before it, on a node that has started for the first time. */
static bool
retry_budget_is_first(const retry_budget_window *window, int age)
{
    const retry_budget_options *options = &window->options;
    int64_t slice_us = options->window_us / RETRY_BUDGET_SLICES;
    return options->first_start &&
           (window->slice - age) * slice_us <
               options->started_us + options->window_us;
}

/* Returns the requests that count for the window that begins with the slice of
 * an age: those of the window before it, or, after a first start, a part of
 * those around its beginning or since. */
static double
retry_budget_counted(const retry_budget_window *window, const int *sums,
                     int age)
{
    int before = retry_budget_sum(sums, age + 1, age + RETRY_BUDGET_SLICES);
    if (!retry_budget_is_first(window, age)) {
        return before;
    }
    int half = RETRY_BUDGET_SLICES / 2;
    int around = retry_budget_sum(sums, age + 1 - half, age + half);
    int since = retry_budget_sum(sums, 0, age);
    return MAX(before, MAX(around, since) * RETRY_BUDGET_FIRST_RATIO);
}

/* Returns the retries of the slice `age` slices before the current one. */
static double
retry_budget_retries(const retry_budget_window *window, int age)
{
    int64_t slice = window->slice - age;
    return slice < 0 ? 0 : window->retries[retry_budget_index(slice)];
}

/* Returns how far the budget is used: of all windows that the current slice
 * belongs to, the one that leaves least.  The requests that count for a window
 * are those of the window before it.  A node whose requests become more can't
 * use a budget that another node has used before the requests moved, and
 * requests that fail to come later don't matter. */
retry_budget_usage
retry_budget_get_usage(const retry_budget_window *window)
{
    const retry_budget_options *options = &window->options;
    double slack = options->slack / options->nodes;
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

/* Whether the current slice has used its part of a paced budget. */
static bool
retry_budget_is_ahead(const retry_budget_window *window,
                      const retry_budget_usage *usage)
{
    double part = usage->allowed * RETRY_BUDGET_PACE / RETRY_BUDGET_SLICES;
    return window->paced && retry_budget_retries(window, 0) + 1 > MAX(part, 1);
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
