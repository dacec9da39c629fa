#include "lav/chain_level.h"

#include <glib.h>

#include "lav/overload.h"

/* The key under which the level of the chains that call a service is told to
 * other nodes, beside that of the service itself. */
uint32_t
chain_level_key(uint32_t service)
{
    uint32_t key = service ^ UINT32_C(0x9e3779b9);
    return key == 0 ? 1 : key;
}

/* Counts a call that ended at the target. */
void
chain_level_count_end(chain_level_meter *meter, bool refused)
{
    meter->ended++;
    meter->refused += refused ? 1 : 0;
}

/* Closes a window that is over and holds enough calls; false if there is none
 * to close. */
bool
chain_level_close_window(chain_level_meter *meter, int64_t now_us)
{
    if (now_us - meter->since_us < CHAIN_LEVEL_WINDOW_US ||
        meter->ended < CHAIN_LEVEL_CALLS_MIN) {
        return false;
    }
    double share = (double)meter->refused / meter->ended;
    meter->refused_share +=
        (share - meter->refused_share) * CHAIN_LEVEL_WINDOW_WEIGHT;
    meter->since_us = now_us;
    meter->ended = 0;
    meter->refused = 0;
    return true;
}

/* Returns the share of the requests whose calls find retries enough, where the
 * budget allows `retry_ratio` retries a call: SERVICE_LEVEL_MIN to
 * SERVICE_LEVEL_MAX. */
double
chain_level_get(const chain_level_meter *meter, double retry_ratio)
{
    double served = 1 - meter->refused_share;
    double needed = meter->refused_share; /* retries a call, times `served` */
    double allowed = retry_ratio * CHAIN_LEVEL_BUDGET_SHARE * served;
    return needed < CHAIN_LEVEL_REFUSED_MIN ||
                   needed * SERVICE_LEVEL_MAX <= allowed
               ? SERVICE_LEVEL_MAX
               : CLAMP(allowed / needed, SERVICE_LEVEL_MIN, SERVICE_LEVEL_MAX);
}

/* Returns by how much the chains exceed what can be served, as a factor up to
 * OVERLOAD_FACTOR_MAX; 0 if all can. */
double
chain_level_factor(const chain_level_meter *meter, double retry_ratio)
{
    double level = chain_level_get(meter, retry_ratio);
    return level >= 1 ? 0 : MIN(1 / level, OVERLOAD_FACTOR_MAX);
}
