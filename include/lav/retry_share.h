/*
 * retry_share: estimates which share of the runs at this node's target are
 * retries.  The calls made by a repeated run are retries at the services
 * below, whoever sends them.  They name no parent request, so a node applies
 * the share of the runs to all calls that come out of its target.
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

#define RETRY_SHARE_RUN_WEIGHT 0.05 /* of one run in its route's share */

/* Time that a route counts after its last run; runs are usually over by
 * then. */
#define RETRY_SHARE_TTL_US 2000000

typedef struct retry_share_table retry_share_table;

int retry_share_new(retry_share_table **out);
void retry_share_free(retry_share_table *table);
void retry_share_record_run(retry_share_table *table, uint32_t route,
                            double retry_probability, int64_t now_us);
double retry_share_get(const retry_share_table *table, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
