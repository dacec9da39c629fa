#include <jansson.h>

#include "lav/log.h"
#include "local_target_private.h"

/* Say why a request was not run, or what became of it, with the figures that
 * decided it. */
void
local_target_log_failure(const local_target *d, const attempt_request *r,
                         const attempt_failure *failure)
{
    /* A flood of refusals must not hide an unknown outcome. */
    bool refused = failure->outcome == OUTCOME_NOT_RUN;
    if (!log_allow_line(refused ? "door (refused)" : "door (unknown)",
                        LOG_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "door", r->id,
              "{s:s,s:s,s:b,s:s,s:s,s:i,s:i,s:i,s:f,s:i,s:I,s:I}", "outcome",
              outcome_name(failure->outcome), "reason",
              reason_name(failure->reason), "reached_target", failure->reached,
              "instance", d->instance, "state",
              instance_state_name(local_target_state(d)), "running",
              admission_in_flight_count(d->admission), "limit",
              admission_get_limit(d->admission), "waiting",
              admission_queued_count(d->admission), "demand",
              d->overload.factor, "depth", r->depth, "waited_us",
              (json_int_t)(d->n->l->now_us - r->arrived_us), "left_us",
              (json_int_t)(r->deadline_us - d->n->l->now_us));
}

/* Say how far a request had come that its caller, or its time, gave up. */
void
local_target_log_cancel(const local_target_call *call)
{
    const local_target *d = call->d;
    const attempt_request *r = call->r;
    int64_t now_us = d->n->l->now_us;
    if (!log_allow_line("cancelled", LOG_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "cancelled", r->id,
              "{s:s,s:b,s:I,s:I,s:i,s:i,s:i,s:i}", "instance", d->instance,
              "running", call->running, "in_target_us",
              (json_int_t)(call->running ? now_us - call->started_us : 0),
              "waited_us",
              (json_int_t)((call->running ? call->started_us : now_us) -
                           r->arrived_us),
              "beside", admission_in_flight_count(d->admission), "limit",
              admission_get_limit(d->admission), "waiting",
              admission_queued_count(d->admission), "depth", r->depth);
}
