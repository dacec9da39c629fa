#include "lav/swim.h"

#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

#define SWIM_SELF 0               /* index of this node */
#define SWIM_INCARNATION_SHIFT 16 /* random low bits of an incarnation */
#define SWIM_DEAD_PROBE_ONE_IN 8  /* one in 8 probes goes to a dead member */
#define SWIM_TRANSMIT_FACTOR 3 /* an update is sent 3 * log2(members) times */

typedef struct swim_slot {
    swim_member member;
    int64_t changed_us; /* of the member's state, monotonic clock */
    int transmits_left; /* messages that are still to carry it */
    bool probed;        /* in this round */
} swim_slot;

struct swim_list {
    size_t count;
    swim_slot *slots; /* SWIM_SELF is this node */
};

static const char *const swim_state_names[SWIM_STATE_COUNT] = {
    "starting", "ready", "leaving", "suspect", "dead"};

/* Create a list that contains this node alone; ERR_NO_MEMORY on failure. */
int
swim_new(swim_list **out, const swim_member *self)
{
    swim_list *list = calloc(1, sizeof(*list));
    if (list == NULL) {
        return ERR_NO_MEMORY;
    }
    list->slots = calloc(SWIM_MEMBERS_MAX, sizeof(*list->slots));
    if (list->slots == NULL) {
        free(list);
        return ERR_NO_MEMORY;
    }
    list->slots[SWIM_SELF].member = *self;
    list->slots[SWIM_SELF].transmits_left = 1;
    list->count = 1;
    *out = list;
    return 0;
}

/* Free the list; accepts NULL. */
void
swim_free(swim_list *list)
{
    if (list != NULL) {
        free(list->slots);
        free(list);
    }
}

/* A new incarnation: the wall time, with random low bits. */
uint64_t
swim_make_incarnation(int64_t wall_ms)
{
    uint64_t low = id_random() & ((1U << SWIM_INCARNATION_SHIFT) - 1);
    return ((uint64_t)wall_ms << SWIM_INCARNATION_SHIFT) | low;
}

/* Number of messages that carry an update; SWIM_TRANSMIT_FACTOR times the
 * logarithm of the number of members, rounded up. */
static int
swim_transmit_limit(const swim_list *list)
{
    int log2 = 1;
    while (((size_t)1 << log2) < list->count) {
        log2++;
    }
    return SWIM_TRANSMIT_FACTOR * log2;
}

/* Slot of a member, or NULL. */
static swim_slot *
swim_find(swim_list *list, const char *name)
{
    for (size_t i = 0; i < list->count; i++) {
        if (strcmp(list->slots[i].member.name, name) == 0) {
            return &list->slots[i];
        }
    }
    return NULL;
}

/* Whether `update` supersedes `known`, the stored state of the same member. */
static bool
swim_is_newer(const swim_member *update, const swim_member *known)
{
    if (update->incarnation != known->incarnation) {
        return update->incarnation > known->incarnation;
    }
    if (update->sequence != known->sequence) {
        return update->sequence > known->sequence;
    }
    return update->state > known->state;
}

/* Refute an update that claims another state of this node, such as suspect or
 * dead, by a higher sequence number; true if it had to. */
static bool
swim_refute(swim_list *list, const swim_member *update)
{
    swim_slot *self = &list->slots[SWIM_SELF];
    if (update->incarnation != self->member.incarnation ||
        !swim_is_newer(update, &self->member)) {
        return false;
    }
    self->member.sequence = update->sequence + 1;
    self->transmits_left = swim_transmit_limit(list);
    return true;
}

/* Merge an update; true if the list changed. */
bool
swim_merge(swim_list *list, const swim_member *update, int64_t now_us)
{
    if (strcmp(update->name, list->slots[SWIM_SELF].member.name) == 0) {
        return swim_refute(list, update);
    }
    swim_slot *slot = swim_find(list, update->name);
    if (slot == NULL) {
        if (list->count == SWIM_MEMBERS_MAX || update->state == SWIM_DEAD) {
            return false;
        }
        slot = &list->slots[list->count++];
        memset(slot, 0, sizeof(*slot));
    }
    else if (!swim_is_newer(update, &slot->member)) {
        return false;
    }
    slot->member = *update;
    slot->changed_us = now_us;
    slot->transmits_left = swim_transmit_limit(list);
    return true;
}

/* Set the state of this node; false if it is unchanged. */
bool
swim_set_self(swim_list *list, enum swim_state state)
{
    swim_slot *self = &list->slots[SWIM_SELF];
    if (self->member.state == state) {
        return false;
    }
    self->member.state = state;
    self->member.sequence++;
    self->transmits_left = swim_transmit_limit(list);
    return true;
}

/* This node as a member. */
const swim_member *
swim_self(const swim_list *list)
{
    return &list->slots[SWIM_SELF].member;
}

/* Pick a random member that was not probed in this round, among the dead ones
 * or the others; SWIM_NONE if there is none. */
static int
swim_pick_unprobed(swim_list *list, bool dead)
{
    size_t start = 1 + id_random() % (list->count - 1);
    for (size_t i = 0; i < list->count - 1; i++) {
        size_t index = 1 + (start - 1 + i) % (list->count - 1);
        swim_slot *slot = &list->slots[index];
        if (!slot->probed && (slot->member.state == SWIM_DEAD) == dead) {
            slot->probed = true;
            return (int)index;
        }
    }
    return SWIM_NONE;
}

/* Index of the member to probe now, or SWIM_NONE if there is no candidate.
 * Each one is probed once per round, in random order.  Sometimes it is a dead
 * one, so that the end of a network partition is noticed. */
int
swim_pick_probe(swim_list *list)
{
    if (list->count < 2) {
        return SWIM_NONE;
    }
    bool try_dead = id_random() % SWIM_DEAD_PROBE_ONE_IN == 0;
    int picked = swim_pick_unprobed(list, try_dead);
    if (picked == SWIM_NONE && try_dead) {
        picked = swim_pick_unprobed(list, false);
    }
    if (picked != SWIM_NONE) {
        return picked;
    }
    for (size_t i = 0; i < list->count; i++) {
        list->slots[i].probed = false;
    }
    return swim_pick_unprobed(list, false);
}

/* Suspect a member that did not answer a probe.  One that was leaving is
 * considered dead. */
void
swim_mark_suspect(swim_list *list, const char *name, uint64_t incarnation,
                  int64_t now_us)
{
    swim_slot *slot = swim_find(list, name);
    if (slot == NULL || slot->member.incarnation != incarnation ||
        slot->member.state >= SWIM_SUSPECT) {
        return;
    }
    bool leaving = slot->member.state == SWIM_LEAVING;
    slot->member.state = leaving ? SWIM_DEAD : SWIM_SUSPECT;
    slot->changed_us = now_us;
    slot->transmits_left = swim_transmit_limit(list);
}

/* Declare suspects dead that have not refuted in time, and remove members that
 * have been dead for SWIM_DEAD_TTL_US; true if the list changed. */
bool
swim_tick(swim_list *list, int64_t now_us)
{
    bool changed = false;
    for (size_t i = 1; i < list->count; i++) {
        swim_slot *slot = &list->slots[i];
        int64_t age_us = now_us - slot->changed_us;
        if (slot->member.state == SWIM_SUSPECT &&
            age_us >= SWIM_SUSPECT_TIMEOUT_US) {
            slot->member.state = SWIM_DEAD;
            slot->changed_us = now_us;
            slot->transmits_left = swim_transmit_limit(list);
            changed = true;
        }
        else if (slot->member.state == SWIM_DEAD &&
                 age_us >= SWIM_DEAD_TTL_US) {
            *slot = list->slots[--list->count];
            i--;
            changed = true;
        }
    }
    return changed;
}

/* Copy the member `name` to `out` if it is suspected or dead, otherwise return
 * false.  The copy is sent to the member itself, which can only refute what it
 * is told, even if the update is no longer sent to others. */
bool
swim_get_suspicion(swim_member *out, swim_list *list, const char *name)
{
    const swim_slot *slot = swim_find(list, name);
    if (slot == NULL || slot->member.state < SWIM_SUSPECT) {
        return false;
    }
    *out = slot->member;
    return true;
}

/* Copy up to `max` updates for the next message to `out`: this node first,
 * then those that were sent least often.  Returns their number. */
size_t
swim_collect_updates(swim_member *out, swim_list *list, size_t max)
{
    size_t count = 0;
    out[count++] = list->slots[SWIM_SELF].member;
    while (count < max) {
        swim_slot *best = NULL;
        for (size_t i = 1; i < list->count; i++) {
            swim_slot *slot = &list->slots[i];
            bool collected = false;
            for (size_t j = 1; j < count; j++) {
                collected =
                    collected || strcmp(out[j].name, slot->member.name) == 0;
            }
            if (!collected && slot->transmits_left > 0 &&
                (best == NULL ||
                 slot->transmits_left > best->transmits_left)) {
                best = slot;
            }
        }
        if (best == NULL) {
            break;
        }
        best->transmits_left--;
        out[count++] = best->member;
    }
    return count;
}

/* Number of updates that are still to be sent. */
size_t
swim_pending_updates(const swim_list *list)
{
    size_t pending = 0;
    for (size_t i = 1; i < list->count; i++) {
        pending += list->slots[i].transmits_left > 0 ? 1 : 0;
    }
    return pending;
}

/* Number of members, including this node and dead ones. */
size_t
swim_count(const swim_list *list)
{
    return list->count;
}

/* Member at an index below swim_count(). */
const swim_member *
swim_get(const swim_list *list, size_t index)
{
    return &list->slots[index].member;
}

/* Name of a state. */
const char *
swim_state_name(enum swim_state state)
{
    return (unsigned)state < SWIM_STATE_COUNT ? swim_state_names[state]
                                              : "unlisted";
}
