#include "lav/swim.h"

#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

#define SWIM_SELF 0 /* index of this node's own entry */
#define SWIM_INCARNATION_SHIFT 16
#define SWIM_DEAD_PROBE_PART 8 /* one probe in so many goes to the dead */
#define SWIM_REPEAT_FACTOR 3   /* news is told 3 * log2(members) times */

typedef struct swim_slot {
    swim_member entry;
    int64_t changed_us;
    int tell;    /* times that this entry is still to be told */
    bool probed; /* in this round */
} swim_slot;

struct swim_list {
    size_t count;
    swim_slot *slots; /* the first is this node */
};

static const char *const swim_state_names[SWIM_STATE_COUNT] = {
    "starting", "ready", "leaving", "suspect", "dead"};

/* Make a view that holds this node alone. */
int
swim_new(swim_list **out, const swim_member *self)
{
    swim_list *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        return ERR_NO_MEMORY;
    }
    m->slots = calloc(SWIM_MEMBERS_MAX, sizeof(*m->slots));
    if (m->slots == NULL) {
        free(m);
        return ERR_NO_MEMORY;
    }
    m->slots[SWIM_SELF].entry = *self;
    m->slots[SWIM_SELF].tell = 1;
    m->count = 1;
    *out = m;
    return 0;
}

/* Release the view; takes NULL. */
void
swim_free(swim_list *m)
{
    if (m != NULL) {
        free(m->slots);
        free(m);
    }
}

/* A new incarnation: rises with wall time, random in its low bits. */
uint64_t
swim_make_incarnation(int64_t wall_ms)
{
    uint64_t low = id_random() & ((1U << SWIM_INCARNATION_SHIFT) - 1);
    return ((uint64_t)wall_ms << SWIM_INCARNATION_SHIFT) | low;
}

static int
swim_repeats(const swim_list *m)
{
    int log2 = 1;
    while (((size_t)1 << log2) < m->count) {
        log2++;
    }
    return SWIM_REPEAT_FACTOR * log2;
}

static swim_slot *
swim_find(swim_list *m, const char *name)
{
    for (size_t i = 0; i < m->count; i++) {
        if (strcmp(m->slots[i].entry.name, name) == 0) {
            return &m->slots[i];
        }
    }
    return NULL;
}

/* Whether `news` overrides `known` of the same name. */
static bool
swim_is_newer(const swim_member *news, const swim_member *known)
{
    if (news->incarnation != known->incarnation) {
        return news->incarnation > known->incarnation;
    }
    if (news->sequence != known->sequence) {
        return news->sequence > known->sequence;
    }
    return news->state > known->state;
}

/* Somebody suspects this node, or has buried it: deny it. */
static bool
swim_refute(swim_list *m, const swim_member *news)
{
    swim_slot *self = &m->slots[SWIM_SELF];
    if (news->incarnation != self->entry.incarnation ||
        !swim_is_newer(news, &self->entry)) {
        return false;
    }
    self->entry.sequence = news->sequence + 1;
    self->tell = swim_repeats(m);
    return true;
}

/* Take one piece of news in; true where the view changed. */
bool
swim_merge(swim_list *m, const swim_member *news, int64_t now_us)
{
    if (strcmp(news->name, m->slots[SWIM_SELF].entry.name) == 0) {
        return swim_refute(m, news);
    }
    swim_slot *slot = swim_find(m, news->name);
    if (slot == NULL) {
        if (m->count == SWIM_MEMBERS_MAX || news->state == SWIM_DEAD) {
            return false;
        }
        slot = &m->slots[m->count++];
        memset(slot, 0, sizeof(*slot));
    }
    else if (!swim_is_newer(news, &slot->entry)) {
        return false;
    }
    slot->entry = *news;
    slot->changed_us = now_us;
    slot->tell = swim_repeats(m);
    return true;
}

/* This node's own state changed; false where it is the same. */
bool
swim_set_self(swim_list *m, enum swim_state state)
{
    swim_slot *self = &m->slots[SWIM_SELF];
    if (self->entry.state == state) {
        return false;
    }
    self->entry.state = state;
    self->entry.sequence++;
    self->tell = swim_repeats(m);
    return true;
}

/* This node's own entry. */
const swim_member *
swim_self(const swim_list *m)
{
    return &m->slots[SWIM_SELF].entry;
}

static int
swim_probe_next(swim_list *m, bool dead)
{
    size_t start = 1 + id_random() % (m->count - 1);
    for (size_t i = 0; i < m->count - 1; i++) {
        size_t at = 1 + (start - 1 + i) % (m->count - 1);
        swim_slot *slot = &m->slots[at];
        if (!slot->probed && (slot->entry.state == SWIM_DEAD) == dead) {
            slot->probed = true;
            return (int)at;
        }
    }
    return SWIM_NONE;
}

/* Index of the member to probe now: each once a round, in random order,
 * and now and then a dead one, so that a healed partition is noticed;
 * SWIM_NONE where there is nobody else. */
int
swim_pick_probe(swim_list *m)
{
    if (m->count < 2) {
        return SWIM_NONE;
    }
    bool try_dead = id_random() % SWIM_DEAD_PROBE_PART == 0;
    int picked = swim_probe_next(m, try_dead);
    if (picked == SWIM_NONE && try_dead) {
        picked = swim_probe_next(m, false);
    }
    if (picked != SWIM_NONE) {
        return picked;
    }
    for (size_t i = 0; i < m->count; i++) {
        m->slots[i].probed = false;
    }
    return swim_probe_next(m, false);
}

/* A probe of a member was not answered: suspect it.  One that was leaving
 * is taken to have gone. */
void
swim_mark_suspect(swim_list *m, const char *name, uint64_t incarnation,
                  int64_t now_us)
{
    swim_slot *slot = swim_find(m, name);
    if (slot == NULL || slot->entry.incarnation != incarnation ||
        slot->entry.state >= SWIM_SUSPECT) {
        return;
    }
    bool leaving = slot->entry.state == SWIM_LEAVING;
    slot->entry.state = leaving ? SWIM_DEAD : SWIM_SUSPECT;
    slot->changed_us = now_us;
    slot->tell = swim_repeats(m);
}

/* Bury suspects that have not refuted and forget the long dead; true where
 * the view changed. */
bool
swim_tick(swim_list *m, int64_t now_us)
{
    bool changed = false;
    for (size_t i = 1; i < m->count; i++) {
        swim_slot *slot = &m->slots[i];
        int64_t age_us = now_us - slot->changed_us;
        if (slot->entry.state == SWIM_SUSPECT &&
            age_us >= SWIM_SUSPECT_TIMEOUT_US) {
            slot->entry.state = SWIM_DEAD;
            slot->changed_us = now_us;
            slot->tell = swim_repeats(m);
            changed = true;
        }
        else if (slot->entry.state == SWIM_DEAD &&
                 age_us >= SWIM_DEAD_TTL_US) {
            *slot = m->slots[--m->count];
            i--;
            changed = true;
        }
    }
    return changed;
}

/* Make sure that `name` is told again: it denies what it hears of itself,
 * and it can't while nobody tells it.  Copies the entry to `out` where the
 * member is suspected or dead. */
bool
swim_collect_accusation(swim_member *out, swim_list *m, const char *name)
{
    const swim_slot *slot = swim_find(m, name);
    if (slot == NULL || slot->entry.state < SWIM_SUSPECT) {
        return false;
    }
    *out = slot->entry;
    return true;
}

/* Copy out up to `max` entries to be told next, this node's own first, then
 * those told least; returns how many. */
size_t
swim_collect_updates(swim_member *out, swim_list *m, size_t max)
{
    size_t count = 0;
    out[count++] = m->slots[SWIM_SELF].entry;
    while (count < max) {
        swim_slot *best = NULL;
        for (size_t i = 1; i < m->count; i++) {
            swim_slot *slot = &m->slots[i];
            bool told = false;
            for (size_t j = 1; j < count; j++) {
                told = told || strcmp(out[j].name, slot->entry.name) == 0;
            }
            if (!told && slot->tell > 0 &&
                (best == NULL || slot->tell > best->tell)) {
                best = slot;
            }
        }
        if (best == NULL) {
            break;
        }
        best->tell--;
        out[count++] = best->entry;
    }
    return count;
}

/* Entries that are still to be told. */
size_t
swim_pending_updates(const swim_list *m)
{
    size_t untold = 0;
    for (size_t i = 1; i < m->count; i++) {
        untold += m->slots[i].tell > 0 ? 1 : 0;
    }
    return untold;
}

/* Members in the view, this node and the dead among them. */
size_t
swim_count(const swim_list *m)
{
    return m->count;
}

/* Entry at an index under swim_count(). */
const swim_member *
swim_get(const swim_list *m, size_t index)
{
    return &m->slots[index].entry;
}

/* Text of a state. */
const char *
swim_state_name(enum swim_state state)
{
    return (unsigned)state < SWIM_STATE_COUNT ? swim_state_names[state]
                                              : "unlisted";
}
