/*
 * fair_share: divides the admitted share of one priority among workspaces,
 * weighted max-min.  Each gets what it asks for up to a common water level in
 * proportion to its weight; what some leave unused raises the level for the
 * others.  What is divided is the time that the requests take at the scarce
 * service, not their number.
 *
 * Load pattern: an overloaded service, and one workspace that sends many times
 * its usual, within its usage cap.  Shed in proportion to what they send, all
 * others would pay for it.  And workspaces so small that a node sees one request
 * of them in the time that it remembers: by their own few requests alone they
 * would seem to ask for nothing, or for many times their part.
 */
#ifndef LAV_FAIR_SHARE_H
#define LAV_FAIR_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/workspace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAIR_SHARE_WORKSPACES_MAX 128 /* told apart; others share an entry */

/* Share of the level that each workspace gets, however much it sends: one that
 * gets less than a quarter of it starves. */
#define FAIR_SHARE_FLOOR 0.3

/* Number of requests that the expectation of a workspace's demand, in
 * proportion to its weight, counts as beside those that were seen. */
#define FAIR_SHARE_PRIOR_REQUESTS 2.0

/* Standard deviations from that expectation at which it counts half. */
#define FAIR_SHARE_PRIOR_DEVIATIONS 3.0

/* Weight of a workspace without a usage cap. */
#define FAIR_SHARE_WEIGHT_DEFAULT 1.0

typedef struct fair_share_entry {
    uint32_t workspace;
    double weight;
    double cost_us;   /* of its recent requests, decayed */
    double demand_us; /* what it asks for, as estimated from that */
    double share;     /* of its requests that is admitted, 0 to 1 */
    double credit;    /* admissions accumulated, at most 2 */
} fair_share_entry;

typedef struct fair_share_table fair_share_table;

int fair_share_new(fair_share_table **out, uint64_t seed);
void fair_share_free(fair_share_table *table);
fair_share_entry *fair_share_record(fair_share_table *table,
                                    const workspace *from, double cost_us);
void fair_share_divide(fair_share_table *table, double level);
void fair_share_decay(fair_share_table *table, double kept);
bool fair_share_admit(fair_share_entry *entry);
int fair_share_count(const fair_share_table *table);

#ifdef __cplusplus
}
#endif

#endif
