#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emu_private.h"
#include "lav/clock.h"
#include "lav/retry_after.h"
#include "lav/retry.h"

#define EMU_HOP_US 500      /* one way between nodes */
#define EMU_EXPIRY_US 10000 /* how exactly waits are ended */
#define EMU_SETTLE_S 2.0    /* after a trouble, not tallied */
#define EMU_STEP 0.03       /* weight of one call in the mean time */
#define EMU_SPREAD 0.5      /* of the work, log-normal */
#define EMU_WAIT_PART 3     /* callers wait for a third of their time left */

/* An event comes after `after_us`. */
void
emu_schedule(emu *m, int64_t after_us, emu_event_kind kind, emu_job *job,
             int node)
{
    emu_queue_event event = {
        .at_us = m->now_us + after_us, .kind = kind, .node = node, .job = job};
    emu_queue_push(m->queue, &event);
}

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
                     .sent_us = m->now_us,
                     .deadline_us = m->now_us + k->timeout_us};
    g_ptr_array_add(m->jobs, job);
    if (parent != NULL) {
        job->deadline_us = MIN(job->deadline_us, parent->deadline_us);
    }
    return job;
}

static bool
emu_in_trouble(const emu *m, int64_t at_us)
{
    const emu_disruption *t = &m->opts->trouble;
    double at_s = (double)at_us / CLOCK_US_PER_S;
    return at_s >= t->from_s && at_s < t->from_s + t->duration_s;
}

static emu_tally *
emu_tally_of(emu *m, const emu_job *job)
{
    const emu_disruption *t = &m->opts->trouble;
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

static void emu_child_over(emu *m, emu_job *parent, bool ok);

/* Whether the caller of a refused request comes back; it does so as told, but
 * for its patience. */
static bool
emu_comes_back(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    int64_t time_left_us = job->sent_us + k->wait_max_us - m->now_us;
    if (job->after_us == 0 || job->returned == k->returns ||
        time_left_us <= 0) {
        return false;
    }
    emu_schedule(m, MIN(job->after_us, time_left_us / EMU_WAIT_PART),
                 EMU_CALLER_RETRY, job, job->from);
    return true;
}

/* A job has its final answer at the node that asked. */
static void
emu_finish(emu *m, emu_job *job, bool ok)
{
    if (job->over) {
        return;
    }
    job->over = true;
    if (job->parent != NULL) {
        job->parent->runs += job->runs;
        emu_child_over(m, job->parent, ok);
        return;
    }
    emu_tally *t = emu_tally_of(m, job);
    if (t == NULL || (!ok && emu_comes_back(m, job))) {
        return;
    }
    t->returned += job->returned > 0;
    int64_t took_us = m->now_us - job->sent_us;
    t->asked++;
    if (ok && took_us <= m->opts->kinds[job->kind].objective_us) {
        t->good++;
    }
    else if (ok) {
        t->late++;
    }
    else {
        t->refused += !job->begun;
        t->failed += job->begun;
        t->wasted += job->runs;
    }
}

static uint32_t
emu_hash(int value)
{
    return (uint32_t)value + 1;
}

static double
emu_node_share(uint32_t service, void *payload)
{
    const emu *m = payload;
    int beside = 0;
    for (int i = 0; i < m->node_count; i++) {
        beside += emu_hash(m->nodes[i].service) == service;
    }
    return (double)beside / m->node_count;
}

static downstream_overload
emu_strain(emu *m, emu_node *node, int kind)
{
    downstream_overload own = {
        emu_hash(node->service),
        overload_factor(&node->overload, admission_in_flight_count(node->door),
                        admission_get_limit(node->door),
                        admission_queued_count(node->door), m->now_us)};
    return downstream_chain_overload(node->chains, emu_hash(kind), &own,
                                     m->now_us);
}

/* The node that asked takes in what came with an answer. */
static void
emu_hear(emu *m, const emu_job *job)
{
    emu_node *from = &m->nodes[job->from];
    emu_node *at = &m->nodes[job->at];
    instance_load_report report = {.busy =
                                       admission_in_flight_count(at->door) +
                                       admission_queued_count(at->door),
                                   .limit = admission_get_limit(at->door),
                                   .state = INSTANCE_READY,
                                   .call_us = (int)at->call_us};
    downstream_overload chain_overload = emu_strain(m, at, job->kind);
    enum origin_kind origin =
        downstream_route_origin(at->chains, emu_hash(job->kind));
    instance_set_load(from->fleet, job->at, &report, m->now_us);
    downstream_record_report(from->chains, emu_hash(job->kind), origin,
                             &chain_overload, m->now_us);
    if (!downstream_is_internal(from->chains, emu_hash(job->kind))) {
        shedder_record_report(from->gate, emu_hash(job->kind), &chain_overload,
                              m->now_us);
    }
}

static void
emu_attempt(emu *m, emu_job *job)
{
    emu_node *from = &m->nodes[job->from];
    char service[8];
    snprintf(service, sizeof(service), "s%d",
             m->opts->kinds[job->kind].service);
    job->choice.service = service;
    job->choice.zone = from->zone;
    int at = instance_pick(from->fleet, &job->choice, m->now_us);
    if (at == INSTANCE_NONE) {
        emu_finish(m, job, false);
        return;
    }
    job->at = at;
    instance_add_call(from->fleet, at);
    emu_schedule(m, EMU_HOP_US, EMU_CALL_RECEIVED, job, at);
}

static void
emu_answer(emu *m, emu_job *job, bool ok, enum reason refusal)
{
    job->ok = ok;
    job->refusal = refusal;
    emu_schedule(m, EMU_HOP_US, EMU_REPLY, job, job->from);
}

/* A run makes its next call, or is done. */
static void
emu_go_on(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    int step = job->step;
    for (int i = 0; i < EMU_CALLS_MAX; i++) {
        if (step < k->calls[i].times) {
            job->step++;
            emu_job *child = emu_job_new(m, k->calls[i].kind, job->at, job);
            emu_schedule(m, child->deadline_us - m->now_us, EMU_DEADLINE,
                         child, job->at);
            emu_attempt(m, child);
            return;
        }
        step -= k->calls[i].times;
    }
    emu_schedule(m, 0, EMU_WORK_DONE, job, job->at);
}

static void emu_pump(emu *m, int index);

/* A run is over at its target. */
static void
emu_run_over(emu *m, emu_job *job, bool ok)
{
    emu_node *node = &m->nodes[job->at];
    int64_t took_us = m->now_us - job->run_us;
    node->jobs[job->handle] = NULL;
    job->handle = EMU_NONE;
    job->run_us = 0;
    if (ok) {
        node->call_us += node->call_us == 0
                             ? (double)took_us
                             : ((double)took_us - node->call_us) * EMU_STEP;
    }
    overload_count_end(&node->overload);
    downstream_record_end(node->chains, emu_hash(job->kind), !ok, m->now_us);
    admission_release_slot(node->door, took_us, m->now_us);
    emu_answer(m, job, ok, REASON_NONE);
    emu_pump(m, job->at);
}

static void
emu_child_over(emu *m, emu_job *parent, bool ok)
{
    if (parent->run_us == 0) {
        return;
    }
    if (ok) {
        emu_go_on(m, parent);
    }
    else {
        emu_run_over(m, parent, false);
    }
}

static void
emu_start(emu *m, emu_job *job)
{
    const emu_node *node = &m->nodes[job->at];
    const emu_kind *k = &m->opts->kinds[job->kind];
    const emu_disruption *t = &m->opts->trouble;
    double normal = 0;
    for (int i = 0; i < 12; i++) {
        normal += g_rand_double(m->random);
    }
    double work_us =
        (double)k->work_us *
        exp((normal - 6) * EMU_SPREAD - EMU_SPREAD * EMU_SPREAD / 2) /
        node->speed;
    if (emu_in_trouble(m, m->now_us) && t->slow_service == node->service &&
        node->index < t->slow_count) {
        work_us *= t->slower;
    }
    job->run_us = m->now_us;
    job->begun = true;
    job->runs++;
    for (emu_job *up = job->parent; up != NULL; up = up->parent) {
        up->begun = true;
    }
    emu_schedule(m, (int64_t)work_us, EMU_WORK_DONE, job, job->at);
}

static void
emu_pump(emu *m, int index)
{
    emu_node *node = &m->nodes[index];
    int handle = 0;
    while (admission_pop(&handle, node->door, m->now_us)) {
        emu_start(m, node->jobs[handle]);
    }
}

static void
emu_refuse(emu *m, emu_node *node, emu_job *job, enum reason reason)
{
    node->jobs[job->handle] = NULL;
    job->handle = EMU_NONE;
    emu_answer(m, job, false, reason);
}

static void
emu_at_door(emu *m, emu_job *job)
{
    emu_node *node = &m->nodes[job->at];
    const emu_kind *k = &m->opts->kinds[job->kind];
    int handle = 0;
    if (job->over) {
        instance_remove_call(m->nodes[job->from].fleet, job->at);
        return;
    }
    while (node->jobs[handle] != NULL) {
        handle++;
        g_assert(handle < EMU_RUNS_MAX);
    }
    node->jobs[handle] = job;
    job->handle = handle;
    downstream_record_arrival(node->chains, emu_hash(job->kind),
                              emu_hash(m->nodes[job->from].service),
                              emu_node_share, m);
    if (job->moves == 0) {
        overload_count_arrival(&node->overload);
    }
    target_queue_request request = {
        .handle = handle,
        .rank = g_rand_int_range(m->random, 0, ID_RANKS),
        .objective_us = k->objective_us,
        .deadline_us = job->deadline_us};
    admission_call call = target_queue_make_call(&request, m->now_us);
    admission_result verdict = admission_decide(node->door, &call, m->now_us);
    if (verdict.displaced != ADMISSION_NONE) {
        emu_refuse(m, node, node->jobs[verdict.displaced],
                   REASON_QUEUE_DISPLACED);
    }
    switch (verdict.decision) {
    case ADMISSION_DISPATCHED:
        emu_start(m, job);
        break;
    case ADMISSION_QUEUED:
        overload_count_held_up(&node->overload);
        if (!node->expiring) {
            node->expiring = true;
            emu_schedule(m, EMU_EXPIRY_US, EMU_EXPIRE_QUEUED, NULL, job->at);
        }
        break;
    case ADMISSION_REFUSED:
        overload_count_held_up(&node->overload);
        emu_refuse(m, node, job, verdict.reason);
        break;
    }
}

static void
emu_expire(emu *m, int index)
{
    emu_node *node = &m->nodes[index];
    admission_refusal refusal;
    while (admission_pop_expired(&refusal, node->door, m->now_us)) {
        emu_refuse(m, node, node->jobs[refusal.handle], refusal.reason);
    }
    emu_pump(m, index);
    node->expiring = admission_queued_count(node->door) > 0;
    if (node->expiring) {
        emu_schedule(m, EMU_EXPIRY_US, EMU_EXPIRE_QUEUED, NULL, index);
    }
}

static void
emu_reply(emu *m, emu_job *job)
{
    instance_remove_call(m->nodes[job->from].fleet, job->at);
    emu_hear(m, job);
    if (job->over) {
        return;
    }
    retry_failure c = {.end = RETRY_END_UNREACHED,
                       .reason = job->refusal,
                       .reroutes = job->moves,
                       .time_left_us = job->deadline_us - m->now_us};
    if (!job->ok && job->refusal != REASON_NONE &&
        job->choice.tried_count < INSTANCE_TRIED_MAX &&
        retry_decide(&c) == RETRY_REROUTE) {
        job->choice.tried[job->choice.tried_count++] = job->at;
        job->moves++;
        emu_attempt(m, job);
        return;
    }
    if (!job->ok && job->refusal != REASON_NONE && !job->begun) {
        const emu_node *at = &m->nodes[job->at];
        job->after_us = retry_after_queue_full_us(
            at->call_us, admission_queued_count(at->door),
            admission_get_limit(at->door));
    }
    emu_finish(m, job, job->ok);
}

/* A call's time is over: what waits or runs for it is taken away. */
static void
emu_deadline(emu *m, emu_job *job)
{
    if (job->over) {
        return;
    }
    if (job->handle != EMU_NONE) {
        emu_node *node = &m->nodes[job->at];
        if (job->run_us != 0) {
            emu_run_over(m, job, false);
        }
        else if (admission_remove(node->door, job->handle)) {
            emu_refuse(m, node, job, REASON_DEADLINE);
        }
    }
    emu_finish(m, job, false);
}

/* An outside caller's request comes to a node. */
static void
emu_enter(emu *m, emu_job *job)
{
    const emu_kind *k = &m->opts->kinds[job->kind];
    emu_node *node = &m->nodes[job->from];
    bool inner = downstream_is_internal(node->chains, emu_hash(job->kind));
    if (m->opts->gate && !inner &&
        !shedder_admit(node->gate, emu_hash(job->kind), k->priority,
                       m->now_us)) {
        job->after_us =
            k->returns == 0
                ? 0
                : retry_after_shed_us(k->objective_us, g_rand_int(m->random));
        emu_finish(m, job, false);
        return;
    }
    emu_schedule(m, job->deadline_us - m->now_us, EMU_DEADLINE, job,
                 job->from);
    emu_attempt(m, job);
}

static void
emu_arrive(emu *m, int kind)
{
    const emu_kind *k = &m->opts->kinds[kind];
    double rate = k->per_s;
    if (emu_in_trouble(m, m->now_us) && m->opts->trouble.load > 0) {
        rate *= m->opts->trouble.load;
    }
    double gap_s = -log(1 - g_rand_double(m->random)) / rate;
    emu_schedule(m, (int64_t)(gap_s * CLOCK_US_PER_S), EMU_ARRIVE, NULL, kind);
    int from = g_rand_int_range(m->random, 0, m->node_count);
    emu_enter(m, emu_job_new(m, kind, from, NULL));
}

/* The caller of a refused request sends it again. */
static void
emu_return(emu *m, const emu_job *refused)
{
    const emu_kind *k = &m->opts->kinds[refused->kind];
    emu_job *job = emu_job_new(m, refused->kind, refused->from, NULL);
    job->sent_us = refused->sent_us;
    job->returned = refused->returned + 1;
    job->deadline_us =
        MIN(job->deadline_us, refused->sent_us + k->wait_max_us);
    emu_enter(m, job);
}

static void
emu_worked(emu *m, emu_job *job)
{
    if (job->run_us == 0) {
        return; /* it was taken away */
    }
    const emu_kind *k = &m->opts->kinds[job->kind];
    int calls = 0;
    for (int i = 0; i < EMU_CALLS_MAX; i++) {
        calls += k->calls[i].times;
    }
    if (job->step < calls) {
        emu_go_on(m, job);
    }
    else {
        emu_run_over(m, job, true);
    }
}

/* What an event brings about. */
void
emu_handle_event(emu *m, const emu_queue_event *event)
{
    switch ((emu_event_kind)event->kind) {
    case EMU_ARRIVE:
        emu_arrive(m, event->node);
        break;
    case EMU_CALL_RECEIVED:
        emu_at_door(m, event->job);
        break;
    case EMU_WORK_DONE:
        emu_worked(m, event->job);
        break;
    case EMU_REPLY:
        emu_reply(m, event->job);
        break;
    case EMU_DEADLINE:
        emu_deadline(m, event->job);
        break;
    case EMU_CALLER_RETRY:
        emu_return(m, event->job);
        break;
    case EMU_EXPIRE_QUEUED:
        emu_expire(m, event->node);
        break;
    }
}
