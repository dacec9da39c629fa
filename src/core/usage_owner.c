#include "lav/usage_owner.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/err.h"

/* Workspaces that an owner keeps state of, in each slot; further ones get
 * nothing. */
#define USAGE_OWNER_BUCKETS_MAX 4096

/* Rounding error of the sum of the shares. */
#define USAGE_OWNER_SHARE_ERROR 1e-9

/* Time over which the messages for a workspace are averaged, in seconds. */
#define USAGE_OWNER_ASKS_S 0.25

/* A node that lends its share, or did: the entry outlives the share so that
 * late messages are recognized. */
typedef struct usage_owner_lender {
    uint64_t id;
    uint64_t sequence;
    double share;     /* 0 to 1; 0: taken back */
    int64_t quiet_us; /* usage_ask.quiet_us */
    int64_t until_us; /* share, or entry if it is 0, ends here */
} usage_owner_lender;

/* Requests that may be granted to one workspace. */
typedef struct usage_owner_bucket {
    double rate_per_s;
    double capacity; /* if all shares were lent */
    double tokens;
    double filled; /* usage_owner_slot.accrued at the last update */
    double room;   /* least distance from `capacity` since the first share */
    double asks_per_s;
    int64_t asked_us;
} usage_owner_bucket;

typedef struct usage_owner_slot {
    GArray *lenders;        /* usage_owner_lender */
    double share;           /* sum over the lenders, at most 1 */
    double accrued;         /* integral of `share` over time, in seconds */
    double fallen;          /* `accrued` when `share` last fell */
    double lent;            /* `accrued` when the first share was lent */
    int64_t empty_until_us; /* when it was lent */
    int64_t empty_from_us;  /* when there was none, before that */
    bool credited;          /* usage_owner_credit() is done, or given up */
    int64_t updated_us;
    int64_t next_end_us; /* earliest end of a lender's entry */
    GHashTable *buckets; /* workspace id -> usage_owner_bucket */
} usage_owner_slot;

struct usage_owner {
    uint64_t epoch;
    bool leaving;
    usage_owner_find_cb find;
    void *payload;
    usage_owner_slot slots[USAGE_CAP_SLOTS];
};

/* Initializes a slot to which nothing is lent. */
static void
usage_owner_slot_init(usage_owner_slot *slot)
{
    *slot = (usage_owner_slot){.next_end_us = INT64_MAX};
    slot->lenders = g_array_new(FALSE, FALSE, sizeof(usage_owner_lender));
    slot->buckets =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

/* Releases what a slot holds. */
static void
usage_owner_slot_clear(usage_owner_slot *slot)
{
    g_array_free(slot->lenders, TRUE);
    g_hash_table_destroy(slot->buckets);
}

/* Creates an owner without lenders.  `epoch` is random and not 0; messages
 * that belong to another one lend nothing.  ERR_NO_MEMORY if memory is
 * exhausted. */
int
usage_owner_new(usage_owner **out, uint64_t epoch, usage_owner_find_cb find,
                void *payload)
{
    usage_owner *owner = calloc(1, sizeof(*owner));
    if (owner == NULL) {
        return ERR_NO_MEMORY;
    }
    owner->epoch = epoch;
    owner->find = find;
    owner->payload = payload;
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        usage_owner_slot_init(&owner->slots[i]);
    }
    *out = owner;
    return 0;
}

/* Frees the owner; NULL is allowed. */
void
usage_owner_free(usage_owner *owner)
{
    if (owner == NULL) {
        return;
    }
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        usage_owner_slot_clear(&owner->slots[i]);
    }
    free(owner);
}

/* Forgets all that was lent, as after a time in which the clock stood. */
void
usage_owner_reset(usage_owner *owner, uint64_t epoch)
{
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        usage_owner_slot_clear(&owner->slots[i]);
        usage_owner_slot_init(&owner->slots[i]);
    }
    owner->epoch = epoch;
}

/* Tells all nodes from now on to lend to others, as this one stops soon. */
void
usage_owner_leave(usage_owner *owner)
{
    owner->leaving = true;
}

/* Adds to a bucket what has accrued since its last update. */
static void
usage_owner_fill(usage_owner_bucket *bucket, const usage_owner_slot *slot)
{
    bucket->tokens += bucket->rate_per_s * (slot->accrued - bucket->filled);
    bucket->tokens = MIN(bucket->tokens, bucket->capacity * slot->share);
    bucket->filled = slot->accrued;
    bucket->room = MIN(bucket->room, bucket->capacity - bucket->tokens);
}

/* Sets the sum of the shares and limits all buckets to it. */
static void
usage_owner_set_share(usage_owner_slot *slot, double share)
{
    GHashTableIter iter;
    gpointer value = NULL;
    bool falls = share < slot->share - USAGE_OWNER_SHARE_ERROR;
    g_hash_table_iter_init(&iter, slot->buckets);
    while (falls && g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_owner_fill(value, slot);
    }
    slot->share = share;
    slot->fallen = falls ? slot->accrued : slot->fallen;
    g_hash_table_iter_init(&iter, slot->buckets);
    while (falls && g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_owner_fill(value, slot);
    }
}

/* The first share is lent to a slot that had none: no bucket holds a token. */
static void
usage_owner_begin(usage_owner_slot *slot)
{
    GHashTableIter iter;
    gpointer value = NULL;
    slot->lent = slot->accrued;
    slot->empty_until_us = slot->updated_us;
    slot->credited = false;
    g_hash_table_iter_init(&iter, slot->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_owner_bucket *bucket = value;
        usage_owner_fill(bucket, slot);
        bucket->room = bucket->capacity;
    }
}

/* Recomputes the sum of the shares and the next end from the lenders. */
static void
usage_owner_sum(usage_owner_slot *slot)
{
    double share = 0;
    slot->next_end_us = INT64_MAX;
    for (guint i = 0; i < slot->lenders->len; i++) {
        const usage_owner_lender *lender =
            &g_array_index(slot->lenders, usage_owner_lender, i);
        share += lender->share;
        slot->next_end_us = MIN(slot->next_end_us, lender->until_us);
    }
    if (share <= 0 && slot->share > 0) {
        slot->empty_from_us = slot->updated_us;
    }
    else if (share > 0 && slot->share <= 0) {
        usage_owner_begin(slot);
    }
    usage_owner_set_share(slot, MIN(share, 1));
}

/* Accrues up to `to_us`. */
static void
usage_owner_accrue(usage_owner_slot *slot, int64_t to_us)
{
    if (to_us > slot->updated_us) {
        slot->accrued +=
            slot->share * (double)(to_us - slot->updated_us) / CLOCK_US_PER_S;
        slot->updated_us = to_us;
    }
}

/* Advances a slot to now: shares count up to their end. */
static void
usage_owner_advance(usage_owner_slot *slot, int64_t now_us)
{
    while (slot->next_end_us <= now_us) {
        int64_t end_us = slot->next_end_us;
        usage_owner_accrue(slot, end_us);
        for (guint i = slot->lenders->len; i-- > 0;) {
            if (g_array_index(slot->lenders, usage_owner_lender, i).until_us <=
                end_us) {
                g_array_remove_index_fast(slot->lenders, i);
            }
        }
        usage_owner_sum(slot);
    }
    usage_owner_accrue(slot, now_us);
}

/* Whether shares, or statements of the lenders, that are missing may still
 * come. */
static bool
usage_owner_is_settling(const usage_owner_slot *slot, int64_t now_us)
{
    return slot->share <= 0 ||
           (!slot->credited &&
            now_us < slot->empty_until_us + USAGE_CAP_SETTLE_US);
}

/* Adds to all buckets what accrued while the shares were lent to nobody, once
 * all of them are lent.  If all lenders have begun no request but those granted
 * here since some time, this owner has granted all that was used since then,
 * and the whole rate has accrued since.  A bucket that was full meanwhile is
 * given that much less. */
static void
usage_owner_credit(usage_owner_slot *slot, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    int64_t quiet_us = slot->empty_from_us;
    if (!usage_owner_is_settling(slot, now_us) ||
        slot->share < 1 - USAGE_OWNER_SHARE_ERROR) {
        return;
    }
    for (guint i = 0; i < slot->lenders->len; i++) {
        const usage_owner_lender *lender =
            &g_array_index(slot->lenders, usage_owner_lender, i);
        if (lender->quiet_us <= 0) {
            return;
        }
        quiet_us = MAX(quiet_us, lender->quiet_us);
    }
    double passed_s = (double)(now_us - quiet_us) / CLOCK_US_PER_S;
    double credit_s = MAX(0, passed_s - (slot->accrued - slot->lent));
    slot->credited = true;
    g_hash_table_iter_init(&iter, slot->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_owner_bucket *bucket = value;
        usage_owner_fill(bucket, slot);
        bucket->tokens += MIN(bucket->rate_per_s * credit_s, bucket->room);
        bucket->tokens = MIN(bucket->tokens, bucket->capacity * slot->share);
    }
    slot->fallen -= credit_s;
}

/* Takes the share that comes with a message, or takes it back.  Returns
 * whether the sender lends now: false for a message that was overtaken. */
static bool
usage_owner_lend(usage_owner_slot *slot, const usage_ask *ask, int members,
                 int64_t now_us)
{
    usage_owner_lender *lender = NULL;
    for (guint i = 0; i < slot->lenders->len && lender == NULL; i++) {
        lender = &g_array_index(slot->lenders, usage_owner_lender, i);
        lender = lender->id == ask->lender ? lender : NULL;
    }
    if (lender != NULL && lender->sequence >= ask->sequence) {
        return false;
    }
    bool lends = ask->until_us > now_us;
    if (lender == NULL) {
        if (slot->lenders->len >= USAGE_CAP_MEMBERS_MAX) {
            return false;
        }
        g_array_set_size(slot->lenders, slot->lenders->len + 1);
        lender = &g_array_index(slot->lenders, usage_owner_lender,
                                slot->lenders->len - 1);
    }
    *lender = (usage_owner_lender){
        .id = ask->lender,
        .sequence = ask->sequence,
        .share = lends ? 1. / MAX(ask->members, members) : 0,
        .quiet_us = lends && ask->quiet_us <= now_us ? ask->quiet_us : 0,
        .until_us = lends ? MIN(ask->until_us, now_us + USAGE_CAP_LEASE_MAX_US)
                          : now_us + USAGE_CAP_LEASE_MAX_US};
    usage_owner_sum(slot);
    usage_owner_credit(slot, now_us);
    return lends;
}

/* Whether the desired state in force doesn't hold a workspace any more. */
static gboolean
usage_owner_is_unknown(gpointer key, gpointer value, gpointer payload)
{
    const usage_owner *owner = payload;
    (void)value;
    return owner->find(GPOINTER_TO_UINT(key), owner->payload) == NULL;
}

/* Returns the bucket of a workspace, filled up to now, with its cap as of the
 * desired state in force; a new one was empty when the shares last fell.  NULL
 * if `entry` is NULL or there are too many. */
static usage_owner_bucket *
usage_owner_get_bucket(usage_owner *owner, usage_owner_slot *slot,
                       const workspace *entry)
{
    if (entry == NULL) {
        return NULL;
    }
    gpointer key = GUINT_TO_POINTER(entry->id);
    usage_owner_bucket *bucket = g_hash_table_lookup(slot->buckets, key);
    if (bucket == NULL) {
        if (g_hash_table_size(slot->buckets) >= USAGE_OWNER_BUCKETS_MAX) {
            g_hash_table_foreach_remove(slot->buckets, usage_owner_is_unknown,
                                        owner);
            slot->fallen = slot->accrued;
            slot->credited = true;
        }
        if (g_hash_table_size(slot->buckets) >= USAGE_OWNER_BUCKETS_MAX) {
            return NULL;
        }
        bucket = g_new0(usage_owner_bucket, 1);
        bucket->rate_per_s = entry->rate_per_s;
        bucket->capacity = entry->burst + USAGE_CAP_SLACK;
        bucket->filled = slot->fallen;
        bucket->room = bucket->capacity;
        g_hash_table_insert(slot->buckets, key, bucket);
    }
    usage_owner_fill(bucket, slot);
    bucket->rate_per_s = entry->rate_per_s;
    bucket->capacity = entry->burst + USAGE_CAP_SLACK;
    bucket->tokens = MIN(bucket->tokens, bucket->capacity * slot->share);
    bucket->room = MIN(bucket->room, bucket->capacity - bucket->tokens);
    return bucket;
}

/* Counts a message that asks for a workspace. */
static void
usage_owner_count_ask(usage_owner_bucket *bucket, int64_t now_us)
{
    double passed_s = (double)(now_us - bucket->asked_us) / CLOCK_US_PER_S;
    bucket->asks_per_s =
        bucket->asks_per_s * exp(-passed_s / USAGE_OWNER_ASKS_S) +
        1 / USAGE_OWNER_ASKS_S;
    bucket->asked_us = now_us;
}

/* Returns when a node is to ask again for a workspace without tokens: the more
 * nodes ask, the later. */
static int64_t
usage_owner_wait_us(const usage_owner_bucket *bucket,
                    const usage_owner_slot *slot)
{
    double per_s = bucket->rate_per_s * slot->share;
    double next_us = (1 - bucket->tokens) / per_s * CLOCK_US_PER_S;
    double pause_us = bucket->asks_per_s * USAGE_CAP_PAUSE_US;
    return (int64_t)MIN(MAX(next_us, pause_us), USAGE_CAP_PAUSE_MAX_US);
}

/* Grants requests of one workspace, after taking back what was not used. */
static void
usage_owner_grant(usage_grant *out, usage_owner *owner, usage_owner_slot *slot,
                  const usage_want *want, int64_t now_us)
{
    *out = (usage_grant){want->workspace, -1, 0};
    const workspace *entry = owner->find(want->workspace, owner->payload);
    if (entry != NULL && entry->rate_per_s <= 0) {
        out->count = want->count; /* no cap in the version in force here */
        return;
    }
    usage_owner_bucket *bucket = usage_owner_get_bucket(owner, slot, entry);
    if (bucket == NULL) {
        return;
    }
    usage_owner_count_ask(bucket, now_us);
    if (want->back > 0 && want->granted_us <= now_us &&
        now_us - want->granted_us <= USAGE_CAP_GRANT_US) {
        bucket->tokens =
            MIN(bucket->tokens + want->back, bucket->capacity * slot->share);
        bucket->room = MIN(bucket->room, bucket->capacity - bucket->tokens);
    }
    out->count = (int)MIN((double)want->count, floor(bucket->tokens));
    out->count = MAX(out->count, 0);
    bucket->tokens -= out->count;
    out->wait_us =
        out->count == want->count ? 0 : usage_owner_wait_us(bucket, slot);
}

/* Handles a message of a node, `members` being the nodes that this one
 * divides the caps among.  A message of another epoch lends nothing and gets
 * nothing: its answer brings what the next one needs. */
void
usage_owner_handle(usage_answer *out, usage_owner *owner, const usage_ask *ask,
                   int members, int64_t now_us)
{
    usage_owner_slot *slot = &owner->slots[ask->slot];
    out->epoch = owner->epoch;
    out->stamp_us = now_us;
    out->version = 0;
    out->leaving = owner->leaving;
    out->count = 0;
    usage_owner_advance(slot, now_us);
    bool lends = ask->epoch == owner->epoch &&
                 usage_owner_lend(slot, ask, members, now_us);
    out->settling = usage_owner_is_settling(slot, now_us);
    if (!lends) {
        return;
    }
    for (int i = 0; i < ask->count; i++) {
        usage_owner_grant(&out->grants[i], owner, slot, &ask->wants[i],
                          now_us);
    }
    out->count = ask->count;
}

/* Returns the part of the caps of a slot that is lent to this node now, 0 to
 * 1. */
double
usage_owner_share(usage_owner *owner, int slot, int64_t now_us)
{
    usage_owner_advance(&owner->slots[slot], now_us);
    return owner->slots[slot].share;
}
