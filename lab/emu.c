#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emu_private.h"
#include "lav/clock.h"
#include "lav/retry_after.h"
#include "lav/retry.h"

#define EMU_NOISE_PERIOD_US 100000   /* of the load of other users */
#define EMU_EXPIRY_INTERVAL_US 10000 /* granularity of queue timeouts */
#define EMU_SETTLE_S 2.0             /* after a disruption, not tallied */
#define EMU_MEAN_WEIGHT 0.03         /* of one call in the moving average */
#define EMU_RESENDS_MAX 8            /* of one call */
#define EMU_WORK_SIGMA 0.5           /* of the log-normal work time */
#define EMU_RETRY_WAIT_DIVISOR                                                \
    3 /* callers wait for at most a third of their time left */

/* Schedules an event `after_us` from now. */
void
emu_schedule(emu *m, int64_t after_us, emu_event_kind kind, emu_job *job,
             int node)
{
    emu_queue_event event = {
        .at_us = m->now_us + after_us, .kind = kind, .node = node, .job = job};
    emu_queue_push(m->queue, &event);
}

/* Creates a request (no parent) or a call, whose deadline is not after that of
 * its parent. */
static emu_job *
emu_job_new(emu *m, int kind, int from, emu_job *parent)
{
    emu_job *job = g_new0(emu_job, 1);
    const emu_kind *k = &m->opts->kinds[kind];
    *job = (emu_job){.kind = kind,
                     .from = from,
                     .at = EMU_NONE,
                     .handle = EMU_NONE,
                     .parent = parent,
                     .weight = 1,
                     .sent_us = m->now_us,
                     .deadline_us = m->now_us + k->timeout_us};
    g_ptr_array_add(m->jobs, job);
    if (parent != NULL) {
        job->deadline_us = MIN(job->deadline_us, parent->deadline_us);
        job->weight = downstream_record_call(m->nodes[from].downstream,
                                             emu_hash(kind), m->now_us);
    }
    return job;
}

/* Returns whether the disruption lasts at `at_us`. */
static bool
emu_disruption_active(const emu *m, int64_t at_us)
{
    const emu_disruption *t = &m->opts->disruption;
    double at_s = (double)at_us / CLOCK_US_PER_S;
    return at_s >= t->from_s && at_s < t->from_s + t->duration_s;
}

/* Returns the tally for a request by when it was sent, or NULL for the
 * settling time after the disruption. */
static emu_tally *
emu_find_tally(emu *m, const emu_job *job)
{
    const emu_disruption *t = &m->opts->disruption;
    double sent_s = (double)job->sent_us / CLOCK_US_PER_S;
    if (sent_s < t->from_s) {
        return &m->result->before[job->kind];
    }
    if (sent_s < t->from_s + t->duration_s) {
        return &m->result->during[job->kind];
    }
    return sent_s >= t->from_s + t->duration_s + EMU_SETTLE_S
               ? &m->result->after[job->kind]
               : NULL;
}

static void emu_handle_child_end(emu *m, emu_job *parent, bool ok);

/* Schedules the caller's retry of a refused request after its Retry-After,
 * shortened when little of the caller's time is left.  Returns false if the
 * caller gives up. */
static bool
emu_schedule_caller_retry(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    int64_t time_left_us = job->sent_us + k->wait_max_us - m->now_us;
    if (job->retry_after_us == 0 || job->caller_retries == k->returns ||
        time_left_us <= 0) {
        return false;
    }
    emu_schedule(
        m, MIN(job->retry_after_us, time_left_us / EMU_RETRY_WAIT_DIVISOR),
        EMU_CALLER_RETRY, job, job->from);
    return true;
}

/* Ends a job with its final outcome at the calling node: a call is reported to
 * its parent, a request is tallied unless its caller retries. */
static void
emu_finish(emu *m, emu_job *job, bool ok)
{
    if (job->finished) {
        return;
    }
    job->finished = true;
    if (job->parent != NULL) {
        job->parent->runs += job->runs;
        emu_handle_child_end(m, job->parent, ok);
        return;
    }
    emu_tally *t = emu_find_tally(m, job);
    if (t == NULL || (!ok && emu_schedule_caller_retry(m, job))) {
        return;
    }
    t->returned += job->caller_retries > 0;
    int64_t took_us = m->now_us - job->sent_us;
    t->asked++;
    if (ok && took_us <= m->opts->kinds[job->kind].objective_us) {
        t->good++;
    }
    else if (ok) {
        t->late++;
    }
    else {
        t->refused += !job->executed;
        t->failed += job->executed;
        t->wasted += job->runs;
    }
}

/* Returns the share of the nodes whose target provides a service. */
static double
emu_service_node_share(uint32_t service, void *payload)
{
    const emu *m = payload;
    int matching = 0;
    for (int i = 0; i < m->node_count; i++) {
        matching += emu_hash(m->nodes[i].service) == service;
    }
    return (double)matching / m->node_count;
}

/* Sends a job to the instance that the load balancer picks; without any it
 * fails. */
static void
emu_attempt(emu *m, emu_job *job)
{
    emu_node *from = &m->nodes[job->from];
    char service[8];
    snprintf(service, sizeof(service), "s%d",
             m->opts->kinds[job->kind].service);
    job->query.service = service;
    job->query.zone = from->zone;
    int at = instance_pick(from->instances, &job->query, m->now_us);
    if (at == INSTANCE_NONE) {
        emu_finish(m, job, false);
        return;
    }
    job->at = at;
    instance_add_call(from->instances, at);
    emu_schedule(m, EMU_HOP_US, EMU_CALL_RECEIVED, job, at);
}

/* Sends the reply of a job to the calling node. */
static void
emu_send_reply(emu *m, emu_job *job, bool ok, enum reason refusal)
{
    job->ok = ok;
    job->refusal = refusal;
    emu_schedule(m, EMU_HOP_US, EMU_REPLY, job, job->from);
}

/* Makes the next downstream call of an execution, or ends it after the
 * last. */
static void
emu_continue_run(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    int calls_made = job->calls_made;
    for (int i = 0; i < EMU_CALLS_MAX; i++) {
        if (calls_made < k->calls[i].times) {
            job->calls_made++;
            emu_job *child = emu_job_new(m, k->calls[i].kind, job->at, job);
            emu_schedule(m, child->deadline_us - m->now_us, EMU_DEADLINE,
                         child, job->at);
            retry_budget_add_request(
                &m->nodes[job->at]
                     .budgets[m->opts->kinds[child->kind].service],
                0, m->now_us);
            emu_attempt(m, child);
            return;
        }
        calls_made -= k->calls[i].times;
    }
    emu_schedule(m, 0, EMU_WORK_DONE, job, job->at);
}

static void emu_dispatch_queued(emu *m, int index);

/* Returns the factor on the work time of the host of a node at present. */
static double
emu_host_factor(const emu *m, const emu_node *node)
{
    const emu_hosts *hosts = &m->opts->hosts;
    bool quiet = (m->now_us / EMU_NOISE_PERIOD_US + node->index) % 2 == 0;
    return hosts->noise > 0 && hosts->service == node->service && !quiet
               ? hosts->noise
               : 1;
}

/* Returns the factor on the work time of a target that has its slots filled
 * beyond its knee. */
static double
emu_knee_factor(const emu *m, const emu_node *node)
{
    const emu_hosts *hosts = &m->opts->hosts;
    double share =
        (double)target_queue_running_count(node->queue) / node->slots;
    return hosts->service == node->service && share > hosts->knee
               ? 1 + (share - hosts->knee) * hosts->slower
               : 1;
}

/* Returns the figure of the host of a node, in percent. */
static int
emu_host_percent(const emu *m, const emu_node *node)
{
    return (int)(emu_host_factor(m, node) * INSTANCE_CAPACITY_HOST_USUAL);
}

/* Records the time of an execution that succeeded, if the target tells how long
 * work takes on its host. */
static void
emu_record_time(emu *m, emu_node *node, const emu_job *job, int64_t took_us)
{
    if (!m->opts->hosts.told) {
        return;
    }
    instance_capacity_call call = {
        emu_hash(job->kind), job->beside, job->host_percent, took_us,
        m->opts->kinds[job->kind].calls[0].times > 0};
    instance_capacity_set_host(&node->capacity, emu_host_percent(m, node));
    instance_capacity_add(&node->capacity, &call, node->slots, m->now_us);
    target_queue_set_limit(
        node->queue, instance_capacity_limit(&node->capacity, node->slots),
        m->now_us);
}

/* Returns the slot time that a call takes, relative to the mean of all calls at
 * the target, where long and short ones mix; 1 elsewhere. */
static double
emu_time_share(const emu_node *node, const emu_job *job)
{
    double run_us = downstream_run_us(node->downstream, emu_hash(job->kind));
    return node->mixed && run_us > 0 && node->mean_call_us > 0
               ? run_us / node->mean_call_us
               : 1;
}

/* Counts a call that ended at a target for the level of the chains. */
static void
emu_count_chains(const emu *m, emu_node *node, bool refused)
{
    chain_level_count_end(&node->chains, refused);
    if (m->opts->whole && chain_level_close_window(&node->chains, m->now_us)) {
        service_level_report report = {
            chain_level_key(emu_hash(node->service)),
            chain_level_get(&node->chains, m->opts->retry_ratio), 0, true};
        service_level_merge(&node->levels, &report, m->now_us);
    }
}

/* Ends an execution: frees its slot, replies and dispatches queued calls. */
static void
emu_finish_run(emu *m, emu_job *job, bool ok)
{
    emu_node *node = &m->nodes[job->at];
    int64_t took_us = m->now_us - job->run_start_us;
    target_queue_end_call(node->queue, job->handle, ok ? took_us : -1,
                          m->now_us);
    node->jobs[job->handle] = NULL;
    job->handle = EMU_NONE;
    job->run_start_us = 0;
    if (ok) {
        node->mean_call_us +=
            node->mean_call_us == 0
                ? (double)took_us
                : ((double)took_us - node->mean_call_us) * EMU_MEAN_WEIGHT;
        emu_record_time(m, node, job, took_us);
    }
    overload_count_end(&node->overload, emu_time_share(node, job));
    emu_count_chains(m, node, false);
    downstream_record_end(node->downstream, emu_hash(job->kind), !ok,
                          m->now_us);
    downstream_end_run(node->downstream, emu_hash(job->kind), m->now_us);
    emu_send_reply(m, job, ok, REASON_NONE);
    emu_dispatch_queued(m, job->at);
}

/* Replies to a call that was not executed with the reason of the refusal. */
static void
emu_refuse(emu *m, emu_node *node, emu_job *job, enum reason reason)
{
    node->jobs[job->handle] = NULL;
    job->handle = EMU_NONE;
    emu_send_reply(m, job, false, reason);
}

/* Whether the target refuses a call that is dispatched to it. */
static bool
emu_target_refuses(const emu *m, const emu_node *node)
{
    const emu_disruption *t = &m->opts->disruption;
    return t->refused > 0 && t->refusing_service == node->service &&
           emu_disruption_active(m, m->now_us) &&
           g_rand_double(m->random) < t->refused;
}

/* Continues an execution after one of its calls; it fails if the call did. */
static void
emu_handle_child_end(emu *m, emu_job *parent, bool ok)
{
    if (parent->run_start_us == 0) {
        return;
    }
    if (ok) {
        emu_continue_run(m, parent);
    }
    else {
        emu_finish_run(m, parent, false);
    }
}

/* Replies to a call that the target refused, which frees its slot. */
static void
emu_refuse_at_target(emu *m, emu_node *node, emu_job *job)
{
    overload_count_end(&node->overload, emu_time_share(node, job));
    overload_count_failed(&node->overload);
    emu_count_chains(m, node, true);
    target_queue_end_call(node->queue, job->handle, -1, m->now_us);
    emu_refuse(m, node, job, REASON_TARGET_SHED);
}

/* Starts an execution.  Its work time is log-normal, from a normal deviate
 * that is the sum of 12 uniform ones. */
static void
emu_start_run(emu *m, emu_job *job)
{
    emu_node *node = &m->nodes[job->at];
    const emu_kind *k = &m->opts->kinds[job->kind];
    const emu_disruption *t = &m->opts->disruption;
    if (emu_target_refuses(m, node)) {
        emu_refuse_at_target(m, node, job);
        return;
    }
    double normal = 0;
    for (int i = 0; i < 12; i++) {
        normal += g_rand_double(m->random);
    }
    double work_us = (double)k->work_us *
                     exp((normal - 6) * EMU_WORK_SIGMA -
                         EMU_WORK_SIGMA * EMU_WORK_SIGMA / 2) /
                     node->speed * emu_host_factor(m, node) *
                     emu_knee_factor(m, node);
    if (emu_disruption_active(m, m->now_us) &&
        t->slow_service == node->service && node->index < t->slow_count) {
        work_us *= t->slower;
    }
    downstream_begin_run(node->downstream, emu_hash(job->kind), job->weight,
                         m->now_us);
    job->run_start_us = m->now_us;
    job->host_percent = emu_host_percent(m, node);
    job->beside = target_queue_running_count(node->queue);
    job->executed = true;
    job->runs++;
    for (emu_job *up = job->parent; up != NULL; up = up->parent) {
        up->executed = true;
    }
    emu_schedule(m, (int64_t)work_us, EMU_WORK_DONE, job, job->at);
}

/* Starts queued calls while the admission limit permits. */
static void
emu_dispatch_queued(emu *m, int index)
{
    emu_node *node = &m->nodes[index];
    int handle = 0;
    while (target_queue_pop(&handle, node->queue, m->now_us)) {
        emu_start_run(m, node->jobs[handle]);
    }
}

/* Admission of a call at the node of its target: started, queued or
 * refused. */
static void
emu_handle_call(emu *m, emu_job *job)
{
    emu_node *node = &m->nodes[job->at];
    const emu_kind *k = &m->opts->kinds[job->kind];
    int handle = 0;
    if (job->finished) {
        instance_remove_call(m->nodes[job->from].instances, job->at);
        return;
    }
    while (node->jobs[handle] != NULL) {
        handle++;
        g_assert(handle < EMU_RUNS_MAX);
    }
    node->jobs[handle] = job;
    job->handle = handle;
    emu_pass_levels(m, node, &m->nodes[job->from], 0);
    downstream_record_arrival(node->downstream, emu_hash(job->kind),
                              emu_hash(m->nodes[job->from].service),
                              emu_service_node_share, m);
    if (job->reroutes == 0) {
        overload_count_arrival(&node->overload,
                               job->weight * emu_time_share(node, job));
    }
    target_queue_request request = {
        .handle = handle,
        .rank = g_rand_int_range(m->random, 0, ID_RANKS),
        .route = emu_hash(job->kind),
        .internal = job->parent != NULL,
        .priority = k->priority,
        .objective_us = k->objective_us,
        .deadline_us = job->deadline_us};
    admission_result admitted =
        target_queue_decide(node->queue, &request, m->now_us);
    if (admitted.displaced != ADMISSION_NONE) {
        emu_refuse(m, node, node->jobs[admitted.displaced],
                   REASON_QUEUE_DISPLACED);
    }
    switch (admitted.decision) {
    case ADMISSION_DISPATCHED:
        emu_start_run(m, job);
        break;
    case ADMISSION_QUEUED:
        overload_count_held_up(&node->overload);
        if (!node->expiring) {
            node->expiring = true;
            emu_schedule(m, EMU_EXPIRY_INTERVAL_US, EMU_EXPIRE_QUEUED, NULL,
                         job->at);
        }
        break;
    case ADMISSION_REFUSED:
        overload_count_held_up(&node->overload);
        overload_count_lost(&node->overload);
        emu_refuse(m, node, job, admitted.reason);
        break;
    }
}

/* Refuses queued calls whose wait has timed out. */
static void
emu_expire_queued(emu *m, int index)
{
    emu_node *node = &m->nodes[index];
    admission_refusal refusal;
    while (target_queue_pop_expired(&refusal, node->queue, m->now_us)) {
        overload_count_lost(&node->overload);
        emu_refuse(m, node, node->jobs[refusal.handle], refusal.reason);
    }
    emu_dispatch_queued(m, index);
    node->expiring = target_queue_queued_count(node->queue) > 0;
    if (node->expiring) {
        emu_schedule(m, EMU_EXPIRY_INTERVAL_US, EMU_EXPIRE_QUEUED, NULL,
                     index);
    }
}

/* Whether a call that a target refused is sent again, which is charged to the
 * budget of the calling node. */
static bool
emu_may_resend(const emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    return job->resends++ < EMU_RESENDS_MAX &&
           job->deadline_us - m->now_us > RETRY_TIME_LEFT_MIN_US &&
           retry_budget_take(&m->nodes[job->from].budgets[k->service],
                             m->now_us);
}

/* Handles a reply at the calling node: a refused call may be sent to another
 * instance, otherwise the job ends. */
static void
emu_handle_reply(emu *m, emu_job *job)
{
    instance_remove_call(m->nodes[job->from].instances, job->at);
    emu_record_load_report(m, job);
    if (job->finished) {
        return;
    }
    if (!job->ok && job->refusal == REASON_TARGET_SHED &&
        emu_may_resend(m, job)) {
        emu_attempt(m, job);
        return;
    }
    retry_failure c = {.end = job->refusal == REASON_TARGET_SHED
                                  ? RETRY_END_REFUSED
                                  : RETRY_END_NOT_FORWARDED,
                       .reason = job->refusal,
                       .reroutes = job->reroutes,
                       .time_left_us = job->deadline_us - m->now_us};
    if (!job->ok && job->refusal != REASON_NONE &&
        job->query.tried_count < INSTANCE_TRIED_MAX &&
        retry_decide(&c) == RETRY_REROUTE) {
        job->query.tried[job->query.tried_count++] = job->at;
        job->reroutes++;
        emu_attempt(m, job);
        return;
    }
    if (!job->ok && job->refusal != REASON_NONE && !job->executed) {
        const emu_node *at = &m->nodes[job->at];
        job->retry_after_us = retry_after_queue_full_us(
            at->mean_call_us, target_queue_queued_count(at->queue),
            target_queue_get_limit(at->queue));
    }
    emu_finish(m, job, job->ok);
}

/* Times out a job: its queued call or its execution is cancelled. */
static void
emu_handle_deadline(emu *m, emu_job *job)
{
    if (job->finished) {
        return;
    }
    if (job->handle != EMU_NONE) {
        emu_node *node = &m->nodes[job->at];
        if (job->run_start_us != 0) {
            emu_finish_run(m, job, false);
        }
        else if (target_queue_remove(node->queue, job->handle)) {
            emu_refuse(m, node, job, REASON_DEADLINE);
        }
    }
    emu_finish(m, job, false);
}

/* Load shedding of an external request at the node that receives it; an
 * admitted one is sent on. */
static void
emu_admit_request(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    emu_node *node = &m->nodes[job->from];
    bool internal =
        downstream_is_internal(node->downstream, emu_hash(job->kind));
    if (m->opts->load_shedding && !internal &&
        !shedder_admit(node->shedder, emu_hash(job->kind), k->priority, NULL,
                       m->now_us)) {
        job->retry_after_us =
            k->returns == 0
                ? 0
                : retry_after_shed_us(k->objective_us,
                                      shedder_get_share(node->shedder,
                                                        emu_hash(job->kind),
                                                        k->priority),
                                      g_rand_int(m->random));
        emu_finish(m, job, false);
        return;
    }
    if (m->opts->load_shedding) {
        job->weight = 1 / shedder_get_limit(node->shedder, emu_hash(job->kind),
                                            m->now_us)
                              .level;
    }
    emu_schedule(m, job->deadline_us - m->now_us, EMU_DEADLINE, job,
                 job->from);
    retry_budget_add_request(&node->budgets[k->service], 0, m->now_us);
    emu_attempt(m, job);
}

/* Generates an external request and schedules the next one of its kind, at
 * exponential intervals. */
static void
emu_handle_arrival(emu *m, int kind)
{
    const emu_kind *k = &m->opts->kinds[kind];
    double rate = k->per_s;
    if (emu_disruption_active(m, m->now_us) && m->opts->disruption.load > 0) {
        rate *= m->opts->disruption.load;
    }
    double gap_s = -log(1 - g_rand_double(m->random)) / rate;
    emu_schedule(m, (int64_t)(gap_s * CLOCK_US_PER_S), EMU_ARRIVE, NULL, kind);
    int from = g_rand_int_range(m->random, 0, m->node_count);
    emu_admit_request(m, emu_job_new(m, kind, from, NULL));
}

/* The caller sends a refused request again, within its original time. */
static void
emu_handle_caller_retry(emu *m, const emu_job *refused)
{
    const emu_kind *k = &m->opts->kinds[refused->kind];
    emu_job *job = emu_job_new(m, refused->kind, refused->from, NULL);
    job->sent_us = refused->sent_us;
    job->caller_retries = refused->caller_retries + 1;
    job->deadline_us =
        MIN(job->deadline_us, refused->sent_us + k->wait_max_us);
    emu_admit_request(m, job);
}

/* Makes the downstream calls once the work is done, or ends the execution. */
static void
emu_handle_work_done(emu *m, emu_job *job)
{
    if (job->run_start_us == 0) {
        return; /* cancelled at its deadline */
    }
    const emu_kind *k = &m->opts->kinds[job->kind];
    int calls = 0;
    for (int i = 0; i < EMU_CALLS_MAX; i++) {
        calls += k->calls[i].times;
    }
    if (job->calls_made < calls) {
        emu_continue_run(m, job);
    }
    else {
        emu_finish_run(m, job, true);
    }
}

/* Handles an event at the current simulated time. */
void
emu_handle_event(emu *m, const emu_queue_event *event)
{
    switch ((emu_event_kind)event->kind) {
    case EMU_ARRIVE:
        emu_handle_arrival(m, event->node);
        break;
    case EMU_CALL_RECEIVED:
        emu_handle_call(m, event->job);
        break;
    case EMU_WORK_DONE:
        emu_handle_work_done(m, event->job);
        break;
    case EMU_REPLY:
        emu_handle_reply(m, event->job);
        break;
    case EMU_DEADLINE:
        emu_handle_deadline(m, event->job);
        break;
    case EMU_CALLER_RETRY:
        emu_handle_caller_retry(m, event->job);
        break;
    case EMU_EXPIRE_QUEUED:
        emu_expire_queued(m, event->node);
        break;
    }
}
