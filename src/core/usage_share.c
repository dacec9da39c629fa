#include "lav/usage_share.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/err.h"
#include "usage_share_private.h"

/* Time over which the demand of a workspace is averaged, and the part of it
 * that is asked for ahead, in seconds. */
#define USAGE_SHARE_DEMAND_S 1.0
#define USAGE_SHARE_AHEAD_S 0.125

/* Workspaces that a node keeps state of; idle ones are forgotten. */
#define USAGE_SHARE_ENTRIES_MAX 16384
#define USAGE_SHARE_IDLE_US 10000000 /* 10 s */

/* Delay after which a request may return that no owner could be asked for. */
#define USAGE_SHARE_RETRY_US 1000000

/* Creates a node's side for the member `self`.  `sequence` must be larger than
 * any number that an earlier start of the node used.  ERR_NO_MEMORY if memory
 * is exhausted. */
int
usage_share_new(usage_share **out, uint64_t self, uint64_t sequence,
                int64_t now_us)
{
    usage_share *share = calloc(1, sizeof(*share));
    if (share == NULL) {
        return ERR_NO_MEMORY;
    }
    share->self = self;
    share->sequence = sequence;
    share->period_us = now_us;
    share->lend_from_us = now_us;
    share->entries =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        g_queue_init(&share->slots[i].due);
        share->slots[i].quiet_from_us = now_us;
    }
    *out = share;
    return 0;
}

/* Frees the node's side; NULL is allowed. */
void
usage_share_free(usage_share *share)
{
    if (share == NULL) {
        return;
    }
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        g_queue_clear(&share->slots[i].due);
    }
    g_hash_table_destroy(share->entries);
    g_free(share->members);
    free(share);
}

/* Drops all requests in hand, and those that are under way, as after a time in
 * which the clock stood.  What was lent stays lent: that time is not passed
 * for this node, but it is for the owners. */
void
usage_share_reset(usage_share *share, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, share->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((usage_share_entry *)value)->held = 0;
    }
    share->valid_from_us = now_us + 1;
}

/* Sets the members that are known, this node among them, and at their head; an
 * empty list means that none is known.  The time that the share of an earlier
 * start may still be lent is measured from the start of this one. */
void
usage_share_set_members(usage_share *share, const usage_member *members,
                        size_t count, int64_t now_us)
{
    count = MIN(count, USAGE_CAP_MEMBERS_MAX);
    g_free(share->members);
    share->members = g_memdup2(members, count * sizeof(*members));
    share->count = count;
    if (now_us - share->period_us >= USAGE_SHARE_MEMBERS_US) {
        share->largest[1] = share->largest[0];
        share->largest[0] = 0;
        share->period_us = now_us;
    }
    share->largest[0] = MAX(share->largest[0], (int)count);
}

/* Returns the number of members that this node divides the caps among: the
 * largest that was known lately. */
int
usage_share_members(const usage_share *share)
{
    return MAX(share->largest[0], share->largest[1]);
}

/* Returns from when on this node lends. */
int64_t
usage_share_lend_from_us(const usage_share *share)
{
    int64_t lease_us = usage_cap_lease_us(usage_share_members(share));
    return share->lend_from_us + lease_us +
           lease_us / USAGE_SLOT_DRIFT_DIVISOR;
}

/* Returns the time until a slot's share can be lent to an owner that answers:
 * 0 if nothing stands against it now. */
int64_t
usage_share_closed_us(const usage_share *share, int slot, int64_t now_us)
{
    const usage_slot *s = &share->slots[slot];
    int64_t open_us = usage_share_lend_from_us(share);
    if (share->count == 0 || share->stopping) {
        return USAGE_SHARE_RETRY_US;
    }
    if (s->given_up) {
        open_us = MAX(open_us, s->lent_until_us);
    }
    return MAX(0, open_us - now_us);
}

/* Whether an entry is idle and can be forgotten. */
static gboolean
usage_share_is_idle(gpointer key, gpointer value, gpointer payload)
{
    const usage_share_entry *entry = value;
    int64_t now_us = *(const int64_t *)payload;
    (void)key;
    return entry->waiting == 0 && !entry->due &&
           now_us - entry->demand_us > USAGE_SHARE_IDLE_US;
}

/* Returns the entry of a workspace; NULL if there are too many. */
static usage_share_entry *
usage_share_get_entry(usage_share *share, uint32_t workspace, int64_t now_us)
{
    gpointer key = GUINT_TO_POINTER(workspace);
    usage_share_entry *entry = g_hash_table_lookup(share->entries, key);
    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(share->entries) >= USAGE_SHARE_ENTRIES_MAX) {
        g_hash_table_foreach_remove(share->entries, usage_share_is_idle,
                                    &now_us);
    }
    if (g_hash_table_size(share->entries) >= USAGE_SHARE_ENTRIES_MAX) {
        return NULL;
    }
    entry = g_new0(usage_share_entry, 1);
    entry->workspace = workspace;
    entry->demand_us = now_us;
    g_hash_table_insert(share->entries, key, entry);
    return entry;
}

/* Returns the demand of a workspace at this node now, in requests a second. */
static double
usage_share_demand(const usage_share_entry *entry, int64_t now_us)
{
    double passed_s = (double)(now_us - entry->demand_us) / CLOCK_US_PER_S;
    return entry->demand * exp(-passed_s / USAGE_SHARE_DEMAND_S);
}

/* Begins a request with one that is in hand; false if there is none. */
static bool
usage_share_use(usage_token *out, usage_share_entry *entry, int64_t now_us)
{
    if (entry->held <= 0 || now_us >= entry->expires_us) {
        entry->held = 0;
        return false;
    }
    entry->held--;
    *out = (usage_token){entry->workspace, entry->epoch, entry->granted_us,
                         entry->expires_us};
    return true;
}

/* Decides on a request that has nothing in hand: it waits for an end that is
 * known, if that comes within `patience_us`. */
static enum usage_decision
usage_share_refuse(int64_t *retry_after_us, const usage_share *share,
                   usage_share_entry *entry, int64_t patience_us,
                   int64_t now_us)
{
    bool known = share->count > 0 && !share->stopping;
    int64_t closed_us =
        usage_share_closed_us(share, usage_cap_slot(entry->workspace), now_us);
    if (now_us < entry->paused_until_us) {
        *retry_after_us =
            MAX(entry->paused_until_us - now_us, USAGE_CAP_RETRY_MIN_US);
        return USAGE_OVER_CAP;
    }
    if (!known || closed_us > MAX(USAGE_SHARE_WAIT_US, patience_us)) {
        *retry_after_us = closed_us;
        return USAGE_UNCHECKED;
    }
    return USAGE_WAIT;
}

/* Takes one request of a workspace's cap.  USAGE_WAIT: it counts as waiting
 * until usage_share_settle() decides otherwise or it is cancelled.
 * `patience_us` is the time for which a wait is of use to its caller. */
enum usage_decision
usage_share_take(usage_token *out, int64_t *retry_after_us, usage_share *share,
                 uint32_t workspace, int64_t patience_us, int64_t now_us)
{
    usage_slot *slot = &share->slots[usage_cap_slot(workspace)];
    usage_share_entry *entry = usage_share_get_entry(share, workspace, now_us);
    *retry_after_us = USAGE_SHARE_RETRY_US;
    if (entry == NULL) {
        return USAGE_UNCHECKED;
    }
    entry->demand =
        usage_share_demand(entry, now_us) + 1 / USAGE_SHARE_DEMAND_S;
    entry->demand_us = now_us;
    if (entry->waiting == 0 && usage_share_use(out, entry, now_us)) {
        return USAGE_GRANTED;
    }
    enum usage_decision decision =
        usage_share_refuse(retry_after_us, share, entry, patience_us, now_us);
    if (decision == USAGE_WAIT) {
        entry->waiting++;
        if (!entry->due) {
            entry->due = true;
            g_queue_push_tail(&slot->due, entry);
        }
    }
    return decision;
}

/* Decides on the request of a workspace that has waited longest, after an
 * answer or a failure; USAGE_WAIT: it waits on. */
enum usage_decision
usage_share_settle(usage_token *out, int64_t *retry_after_us,
                   usage_share *share, uint32_t workspace, int64_t patience_us,
                   int64_t now_us)
{
    usage_share_entry *entry =
        g_hash_table_lookup(share->entries, GUINT_TO_POINTER(workspace));
    enum usage_decision decision = USAGE_WAIT;
    if (entry == NULL || entry->waiting == 0) {
        return USAGE_WAIT;
    }
    if (usage_share_use(out, entry, now_us)) {
        decision = USAGE_GRANTED;
    }
    else if (entry->refused > 0) {
        entry->refused--;
        *retry_after_us =
            MAX(entry->paused_until_us - now_us, USAGE_CAP_RETRY_MIN_US);
        decision = entry->unknown ? USAGE_UNCHECKED : USAGE_OVER_CAP;
    }
    else {
        decision = usage_share_refuse(retry_after_us, share, entry,
                                      patience_us, now_us);
    }
    entry->waiting -= decision == USAGE_WAIT ? 0 : 1;
    return decision;
}

/* A request that waits is given up. */
void
usage_share_cancel(usage_share *share, uint32_t workspace)
{
    usage_share_entry *entry =
        g_hash_table_lookup(share->entries, GUINT_TO_POINTER(workspace));
    if (entry != NULL && entry->waiting > 0) {
        entry->waiting--;
        entry->refused = MIN(entry->refused, entry->waiting);
    }
}

/* Gives back a request that was granted and has not run and never will. */
void
usage_share_return(usage_share *share, const usage_token *token,
                   int64_t now_us)
{
    usage_share_entry *entry = g_hash_table_lookup(
        share->entries, GUINT_TO_POINTER(token->workspace));
    if (entry == NULL || now_us >= token->expires_us ||
        token->expires_us - USAGE_CAP_GRANT_US < share->valid_from_us) {
        return;
    }
    if (entry->held == 0 || now_us >= entry->expires_us) {
        entry->held = 1;
        entry->epoch = token->epoch;
        entry->granted_us = token->granted_us;
        entry->expires_us = token->expires_us;
    }
    else if (entry->epoch == token->epoch) {
        entry->held++;
        entry->granted_us = MIN(entry->granted_us, token->granted_us);
        entry->expires_us = MIN(entry->expires_us, token->expires_us);
    }
}

/* Puts into a message what is to be asked for, and gives back what is in hand
 * of the same workspaces. */
void
usage_share_fill(usage_ask *ask, usage_slot *slot, int64_t now_us)
{
    while (ask->count < USAGE_CAP_WANTS_MAX && !g_queue_is_empty(&slot->due)) {
        usage_share_entry *entry = g_queue_pop_head(&slot->due);
        entry->due = false;
        if (entry->waiting == 0) {
            continue;
        }
        double ahead = usage_share_demand(entry, now_us) * USAGE_SHARE_AHEAD_S;
        usage_want *want = &ask->wants[ask->count++];
        *want = (usage_want){entry->workspace,
                             entry->waiting + (int)floor(ahead), 0, 0};
        want->count = MIN(want->count, USAGE_CAP_REQUESTS_MAX);
        if (entry->held > 0 && now_us < entry->expires_us &&
            entry->epoch == ask->epoch) {
            want->back = entry->held;
            want->granted_us = entry->granted_us;
        }
        entry->held = 0;
        entry->asked = entry->waiting;
    }
}

/* Applies the answer for one workspace.  What an owner that settles doesn't
 * grant waits on. */
void
usage_share_apply(usage_share *share, const usage_message *message,
                  const usage_answer *answer, const usage_grant *grant,
                  int64_t now_us)
{
    usage_share_entry *entry = g_hash_table_lookup(
        share->entries, GUINT_TO_POINTER(grant->workspace));
    int64_t expires_us = message->sent_us + USAGE_CAP_GRANT_US;
    if (entry == NULL) {
        return;
    }
    int asked = MIN(entry->asked, entry->waiting);
    entry->unknown = grant->count < 0;
    if (entry->unknown) {
        entry->refused = asked;
    }
    else if (grant->count < asked && !answer->settling) {
        entry->refused = asked - grant->count;
        entry->paused_until_us = now_us + grant->wait_us;
    }
    if (grant->count > 0 && now_us < expires_us &&
        message->sent_us >= share->valid_from_us) {
        entry->held = grant->count;
        entry->epoch = answer->epoch;
        entry->granted_us = answer->stamp_us;
        entry->expires_us = expires_us;
        usage_slot_note_granted(&share->slots[message->ask.slot],
                                answer->epoch, expires_us);
    }
}

/* Begins a planned stop: all shares are taken back, and no more is lent. */
void
usage_share_stop(usage_share *share)
{
    share->stopping = true;
}

/* Whether nothing is lent any more. */
bool
usage_share_is_released(const usage_share *share)
{
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        if (share->slots[i].owner.member != 0) {
            return false;
        }
    }
    return true;
}

/* Returns the member that a slot's share is lent to; 0: none. */
uint64_t
usage_share_owner(const usage_share *share, int slot)
{
    return share->slots[slot].owner.member;
}
