/*
 * rbw: this node's share of the budget for repeats at one service, kept in
 * every sliding window: repeats <= ratio x requests + a share of the slack.
 * Requests that are repeats already, as a repeated run makes them, count too.
 *
 * Load pattern answered: an instance that fails or sheds under load; repeats
 * must not become the load.  Each node keeps its own share, so that all
 * together keep the sum without asking each other.
 */
#ifndef LAV_RBW_H
#define LAV_RBW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RBW_SLICES 20  /* parts of a window */
#define RBW_SAFETY 0.9 /* of the budget: what is a repeat is partly guessed */

typedef struct rbw_options {
    double ratio;      /* repeats for each request */
    double slack;      /* repeats beside, all nodes together */
    int64_t window_us; /* over which both are counted */
    int nodes;         /* that share the slack */
} rbw_options;

typedef struct rbw {
    rbw_options options;
    int64_t slice; /* number of the slice that is being filled */
    int requests[RBW_SLICES + 1];
    double repeats[RBW_SLICES + 1];
} rbw;

void rbw_init(rbw *b, const rbw_options *options);
void rbw_request(rbw *b, double repeat, int64_t now_us);
bool rbw_take(rbw *b, int64_t now_us);
void rbw_set_nodes(rbw *b, int nodes);

#ifdef __cplusplus
}
#endif

#endif
