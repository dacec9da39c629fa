/*
 * retry_share: the share of retries among the runs at this node's target.  The
 * calls made by a retried run are retries at the services below, whoever sends
 * them.  They name no parent request, so a node applies the share of the runs
 * to all calls that come out of its target.
 *
 * Needed when a service sheds or fails: its callers run again, and their
 * calls are retries in turn, one service further down.
 */
#ifndef LAV_RETRY_SHARE_H
#define LAV_RETRY_SHARE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Weight of one run in the moving average of its route. */
#define RETRY_SHARE_RUN_WEIGHT 0.05

/* With fewer runs in flight on a route, its moving average makes up for the
 * missing ones. */
#define RETRY_SHARE_RUNS_MIN 8

/* Time that a route counts after its last run has begun, unless runs are in
 * flight. */
#define RETRY_SHARE_TTL_US 2000000

/* Probability above which a run is treated as a retry. */
#define RETRY_SHARE_LIKELY 0.5

typedef struct retry_share_table retry_share_table;

int retry_share_new(retry_share_table **out);
void retry_share_free(retry_share_table *table);
void retry_share_begin_run(retry_share_table *table, uint32_t route,
                           double retry_probability, int64_t now_us);
void retry_share_end_run(retry_share_table *table, uint32_t route,
                         double retry_probability);
double retry_share_get(const retry_share_table *table, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
