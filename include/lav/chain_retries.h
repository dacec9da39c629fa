/*
 * chain_retries: which share of the requests whose chains call a service can be
 * admitted, as the retries allow that a caller of the service has left.
 *
 * Load pattern: a deep service that refuses half of all calls for seconds.  The
 * retries of the window before are spent within a second; then whatever is
 * begun is lost, and fewer requests earn fewer retries.  A single target that
 * refuses is no reason to admit less: its calls are retried at others.
 *
 * Measured by the node beside each target that makes such calls: it sees them
 * all, at whichever targets they end, and keeps the budget that they spend.
 */
#ifndef LAV_CHAIN_RETRIES_H
#define LAV_CHAIN_RETRIES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Length of a window, and the attempts that must have been made in it. */
#define CHAIN_RETRIES_WINDOW_US 100000
#define CHAIN_RETRIES_ATTEMPTS_MIN 8

/* Weight of the last window in the moving averages, where it is as long as
 * above: of the share of failed attempts, and of calls and level. */
#define CHAIN_RETRIES_FAILED_WEIGHT 0.4
#define CHAIN_RETRIES_DEMAND_WEIGHT 0.1

/* Standard deviations by which the average of the failed share may differ from
 * that of the last window. */
#define CHAIN_RETRIES_DEVIATIONS 2.0

/* Larger shares of failed attempts can't be told apart from a stall. */
#define CHAIN_RETRIES_FAILED_MAX 0.95

/* Time in which the calls come whose requests have begun already. */
#define CHAIN_RETRIES_BEGUN_US 500000

/* Time in which the retries that are left beyond those may be spent. */
#define CHAIN_RETRIES_SPEND_US 500000

/* What a node knows of the service as a window ends. */
typedef struct chain_retries_state {
    double level; /* at which requests are admitted at present, 0 to 1 */
    double left;  /* retries that the budget still allows */
    double ratio; /* retries that it allows a call */
} chain_retries_state;

/* All zero: nothing observed. */
typedef struct chain_retries_meter {
    int64_t since_us; /* start of the window */
    int calls;        /* that began in the window */
    int attempts;     /* of all calls in it, the first of each included */
    int failed;       /* of them, those that asked for a retry */
    bool measured;    /* the averages hold a window */
    double failed_share;
    double mean_calls; /* a window */
    double mean_level;
} chain_retries_meter;

void chain_retries_count_call(chain_retries_meter *meter);
void chain_retries_count_failure(chain_retries_meter *meter, bool retried);
bool chain_retries_is_due(const chain_retries_meter *meter, int64_t now_us);
double chain_retries_close_window(chain_retries_meter *meter,
                                  const chain_retries_state *state,
                                  int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
