/* The local target: liveness, draining and the published load. */
#include "admitter_private.h"
#include "lav/clock.h"
#include "lav/log.h"

/* A target that has not announced itself for 3 s counts as down. */
#define ADMITTER_HEARTBEAT_TIMEOUT_US 3000000
/* Time for peers to learn of the new owners before ids are handed over. */
#define ADMITTER_HANDOVER_LEAD_MS 1000

/* Begins to drain: ids from ADMITTER_HANDOVER_LEAD_MS ahead on belong to
 * other nodes.  Calls with earlier ids are still served. */
static void
admitter_target_begin_drain(admitter_state *a, int64_t now_us)
{
    a->target.draining = true;
    a->target.drain_started_us = now_us;
    a->relinquished_ms = clock_wall_ms() + ADMITTER_HANDOVER_LEAD_MS;
    dedup_stop_accepting(a->record, a->relinquished_ms);
    atomic_store(&a->node->load.relinquished_ms, a->relinquished_ms);
    atomic_store(&a->node->load.draining, 1);
    log_write(LOG_INFO, NULL, "target is draining");
}

/* Ends the drain after a restart of the target. */
static void
admitter_target_end_drain(admitter_state *a)
{
    a->target.draining = false;
    a->relinquished_ms = 0;
    atomic_store(&a->node->load.relinquished_ms, 0);
    atomic_store(&a->node->load.draining, 0);
    atomic_store(&a->node->load.drained, 0);
}

/* Handles an announcement of the target, made at its start and periodically
 * after that. */
void
admitter_target_update(admitter_state *a, const target_info *info,
                       int64_t now_us)
{
    admitter_target *target = &a->target;
    bool started = !target->known || target->info.start != info->start;
    bool changed = started || target->info.slots != info->slots;
    target->known = true;
    target->info = *info;
    target->last_heartbeat_us = now_us;
    if (changed) {
        admission_set_slots(a->admission, info->slots, started && info->cold,
                            now_us);
        atomic_store(&a->node->load.slots, info->slots);
        target_http_set_threads(a->node->target_pool, info->slots, NULL);
    }
    bool stopping = atomic_load(&a->node->load.stopping) != 0;
    if (started && target->draining && !info->draining && !stopping) {
        admitter_target_end_drain(a);
    }
    if (info->draining && !target->draining) {
        admitter_target_begin_drain(a, now_us);
    }
}

/* Whether the target is up, draining or not. */
bool
admitter_target_is_up(const admitter_state *a, int64_t now_us)
{
    return a->target.known && now_us - a->target.last_heartbeat_us <
                                  ADMITTER_HEARTBEAT_TIMEOUT_US;
}

/* Whether a draining target still takes calls that no other node may run. */
bool
admitter_target_in_drain_grace(const admitter_state *a, int64_t now_us)
{
    int64_t linger_us = a->node->settings.linger_ms * CLOCK_US_PER_MS;
    return now_us - a->target.drain_started_us < linger_us;
}

/* Marks the target down until its next announcement; called when it can't be
 * connected to. */
void
admitter_target_mark_down(admitter_state *a)
{
    a->target.known = false;
}

/* Publishes the load and state that other threads read; begins to drain when
 * a planned stop of the node has begun. */
void
admitter_target_publish_load(admitter_state *a, int64_t now_us)
{
    node_load *load = &a->node->load;
    if (atomic_load(&load->stopping) != 0 && !a->target.draining) {
        admitter_target_begin_drain(a, now_us);
    }
    int serving = admission_in_flight_count(a->admission) +
                  admission_queued_count(a->admission);
    atomic_store(&load->serving, serving);
    atomic_store(&load->limit, admission_get_limit(a->admission));
    atomic_store(&load->level, admission_get_level(a->admission));
    atomic_store(&load->ready, admitter_target_is_up(a, now_us) ? 1 : 0);
    bool drained = a->target.draining && serving == 0 &&
                   !admitter_target_in_drain_grace(a, now_us);
    atomic_store(&load->drained, drained ? 1 : 0);
}
