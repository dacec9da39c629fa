/*
 * rpt: how many of the runs at the target beside a node are repeats.  The
 * calls that a repeated run makes are repeats at the services below, whoever
 * sends them; they name no parent, so a node takes the share of the runs for
 * that of the calls which come out of its target.
 *
 * Load pattern answered: a service sheds or fails, what calls it is run
 * again, and its calls are repeats in turn, one service further down.
 */
#ifndef LAV_RPT_H
#define LAV_RPT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RPT_STEP 0.05       /* weight of one run in its route's share */
#define RPT_KEEP_US 2000000 /* 2 s; runs are over by then, as a rule */

typedef struct rpt rpt;

int rpt_new(rpt **out);
void rpt_free(rpt *r);
void rpt_run(rpt *r, uint32_t route, double repeat, int64_t now_us);
double rpt_share(const rpt *r, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
