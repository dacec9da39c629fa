/* What the target's load means for those that call it: its load report, its
 * admission levels and when to come again. */
#include "lav/retry_after.h"
#include "local_target_private.h"

#define LOCAL_TARGET_PERMILLE 1000

/* Returns the load report of the target for other nodes. */
instance_load_report
local_target_load_report(const local_target *t)
{
    enum instance_state state = local_target_state(t);
    if (state == INSTANCE_READY && t->n->stopping) {
        state = INSTANCE_STOPPING;
    }
    const rate_limit *rate = target_queue_get_rate(t->queue);
    return (instance_load_report){
        .busy = target_queue_running_count(t->queue) +
                target_queue_queued_count(t->queue),
        .limit = local_target_concurrency(t),
        .rate = {rate->set, rate->per_s},
        .failures_permille = (int)(t->failure_rate * LOCAL_TARGET_PERMILLE),
        .state = state,
        .call_us = (int)t->call_us,
        .no_retries = !runtime_takes_retries(t->n),
        .work_us = instance_capacity_call_us(&t->capacity, t->n->l->now_us)};
}

/* Returns the slot time that a request takes, relative to the mean of all
 * calls, where long and short ones mix; 1 elsewhere. */
double
local_target_time_share(const local_target *t, const attempt_request *r)
{
    double run_us = downstream_run_us(t->n->downstream, r->route);
    return local_target_limits_chains(t) && run_us > 0 && t->call_us > 0
               ? run_us / t->call_us
               : 1;
}

/* Counts a call that ended for the level of the chains that come here, and
 * tells that level. */
void
local_target_count_chains(local_target *t, bool refused)
{
    chain_level_count_end(&t->chains, refused);
    if (chain_level_close_window(&t->chains, t->n->l->now_us) &&
        local_target_limits_chains(t)) {
        runtime_merge_target_level(
            t->n, chain_level_key(t->n->service_hash),
            chain_level_get(&t->chains, t->n->settings.retry_ratio));
    }
}

/* Returns the worst overload on the call chain of a route that runs here. */
downstream_overload
local_target_overload(local_target *t, uint32_t route)
{
    int64_t now_us = t->n->l->now_us;
    downstream_overload own = {
        t->n->service_hash,
        overload_factor(&t->overload, target_queue_running_count(t->queue),
                        local_target_concurrency(t),
                        target_queue_queued_count(t->queue), t->call_us,
                        now_us),
        0};
    if (local_target_limits_chains(t)) {
        own.factor =
            MAX(own.factor,
                chain_level_factor(&t->chains, t->n->settings.retry_ratio));
    }
    local_target_log_level(t);
    return downstream_chain_overload(t->n->downstream, route, &own, now_us);
}

/* Returns the time after which a refused caller is likely to be admitted. */
int64_t
local_target_retry_after_us(const local_target *t)
{
    return retry_after_queue_full_us(t->call_us,
                                     target_queue_queued_count(t->queue),
                                     local_target_concurrency(t));
}
