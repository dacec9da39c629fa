#include <jansson.h>

#include "lav/log.h"
#include "local_target_private.h"

/* Largest number of lines per second about the admission level. */
#define LOCAL_TARGET_LEVEL_LINES_PER_S 2

/* The same about the limit of running calls. */
#define LOCAL_TARGET_CAPACITY_LINES_PER_S 1

/* Share of the calls that the target refuses or fails, from which on it is
 * logged though the level limits nothing. */
#define LOCAL_TARGET_REFUSED_LOGGED_MIN 0.05

/* Logs why a request was refused or failed, with the load figures behind the
 * decision. */
void
local_target_log_failure(const local_target *t, const attempt_request *r,
                         const attempt_failure *failure)
{
    /* Limited separately, so that a burst of refusals does not suppress the
     * lines about unknown outcomes. */
    bool refused = failure->outcome == OUTCOME_NOT_RUN;
    if (!log_allow_line(refused ? "door (refused)" : "door (unknown)",
                        LOG_LINES_PER_S)) {
        return;
    }
    log_event(
        LOG_INFO, "door", r->id,
        "{s:s,s:s,s:b,s:s,s:s,s:i,s:i,s:f,s:i,s:f,s:i,s:I,s:I}", "outcome",
        outcome_name(failure->outcome), "reason", reason_name(failure->reason),
        "reached_target", failure->reached, "instance", t->instance, "state",
        instance_state_name(local_target_state(t)), "running",
        target_queue_running_count(t->queue), "limit",
        target_queue_get_limit(t->queue), "per_s", local_target_rate_per_s(t),
        "waiting", target_queue_queued_count(t->queue), "demand",
        t->overload.factor, "depth", r->depth, "waited_us",
        (json_int_t)(t->n->l->now_us - r->arrived_us), "left_us",
        (json_int_t)(r->deadline_us - t->n->l->now_us));
}

/* Logs that the target takes more or fewer calls well than before. */
void
local_target_log_capacity(const local_target *t, int limit, int before)
{
    if (!log_allow_line("target_capacity",
                        LOCAL_TARGET_CAPACITY_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "target_capacity", NULL, "{s:s,s:i,s:i,s:i,s:i,s:i}",
              "instance", t->instance, "limit", limit, "was", before, "slots",
              t->slots, "host_percent", t->capacity.host_percent, "call_us",
              instance_capacity_call_us(&t->capacity, t->n->l->now_us));
}

/* Logs how far a request had progressed when it was cancelled by its caller or
 * by a timeout. */
void
local_target_log_cancel(const local_target_call *call)
{
    const local_target *t = call->target;
    const attempt_request *r = call->r;
    int64_t now_us = t->n->l->now_us;
    if (!log_allow_line("cancelled", LOG_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "cancelled", r->id,
              "{s:s,s:b,s:I,s:I,s:i,s:i,s:i,s:i}", "instance", t->instance,
              "running", call->running, "in_target_us",
              (json_int_t)(call->running ? now_us - call->started_us : 0),
              "waited_us",
              (json_int_t)((call->running ? call->started_us : now_us) -
                           r->arrived_us),
              "beside", target_queue_running_count(t->queue), "limit",
              target_queue_get_limit(t->queue), "waiting",
              target_queue_queued_count(t->queue), "depth", r->depth);
}

/* Logs the admission level that the target measures, while it limits requests,
 * or the target refuses some on which chains depend, and what it follows
 * from. */
void
local_target_log_level(const local_target *t)
{
    double level = local_target_level(t);
    double refused = t->chains.refused_share;
    bool breaks_chains = refused >= LOCAL_TARGET_REFUSED_LOGGED_MIN &&
                         local_target_limits_chains(t);
    if ((level >= 1 && !breaks_chains) ||
        !log_allow_line("admission_level", LOCAL_TARGET_LEVEL_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "admission_level", NULL,
              "{s:f,s:f,s:f,s:f,s:f,s:i,s:i}", "share", level, "refused",
              refused, "demand", t->overload.mean_demand, "capacity",
              t->overload.mean_capacity, "target",
              OVERLOAD_TARGET_MAX - t->overload.relief, "running",
              target_queue_running_count(t->queue), "waiting",
              target_queue_queued_count(t->queue));
}
