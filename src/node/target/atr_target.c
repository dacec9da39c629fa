/* The local target: whether it is up, and how it leaves. */
#include "atr_private.h"
#include "lav/clock.h"
#include "lav/log.h"

#define ATR_SILENCE_US 3000000 /* a target that is silent so long is down */
#define ATR_RELINQUISH_AHEAD_MS 1000 /* for peers to learn of the new owners */

/* Leave: from a moment shortly ahead on, ids belong to other nodes.  What
 * was accepted until then is still served. */
static void
atr_target_leave(atr *a, int64_t now_us)
{
    a->target.draining = true;
    a->target.drain_since_us = now_us;
    a->relinquished_ms = clock_wall_ms() + ATR_RELINQUISH_AHEAD_MS;
    dedup_stop_accepting(a->record, a->relinquished_ms);
    atomic_store(&a->node->load.relinquished_ms, a->relinquished_ms);
    atomic_store(&a->node->load.draining, 1);
    log_write(LOG_INFO, NULL, "the target is leaving");
}

static void
atr_target_return(atr *a)
{
    a->target.draining = false;
    a->relinquished_ms = 0;
    atomic_store(&a->node->load.relinquished_ms, 0);
    atomic_store(&a->node->load.draining, 0);
    atomic_store(&a->node->load.drained, 0);
}

/* The target announced itself: at its start, and regularly after that. */
void
atr_target_announce(atr *a, const anc *said, int64_t now_us)
{
    atr_target *target = &a->target;
    bool started = !target->known || target->said.start != said->start;
    bool changed = started || target->said.slots != said->slots;
    target->known = true;
    target->said = *said;
    target->heard_us = now_us;
    if (changed) {
        admission_set_slots(a->admission, said->slots, started && said->cold,
                            now_us);
        atomic_store(&a->node->load.slots, said->slots);
        dlv_set_threads(a->node->deliverer, said->slots, NULL);
    }
    bool stopping = atomic_load(&a->node->load.stopping) != 0;
    if (started && target->draining && !said->draining && !stopping) {
        atr_target_return(a);
    }
    if (said->draining && !target->draining) {
        atr_target_leave(a, now_us);
    }
}

/* Whether the target is up, whether or not it is leaving. */
bool
atr_target_ready(const atr *a, int64_t now_us)
{
    return a->target.known && now_us - a->target.heard_us < ATR_SILENCE_US;
}

/* Whether a leaving target still takes calls that only it may run. */
bool
atr_target_lingers(const atr *a, int64_t now_us)
{
    int64_t linger_us = a->node->settings.linger_ms * CLOCK_US_PER_MS;
    return now_us - a->target.drain_since_us < linger_us;
}

/* No connection to the target: it is down until it announces itself. */
void
atr_target_failed(atr *a)
{
    a->target.known = false;
}

/* Publish what has changed with time. */
void
atr_target_tick(atr *a, int64_t now_us)
{
    node_load *load = &a->node->load;
    if (atomic_load(&load->stopping) != 0 && !a->target.draining) {
        atr_target_leave(a, now_us);
    }
    int serving = admission_in_flight_count(a->admission) +
                  admission_queued_count(a->admission);
    atomic_store(&load->serving, serving);
    atomic_store(&load->limit, admission_get_limit(a->admission));
    atomic_store(&load->level, admission_get_level(a->admission));
    atomic_store(&load->ready, atr_target_ready(a, now_us) ? 1 : 0);
    bool drained =
        a->target.draining && serving == 0 && !atr_target_lingers(a, now_us);
    atomic_store(&load->drained, drained ? 1 : 0);
}
