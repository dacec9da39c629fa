#include "lav/usage_share.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/err.h"

/* Members that are left out of the choice of an owner, in each slot. */
#define USAGE_SHARE_AVOIDED_MAX 4

/* Messages in a row without an answer after which an owner is given up. */
#define USAGE_SHARE_FAILURES_MAX 2

/* A share is lent again after this part of the time it was lent for. */
#define USAGE_SHARE_RENEW 0.4

/* Delay before an owner that settles is asked again. */
#define USAGE_SHARE_SETTLE_US 50000

/* Part by which clocks of two hosts may run apart. */
#define USAGE_SHARE_DRIFT_DIVISOR 100

/* Time over which the demand of a workspace is averaged, and the part of it
 * that is asked for ahead, in seconds. */
#define USAGE_SHARE_DEMAND_S 1.0
#define USAGE_SHARE_AHEAD_S 0.125

/* Workspaces that a node keeps state of; idle ones are forgotten. */
#define USAGE_SHARE_ENTRIES_MAX 16384
#define USAGE_SHARE_IDLE_US 10000000 /* 10 s */

/* Delay after which a request may return that no owner could be asked for. */
#define USAGE_SHARE_RETRY_US 1000000

typedef struct usage_share_entry {
    uint32_t workspace;
    int held; /* requests granted and not begun */
    uint64_t epoch;
    int64_t granted_us; /* owner's clock */
    int64_t expires_us;
    int waiting;  /* requests that wait for an answer */
    int asked;    /* of these, in the message that is under way */
    int refused;  /* of these, not granted */
    bool unknown; /* to the owner; refused ones are not over a cap */
    bool due;     /* in the slot's list of those to ask for */
    int64_t paused_until_us; /* used up until then */
    double demand;           /* requests a second */
    int64_t demand_us;
} usage_share_entry;

typedef struct usage_share_avoided {
    uint64_t member;
    int64_t until_us;
} usage_share_avoided;

/* A member with the epoch and clock of its owner's side. */
typedef struct usage_share_contact {
    uint64_t member;
    uint64_t epoch;      /* 0: not known */
    int64_t stamp_us;    /* its clock */
    int64_t sent_us;     /* own clock before the stamp was taken */
    int64_t received_us; /* own clock when the stamp came */
    bool settling;
} usage_share_contact;

typedef struct usage_share_slot {
    usage_share_contact owner; /* member 0: lent to nobody */
    usage_share_contact next;  /* to be the owner */
    bool pending;              /* a message to the owner is under way */
    bool hello_pending;
    bool given_up; /* the owner doesn't answer */
    int failures;
    int64_t lent_until_us;
    int64_t lent_before_us; /* lent_until_us before the last message */
    int64_t asked_us;
    int64_t ask_from_us;      /* not before, while the owner settles */
    uint64_t granted_by;      /* epoch of the owner that granted last */
    int64_t quiet_from_us;    /* since then it alone has granted */
    int64_t granted_until_us; /* up to here what it granted may begin */
    usage_share_avoided avoided[USAGE_SHARE_AVOIDED_MAX];
    int avoided_next;
    GQueue due; /* usage_share_entry */
} usage_share_slot;

struct usage_share {
    uint64_t self;
    uint64_t sequence;
    int64_t lend_from_us;  /* what an earlier start lent has run out */
    int64_t valid_from_us; /* grants asked for earlier don't count */
    bool stopping;
    usage_member *members;
    size_t count;
    int largest[2]; /* members known, in this period and the one before */
    int64_t period_us;
    usage_share_slot slots[USAGE_CAP_SLOTS];
    GHashTable *entries; /* workspace id -> usage_share_entry */
};

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
static int64_t
usage_share_lend_from_us(const usage_share *share)
{
    int64_t lease_us = usage_cap_lease_us(usage_share_members(share));
    return share->lend_from_us + lease_us +
           lease_us / USAGE_SHARE_DRIFT_DIVISOR;
}

/* Whether a member is left out of the choice now. */
static bool
usage_share_is_avoided(const usage_share_slot *slot, uint64_t member,
                       int64_t now_us)
{
    for (int i = 0; i < USAGE_SHARE_AVOIDED_MAX; i++) {
        if (slot->avoided[i].member == member &&
            now_us < slot->avoided[i].until_us) {
            return true;
        }
    }
    return false;
}

/* Leaves a member out of the choice for some time. */
static void
usage_share_avoid(usage_share_slot *slot, uint64_t member, int64_t now_us)
{
    for (int i = 0; i < USAGE_SHARE_AVOIDED_MAX; i++) {
        if (slot->avoided[i].member == member) {
            slot->avoided[i].until_us = now_us + USAGE_SHARE_AVOID_US;
            return;
        }
    }
    slot->avoided[slot->avoided_next] =
        (usage_share_avoided){member, now_us + USAGE_SHARE_AVOID_US};
    slot->avoided_next = (slot->avoided_next + 1) % USAGE_SHARE_AVOIDED_MAX;
}

/* Returns the member that should own a slot: this node itself if there is no
 * other. */
static uint64_t
usage_share_pick(const usage_share *share, int slot, int64_t now_us)
{
    uint64_t best = share->self;
    uint64_t rank = 0;
    for (size_t i = 0; i < share->count; i++) {
        const usage_member *member = &share->members[i];
        uint64_t other = usage_cap_rank(member->id, slot);
        if (other >= rank && member->reachable &&
            (member->id == share->self ||
             !usage_share_is_avoided(&share->slots[slot], member->id,
                                     now_us))) {
            best = member->id;
            rank = other;
        }
    }
    return best;
}

/* Returns the time until a slot's share can be lent to an owner that answers:
 * 0 if nothing stands against it now. */
int64_t
usage_share_closed_us(const usage_share *share, int slot, int64_t now_us)
{
    const usage_share_slot *s = &share->slots[slot];
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
    usage_share_slot *slot = &share->slots[usage_cap_slot(workspace)];
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
static void
usage_share_fill(usage_ask *ask, usage_share_slot *slot, int64_t now_us)
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

/* Returns since when only the owner's present epoch has granted requests that
 * may begin here, on the owner's clock and rather too late; 0 if that is not
 * known, or of no use to the owner. */
static int64_t
usage_share_quiet_us(const usage_share_slot *slot)
{
    const usage_share_contact *owner = &slot->owner;
    int64_t from_us = slot->granted_by == owner->epoch
                          ? slot->quiet_from_us
                          : MAX(slot->quiet_from_us, slot->granted_until_us);
    int64_t ago_us = owner->sent_us - from_us;
    if (!owner->settling || ago_us < 0) {
        return 0;
    }
    return MAX(owner->stamp_us - ago_us + ago_us / USAGE_SHARE_DRIFT_DIVISOR,
               1);
}

/* Makes a message to a member.  One that lends states the end on the clock of
 * the owner, counted from its last stamp: that is never later than the end on
 * the clock of this node. */
static void
usage_share_write(usage_message *out, usage_share *share, int slot,
                  enum usage_message_kind kind, int64_t now_us)
{
    usage_share_slot *s = &share->slots[slot];
    const usage_share_contact *to =
        kind == USAGE_MESSAGE_HELLO ? &s->next : &s->owner;
    int64_t lease_us = usage_cap_lease_us(usage_share_members(share));
    out->kind = kind;
    out->to = to->member;
    out->sent_us = now_us;
    out->ask.slot = slot;
    out->ask.lender = share->self;
    out->ask.sequence = ++share->sequence;
    out->ask.epoch = to->epoch;
    out->ask.until_us = 0;
    out->ask.members = usage_share_members(share);
    out->ask.version = 0;
    out->ask.quiet_us = 0;
    out->ask.count = 0;
    if (kind == USAGE_MESSAGE_HELLO) {
        s->hello_pending = true;
        return;
    }
    s->pending = true;
    s->asked_us = now_us;
    s->lent_before_us = s->lent_until_us;
    if (kind == USAGE_MESSAGE_ASK) {
        out->ask.until_us =
            to->stamp_us + (now_us - to->received_us) + lease_us;
        s->lent_until_us =
            MAX(s->lent_until_us,
                now_us + lease_us + lease_us / USAGE_SHARE_DRIFT_DIVISOR);
        out->ask.quiet_us = usage_share_quiet_us(s);
        usage_share_fill(&out->ask, s, now_us);
    }
}

/* Ends the loan to an owner that was given up, once it has run out. */
static void
usage_share_expire(usage_share_slot *slot, int64_t now_us)
{
    if (slot->given_up && now_us >= slot->lent_until_us) {
        usage_share_avoid(slot, slot->owner.member, now_us);
        slot->owner = (usage_share_contact){0};
        slot->given_up = false;
        slot->failures = 0;
    }
}

/* Returns the next message to send for a slot, if one is due now; to be called
 * until it returns false.  Each message is followed by usage_share_answered()
 * or usage_share_failed(). */
bool
usage_share_poll(usage_message *out, usage_share *share, int slot,
                 int64_t now_us)
{
    usage_share_slot *s = &share->slots[slot];
    usage_share_expire(s, now_us);
    if (share->stopping) {
        bool lent = s->owner.member != 0 && !s->pending && !s->given_up;
        if (lent) {
            usage_share_write(out, share, slot, USAGE_MESSAGE_RELEASE, now_us);
        }
        return lent;
    }
    if (share->count == 0 || s->given_up ||
        now_us < usage_share_lend_from_us(share)) {
        return false;
    }
    uint64_t preferred = usage_share_pick(share, slot, now_us);
    bool known = s->next.member == preferred && s->next.epoch != 0;
    if (s->owner.member != preferred && !known) {
        if (!s->hello_pending) {
            s->next = (usage_share_contact){.member = preferred};
            usage_share_write(out, share, slot, USAGE_MESSAGE_HELLO, now_us);
            return true;
        }
    }
    else if (s->owner.member == 0) {
        s->owner = s->next;
        s->next = (usage_share_contact){0};
    }
    if (s->pending || s->owner.member == 0) {
        return false;
    }
    if (s->owner.member != preferred && known) {
        usage_share_write(out, share, slot, USAGE_MESSAGE_RELEASE, now_us);
        return true;
    }
    int64_t lease_us = usage_cap_lease_us(usage_share_members(share));
    bool due = !g_queue_is_empty(&s->due) && now_us >= s->ask_from_us;
    if (!due &&
        now_us - s->asked_us <
            (int64_t)((double)lease_us * USAGE_SHARE_RENEW) &&
        s->lent_until_us > now_us) {
        return false;
    }
    usage_share_write(out, share, slot, USAGE_MESSAGE_ASK, now_us);
    return true;
}

/* Notes that an owner granted requests that may begin until `until_us`. */
static void
usage_share_note_granted(usage_share_slot *slot, uint64_t epoch,
                         int64_t until_us)
{
    if (slot->granted_by != epoch) {
        slot->quiet_from_us = MAX(slot->quiet_from_us, slot->granted_until_us);
        slot->granted_by = epoch;
    }
    slot->granted_until_us = MAX(slot->granted_until_us, until_us);
}

/* Applies the answer for one workspace.  What an owner that settles doesn't
 * grant waits on. */
static void
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
        usage_share_note_granted(&share->slots[message->ask.slot],
                                 answer->epoch, expires_us);
    }
}

/* The requests that a message asked for wait for the next one, if they were
 * neither granted nor refused. */
static void
usage_share_unask(usage_share *share, const usage_message *message)
{
    usage_share_slot *slot = &share->slots[message->ask.slot];
    for (int i = 0; i < message->ask.count; i++) {
        usage_share_entry *entry = g_hash_table_lookup(
            share->entries, GUINT_TO_POINTER(message->ask.wants[i].workspace));
        if (entry != NULL) {
            entry->asked = 0;
            if (entry->waiting > entry->held + entry->refused && !entry->due) {
                entry->due = true;
                g_queue_push_tail(&slot->due, entry);
            }
        }
    }
}

/* Handles the answer to a message. */
void
usage_share_answered(usage_share *share, const usage_message *message,
                     const usage_answer *answer, int64_t now_us)
{
    usage_share_slot *s = &share->slots[message->ask.slot];
    usage_share_contact contact = {message->to,      answer->epoch,
                                   answer->stamp_us, message->sent_us,
                                   now_us,           answer->settling};
    if (message->kind == USAGE_MESSAGE_HELLO) {
        s->hello_pending = false;
        if (answer->leaving && message->to != share->self) {
            usage_share_avoid(s, message->to, now_us);
        }
        if (s->next.member == message->to) {
            s->next = contact;
        }
        return;
    }
    s->pending = false;
    s->failures = 0;
    if (message->kind == USAGE_MESSAGE_RELEASE) {
        s->owner = (usage_share_contact){0};
        s->lent_until_us = 0;
        return;
    }
    s->owner = contact;
    s->ask_from_us = answer->settling ? now_us + USAGE_SHARE_SETTLE_US : 0;
    if (answer->leaving && message->to != share->self) {
        usage_share_avoid(s, message->to, now_us);
    }
    for (int i = 0; i < answer->count && i < message->ask.count &&
                    answer->epoch == message->ask.epoch;
         i++) {
        if (answer->grants[i].workspace == message->ask.wants[i].workspace) {
            usage_share_apply(share, message, answer, &answer->grants[i],
                              now_us);
        }
    }
    usage_share_unask(share, message);
}

/* A message got no answer; `received` is false if it certainly did not reach
 * the owner. */
void
usage_share_failed(usage_share *share, const usage_message *message,
                   bool received, int64_t now_us)
{
    usage_share_slot *s = &share->slots[message->ask.slot];
    if (message->kind == USAGE_MESSAGE_HELLO) {
        s->hello_pending = false;
        s->next = (usage_share_contact){0};
        usage_share_avoid(s, message->to, now_us);
        return;
    }
    s->pending = false;
    s->failures++;
    if (!received) {
        s->lent_until_us = s->lent_before_us;
    }
    s->given_up =
        s->given_up || !received || s->failures >= USAGE_SHARE_FAILURES_MAX;
    usage_share_unask(share, message);
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
