#include "lav/mbr.h"

#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

#define MBR_SELF 0 /* index of this node's own entry */
#define MBR_INCARNATION_SHIFT 16
#define MBR_DEAD_PROBE_PART 8 /* one probe in so many goes to the dead */
#define MBR_REPEAT_FACTOR 3   /* news is told 3 * log2(members) times */

typedef struct mbr_slot {
    mbr_entry entry;
    int64_t changed_us;
    int tell;    /* times that this entry is still to be told */
    bool probed; /* in this round */
} mbr_slot;

struct mbr {
    size_t count;
    mbr_slot *slots; /* the first is this node */
};

static const char *const mbr_state_names[MBR_STATE_COUNT] = {
    "starting", "ready", "leaving", "suspect", "dead"};

/* Make a view that holds this node alone. */
int
mbr_new(mbr **out, const mbr_entry *self)
{
    mbr *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        return ERR_NO_MEMORY;
    }
    m->slots = calloc(MBR_MAX, sizeof(*m->slots));
    if (m->slots == NULL) {
        free(m);
        return ERR_NO_MEMORY;
    }
    m->slots[MBR_SELF].entry = *self;
    m->slots[MBR_SELF].tell = 1;
    m->count = 1;
    *out = m;
    return 0;
}

/* Release the view; takes NULL. */
void
mbr_free(mbr *m)
{
    if (m != NULL) {
        free(m->slots);
        free(m);
    }
}

/* A new incarnation: rises with wall time, random in its low bits. */
uint64_t
mbr_incarnation(int64_t wall_ms)
{
    uint64_t low = id_random() & ((1U << MBR_INCARNATION_SHIFT) - 1);
    return ((uint64_t)wall_ms << MBR_INCARNATION_SHIFT) | low;
}

static int
mbr_repeats(const mbr *m)
{
    int log2 = 1;
    while (((size_t)1 << log2) < m->count) {
        log2++;
    }
    return MBR_REPEAT_FACTOR * log2;
}

static mbr_slot *
mbr_find(mbr *m, const char *name)
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
mbr_newer(const mbr_entry *news, const mbr_entry *known)
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
mbr_refute(mbr *m, const mbr_entry *news)
{
    mbr_slot *self = &m->slots[MBR_SELF];
    if (news->incarnation != self->entry.incarnation ||
        !mbr_newer(news, &self->entry)) {
        return false;
    }
    self->entry.sequence = news->sequence + 1;
    self->tell = mbr_repeats(m);
    return true;
}

/* Take one piece of news in; true where the view changed. */
bool
mbr_merge(mbr *m, const mbr_entry *news, int64_t now_us)
{
    if (strcmp(news->name, m->slots[MBR_SELF].entry.name) == 0) {
        return mbr_refute(m, news);
    }
    mbr_slot *slot = mbr_find(m, news->name);
    if (slot == NULL) {
        if (m->count == MBR_MAX || news->state == MBR_DEAD) {
            return false;
        }
        slot = &m->slots[m->count++];
        memset(slot, 0, sizeof(*slot));
    }
    else if (!mbr_newer(news, &slot->entry)) {
        return false;
    }
    slot->entry = *news;
    slot->changed_us = now_us;
    slot->tell = mbr_repeats(m);
    return true;
}

/* This node's own state changed; false where it is the same. */
bool
mbr_set_self(mbr *m, enum mbr_state state)
{
    mbr_slot *self = &m->slots[MBR_SELF];
    if (self->entry.state == state) {
        return false;
    }
    self->entry.state = state;
    self->entry.sequence++;
    self->tell = mbr_repeats(m);
    return true;
}

/* This node's own entry. */
const mbr_entry *
mbr_self(const mbr *m)
{
    return &m->slots[MBR_SELF].entry;
}

static int
mbr_probe_next(mbr *m, bool dead)
{
    size_t start = 1 + id_random() % (m->count - 1);
    for (size_t i = 0; i < m->count - 1; i++) {
        size_t at = 1 + (start - 1 + i) % (m->count - 1);
        mbr_slot *slot = &m->slots[at];
        if (!slot->probed && (slot->entry.state == MBR_DEAD) == dead) {
            slot->probed = true;
            return (int)at;
        }
    }
    return MBR_NONE;
}

/* Index of the member to probe now: each once a round, in random order,
 * and now and then a dead one, so that a healed partition is noticed;
 * MBR_NONE where there is nobody else. */
int
mbr_probe_pick(mbr *m)
{
    if (m->count < 2) {
        return MBR_NONE;
    }
    bool try_dead = id_random() % MBR_DEAD_PROBE_PART == 0;
    int picked = mbr_probe_next(m, try_dead);
    if (picked == MBR_NONE && try_dead) {
        picked = mbr_probe_next(m, false);
    }
    if (picked != MBR_NONE) {
        return picked;
    }
    for (size_t i = 0; i < m->count; i++) {
        m->slots[i].probed = false;
    }
    return mbr_probe_next(m, false);
}

/* A probe of a member was not answered: suspect it.  One that was leaving
 * is taken to have gone. */
void
mbr_probe_failed(mbr *m, const char *name, uint64_t incarnation,
                 int64_t now_us)
{
    mbr_slot *slot = mbr_find(m, name);
    if (slot == NULL || slot->entry.incarnation != incarnation ||
        slot->entry.state >= MBR_SUSPECT) {
        return;
    }
    bool leaving = slot->entry.state == MBR_LEAVING;
    slot->entry.state = leaving ? MBR_DEAD : MBR_SUSPECT;
    slot->changed_us = now_us;
    slot->tell = mbr_repeats(m);
}

/* Bury suspects that have not refuted and forget the long dead; true where
 * the view changed. */
bool
mbr_tick(mbr *m, int64_t now_us)
{
    bool changed = false;
    for (size_t i = 1; i < m->count; i++) {
        mbr_slot *slot = &m->slots[i];
        int64_t age_us = now_us - slot->changed_us;
        if (slot->entry.state == MBR_SUSPECT && age_us >= MBR_SUSPECT_US) {
            slot->entry.state = MBR_DEAD;
            slot->changed_us = now_us;
            slot->tell = mbr_repeats(m);
            changed = true;
        }
        else if (slot->entry.state == MBR_DEAD && age_us >= MBR_FORGET_US) {
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
mbr_news_of_accused(mbr_entry *out, mbr *m, const char *name)
{
    const mbr_slot *slot = mbr_find(m, name);
    if (slot == NULL || slot->entry.state < MBR_SUSPECT) {
        return false;
    }
    *out = slot->entry;
    return true;
}

/* Copy out up to `max` entries to be told next, this node's own first, then
 * those told least; returns how many. */
size_t
mbr_news(mbr_entry *out, mbr *m, size_t max)
{
    size_t count = 0;
    out[count++] = m->slots[MBR_SELF].entry;
    while (count < max) {
        mbr_slot *best = NULL;
        for (size_t i = 1; i < m->count; i++) {
            mbr_slot *slot = &m->slots[i];
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
mbr_untold(const mbr *m)
{
    size_t untold = 0;
    for (size_t i = 1; i < m->count; i++) {
        untold += m->slots[i].tell > 0 ? 1 : 0;
    }
    return untold;
}

/* Members in the view, this node and the dead among them. */
size_t
mbr_count(const mbr *m)
{
    return m->count;
}

/* Entry at an index under mbr_count(). */
const mbr_entry *
mbr_get(const mbr *m, size_t index)
{
    return &m->slots[index].entry;
}

/* Text of a state. */
const char *
mbr_state_name(enum mbr_state state)
{
    return (unsigned)state < MBR_STATE_COUNT ? mbr_state_names[state]
                                             : "unlisted";
}
