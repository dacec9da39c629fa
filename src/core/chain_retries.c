#include "lav/chain_retries.h"

#include <glib.h>
#include <math.h>

#include "lav/chain_level.h"
#include "lav/service_level.h"

/* Counts a call that begins, with its first attempt. */
void
chain_retries_count_call(chain_retries_meter *meter)
{
    meter->calls++;
    meter->attempts++;
}

/* Counts an attempt that failed such that a retry was due; `retried`: the
 * budget allowed it. */
void
chain_retries_count_failure(chain_retries_meter *meter, bool retried)
{
    meter->failed++;
    meter->attempts += retried ? 1 : 0;
}

/* Whether the window is over and holds enough attempts. */
bool
chain_retries_is_due(const chain_retries_meter *meter, int64_t now_us)
{
    return now_us - meter->since_us >= CHAIN_RETRIES_WINDOW_US &&
           meter->attempts >= CHAIN_RETRIES_ATTEMPTS_MIN;
}

/* Averages the share of failed attempts over windows, within what the last one
 * leaves possible (Wilson's score interval): a change is followed at once where
 * a window holds many attempts. */
static void
chain_retries_average_failed(chain_retries_meter *meter, double windows)
{
    double n = meter->attempts;
    double share = MIN(meter->failed / n, 1);
    double z2 = CHAIN_RETRIES_DEVIATIONS * CHAIN_RETRIES_DEVIATIONS;
    double centre = (share + z2 / (2 * n)) / (1 + z2 / n);
    double margin = CHAIN_RETRIES_DEVIATIONS / (1 + z2 / n) *
                    sqrt(share * (1 - share) / n + z2 / (4 * n * n));
    meter->failed_share += (share - meter->failed_share) *
                           (1 - pow(1 - CHAIN_RETRIES_FAILED_WEIGHT, windows));
    meter->failed_share =
        CLAMP(meter->failed_share, centre - margin, centre + margin);
}

/* Averages the calls a window and the level that let them through. */
static void
chain_retries_average_calls(chain_retries_meter *meter, double level,
                            double calls, double windows)
{
    double weight =
        meter->measured ? MIN(CHAIN_RETRIES_DEMAND_WEIGHT * windows, 1) : 1;
    meter->mean_calls += (calls - meter->mean_calls) * weight;
    meter->mean_level += (level - meter->mean_level) * weight;
    meter->measured = true;
}

/* Returns the share of the requests that can be admitted: such that the retries
 * that are left suffice for the calls of those that have begun, and what remains
 * for new ones, each call at its own expense of what it earns. */
static double
chain_retries_level(const chain_retries_meter *meter,
                    const chain_retries_state *state, double calls)
{
    double failed = MIN(meter->failed_share, CHAIN_RETRIES_FAILED_MAX);
    double need = failed / (1 - failed) - state->ratio; /* retries a call */
    double demand =
        meter->mean_calls / MAX(meter->mean_level, CHAIN_LEVEL_SHARE_MIN);
    double begun = calls * CHAIN_RETRIES_BEGUN_US / CHAIN_RETRIES_WINDOW_US;
    double room = MAX(state->left - begun * need, 0) *
                  CHAIN_RETRIES_WINDOW_US / CHAIN_RETRIES_SPEND_US;
    return need <= 0 || room >= demand * need * SERVICE_LEVEL_MAX
               ? SERVICE_LEVEL_MAX
               : MAX(room / (demand * need), SERVICE_LEVEL_MIN);
}

/* Closes a window that is due and returns the share of the requests that can be
 * admitted: SERVICE_LEVEL_MIN to SERVICE_LEVEL_MAX. */
double
chain_retries_close_window(chain_retries_meter *meter,
                           const chain_retries_state *state, int64_t now_us)
{
    double windows =
        (double)(now_us - meter->since_us) / CHAIN_RETRIES_WINDOW_US;
    double calls = meter->calls / windows;
    chain_retries_average_failed(meter, windows);
    chain_retries_average_calls(meter, state->level, calls, windows);
    meter->since_us = now_us;
    meter->calls = 0;
    meter->attempts = 0;
    meter->failed = 0;
    return chain_retries_level(meter, state, calls);
}
