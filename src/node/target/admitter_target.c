/* The local target: whether it is up, and how it leaves. */
#include "admitter_private.h"
#include "lav/clock.h"
#include "lav/log.h"

#define ADMITTER_SILENCE_US                                                   \
    3000000 /* a target that is silent so long is down */
#define ADMITTER_RELINQUISH_AHEAD_MS                                          \
    1000 /* for peers to learn of the new owners */

/* Leave: from a moment shortly ahead on, ids belong to other nodes.  What
 * was accepted until then is still served. */
static void
admitter_target_leave(admitter_state *a, int64_t now_us)
{
    a->target.draining = true;
    a->target.drain_started_us = now_us;
    a->relinquished_ms = clock_wall_ms() + ADMITTER_RELINQUISH_AHEAD_MS;
    dedup_stop_accepting(a->record, a->relinquished_ms);
    atomic_store(&a->node->load.relinquished_ms, a->relinquished_ms);
    atomic_store(&a->node->load.draining, 1);
    log_write(LOG_INFO, NULL, "the target is leaving");
}

static void
admitter_target_return(admitter_state *a)
{
    a->target.draining = false;
    a->relinquished_ms = 0;
    atomic_store(&a->node->load.relinquished_ms, 0);
    atomic_store(&a->node->load.draining, 0);
    atomic_store(&a->node->load.drained, 0);
}

/* The target announced itself: at its start, and regularly after that. */
void
admitter_target_update(admitter_state *a, const target_info *said,
                       int64_t now_us)
{
    admitter_target *target = &a->target;
    bool started = !target->known || target->said.start != said->start;
    bool changed = started || target->said.slots != said->slots;
    target->known = true;
    target->said = *said;
    target->heard_us = now_us;
    if (changed) {
        admission_set_slots(a->admission, said->slots, started && said->cold,
                            now_us);
        atomic_store(&a->node->load.slots, said->slots);
        target_http_set_threads(a->node->target_pool, said->slots, NULL);
    }
    bool stopping = atomic_load(&a->node->load.stopping) != 0;
    if (started && target->draining && !said->draining && !stopping) {
        admitter_target_return(a);
    }
    if (said->draining && !target->draining) {
        admitter_target_leave(a, now_us);
    }
}

/* Whether the target is up, whether or not it is leaving. */
bool
admitter_target_is_up(const admitter_state *a, int64_t now_us)
{
    return a->target.known &&
           now_us - a->target.heard_us < ADMITTER_SILENCE_US;
}

/* Whether a leaving target still takes calls that only it may run. */
bool
admitter_target_in_drain_grace(const admitter_state *a, int64_t now_us)
{
    int64_t linger_us = a->node->settings.linger_ms * CLOCK_US_PER_MS;
    return now_us - a->target.drain_started_us < linger_us;
}

/* No connection to the target: it is down until it announces itself. */
void
admitter_target_mark_down(admitter_state *a)
{
    a->target.known = false;
}

/* Publish what has changed with time. */
void
admitter_target_publish_load(admitter_state *a, int64_t now_us)
{
    node_load *load = &a->node->load;
    if (atomic_load(&load->stopping) != 0 && !a->target.draining) {
        admitter_target_leave(a, now_us);
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
