/* Heartbeats of the target and announcements that it leaves. */
#include <string.h>

#include "lav/clock.h"
#include "local_target_private.h"

/* Handles a registration heartbeat.  Returns false if it is stale: from an
 * earlier start of the target, or overtaken by a later heartbeat.  One of a
 * target that may have left under an earlier start of the node is accepted, but
 * the target is not used until that is known.  If the
 * known target is down, another instance is accepted even with an earlier
 * start time, as the clock may have been set back.  Should that heartbeat only
 * be late, the first request fails because the instance is not there. */
bool
local_target_register(local_target *t, const local_target_heartbeat *heartbeat)
{
    bool same = strcmp(heartbeat->instance, t->instance) == 0 &&
                heartbeat->born_ms == t->born_ms;
    bool replaces_down =
        t->down && strcmp(heartbeat->instance, t->instance) != 0;
    if (!same && t->instance[0] != '\0' && heartbeat->born_ms <= t->born_ms &&
        !replaces_down) {
        return false;
    }
    if (same && heartbeat->sequence <= t->sequence) {
        return false;
    }
    if (local_target_await_confirmation(t, heartbeat)) {
        return true;
    }
    if (!same) {
        local_target_reset(t, heartbeat->instance, heartbeat->born_ms);
    }
    t->sequence = heartbeat->sequence;
    t->down = false;
    if (!same || heartbeat->slots != t->slots) {
        t->slots = heartbeat->slots;
        local_target_update_limit(t);
    }
    if (heartbeat->leaving && !t->draining) {
        local_target_begin_drain(t);
    }
    t->registered = true;
    local_target_announce_state(t);
    return true;
}

/* Handles the announcement that an instance leaves.  The instance is
 * remembered with its start time, or with the current time if it has not
 * registered, so that a late heartbeat of that or an earlier start does not
 * bring it back. */
void
local_target_drain(local_target *t, const char *instance)
{
    bool current = strcmp(instance, t->instance) == 0;
    departed_targets_add(&t->departed, instance,
                         current && t->registered ? t->born_ms
                                                  : clock_wall_ms());
    if (current && !t->draining) {
        local_target_begin_drain(t);
        local_target_announce_state(t);
    }
    local_target_recover_departed(t);
}

/* Begins to drain the target if a response says that it leaves. */
void
local_target_update_leaving(local_target *t, const http_head *head)
{
    http_str leaving = http_head_get_field(head, t->n->header_names->leaving);
    if (!t->draining &&
        http_str_equals_nocase(leaving, LOCAL_TARGET_LEAVING)) {
        local_target_drain(t, t->instance);
    }
}

/* Considers the heartbeat that is held, if there is one, as more is known now:
 * its target is used if it has not left, else checked.  No heartbeat has
 * arrived, so that this does not show that they have gone on. */
static void
local_target_confirm(local_target *t)
{
    if (t->instance[0] != '\0' || t->unconfirmed.instance[0] == '\0') {
        return;
    }
    if (local_target_may_have_left(t, &t->unconfirmed)) {
        local_target_check_unconfirmed(t);
        return;
    }
    local_target_heartbeat heartbeat = t->unconfirmed;
    local_target_register(t, &heartbeat);
}

/* Another desired state is in force, which may name the health path by which
 * targets are checked. */
void
local_target_on_config(local_target *t)
{
    local_target_probe_candidate(t);
    local_target_confirm(t);
}

/* Timer: the store's entries were not read in time. */
void
local_target_on_entries_wait(struct ev_loop *loop, ev_timer *watcher,
                             int events)
{
    (void)loop;
    (void)events;
    local_target *t = watcher->data;
    evloop_update_now(t->n->l);
    local_target_confirm(t);
}

/* The store's entries have been read, and with them what an earlier start of
 * the node announced, if there was one. */
void
local_target_set_earlier_known(local_target *t)
{
    t->earlier_known = true;
    local_target_confirm(t);
}
