#include "lav/call_demand.h"

#include <glib.h>
#include <math.h>

/* Decays all sums to the present. */
static void
call_demand_advance(call_demand *state, int64_t now_us)
{
    double passed_us = (double)(now_us - state->advanced_at_us);
    double kept_short = exp(-passed_us / CALL_DEMAND_SHORT_US);
    double kept_long = exp(-passed_us / CALL_DEMAND_LONG_US);
    state->weight *= kept_short;
    state->demand *= kept_short;
    state->calls *= kept_short;
    state->usual_demand *= kept_long;
    state->usual_ratio *= kept_long;
    state->usual_calls *= kept_long;
    state->advanced_at_us = now_us;
}

/* Whether the runs that have begun were followed by their calls. */
static bool
call_demand_is_settled(const call_demand *state, int64_t now_us)
{
    return state->first_run_us != 0 &&
           now_us - state->first_run_us >= CALL_DEMAND_SETTLE_US;
}

/* Records a run that has begun at the target, for a request that stands for
 * `weight`, and whose route makes `calls_per_run` calls; 0: not known, or none.
 * `usual`: runs don't fail more often than usual. */
void
call_demand_begin_run(call_demand *state, double calls_per_run, double weight,
                      bool usual, int64_t now_us)
{
    call_demand_advance(state, now_us);
    if (state->first_run_us == 0 && calls_per_run > 0) {
        state->first_run_us = now_us;
        state->demand = 0;
        state->weight = 0;
    }
    /* Until any route is known to make calls, all count alike. */
    double calls = state->first_run_us == 0 ? 1 : calls_per_run;
    state->demand += calls;
    state->weight += calls * weight;
    if (usual && call_demand_is_settled(state, now_us)) {
        state->usual_demand += calls;
    }
}

/* Returns by how much the calls to come exceed those that come out at present,
 * as a ratio; 1 while that is not known.  At a node with few calls, a run has
 * faded before its call comes; the usual ratio makes up for that. */
static double
call_demand_forecast(const call_demand *state)
{
    if (state->usual_calls < CALL_DEMAND_CALLS_MIN ||
        state->usual_ratio <= 0 || state->calls <= 0) {
        return 1;
    }
    double ratio = state->demand / state->calls;
    return ratio * state->usual_demand / state->usual_ratio;
}

/* Records a call that comes out of the target and returns the demand that it
 * stands for. */
double
call_demand_record_call(call_demand *state, bool usual, int64_t now_us)
{
    call_demand_advance(state, now_us);
    state->calls += 1;
    if (usual && call_demand_is_settled(state, now_us)) {
        state->usual_ratio += state->demand / state->calls;
        state->usual_calls += 1;
    }
    double mean_weight = state->demand > 0 ? state->weight / state->demand : 1;
    return CLAMP(mean_weight * call_demand_forecast(state),
                 1 / CALL_DEMAND_MAX, CALL_DEMAND_MAX);
}
