/*
 * retry_share_table: how many of the runs at the target beside a node are repeats.  The
 * calls that a repeated run makes are repeats at the services below, whoever
 * sends them; they name no parent, so a node takes the share of the runs for
 * that of the calls which come out of its target.
 *
 * Load pattern answered: a service sheds or fails, what calls it is run
 * again, and its calls are repeats in turn, one service further down.
 */
#ifndef LAV_RETRY_SHARE_H
#define LAV_RETRY_SHARE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_SHARE_RUN_WEIGHT                                                \
    0.05                           /* weight of one run in its route's share */
#define RETRY_SHARE_TTL_US 2000000 /* 2 s; runs are over by then, as a rule */

typedef struct retry_share_table retry_share_table;

int retry_share_new(retry_share_table **out);
void retry_share_free(retry_share_table *r);
void retry_share_record_run(retry_share_table *r, uint32_t route,
                            double repeat, int64_t now_us);
double retry_share_get(const retry_share_table *r, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
