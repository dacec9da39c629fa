#include "usage_share_private.h"

/* Messages in a row without an answer after which an owner is given up. */
#define USAGE_SHARE_FAILURES_MAX 2

/* A share is lent again after this part of the time it was lent for. */
#define USAGE_SHARE_RENEW 0.4

/* Delay before an owner that settles is asked again. */
#define USAGE_SHARE_SETTLE_US 50000

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
             !usage_slot_is_avoided(&share->slots[slot], member->id,
                                    now_us))) {
            best = member->id;
            rank = other;
        }
    }
    return best;
}

/* Makes a message to a member.  One that lends states the end on the clock of
 * the owner, counted from its last stamp: that is never later than the end on
 * the clock of this node. */
static void
usage_share_write(usage_message *out, usage_share *share, int slot,
                  enum usage_message_kind kind, int64_t now_us)
{
    usage_slot *s = &share->slots[slot];
    const usage_contact *to =
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
                now_us + lease_us + lease_us / USAGE_SLOT_DRIFT_DIVISOR);
        out->ask.quiet_us = usage_slot_quiet_us(s);
        usage_share_fill(&out->ask, s, now_us);
    }
}

/* Returns the next message to send for a slot, if one is due now; to be called
 * until it returns false.  Each message is followed by usage_share_answered()
 * or usage_share_failed(). */
bool
usage_share_poll(usage_message *out, usage_share *share, int slot,
                 int64_t now_us)
{
    usage_slot *s = &share->slots[slot];
    usage_slot_expire(s, now_us);
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
            s->next = (usage_contact){.member = preferred};
            usage_share_write(out, share, slot, USAGE_MESSAGE_HELLO, now_us);
            return true;
        }
    }
    else if (s->owner.member == 0) {
        s->owner = s->next;
        s->next = (usage_contact){0};
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

/* The requests that a message asked for wait for the next one, if they were
 * neither granted nor refused. */
static void
usage_share_unask(usage_share *share, const usage_message *message)
{
    usage_slot *slot = &share->slots[message->ask.slot];
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
    usage_slot *s = &share->slots[message->ask.slot];
    usage_contact contact = {message->to,      answer->epoch,
                             answer->stamp_us, message->sent_us,
                             now_us,           answer->settling};
    if (message->kind == USAGE_MESSAGE_HELLO) {
        s->hello_pending = false;
        if (answer->leaving && message->to != share->self) {
            usage_slot_avoid(s, message->to, now_us);
        }
        if (s->next.member == message->to) {
            s->next = contact;
        }
        return;
    }
    s->pending = false;
    s->failures = 0;
    if (message->kind == USAGE_MESSAGE_RELEASE) {
        s->owner = (usage_contact){0};
        s->lent_until_us = 0;
        return;
    }
    s->owner = contact;
    s->ask_from_us = answer->settling ? now_us + USAGE_SHARE_SETTLE_US : 0;
    if (answer->leaving && message->to != share->self) {
        usage_slot_avoid(s, message->to, now_us);
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
    usage_slot *s = &share->slots[message->ask.slot];
    if (message->kind == USAGE_MESSAGE_HELLO) {
        s->hello_pending = false;
        s->next = (usage_contact){0};
        usage_slot_avoid(s, message->to, now_us);
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
