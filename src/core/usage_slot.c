#include "usage_slot.h"

#include "lav/usage_share.h"

/* Whether a member is left out of the choice now. */
bool
usage_slot_is_avoided(const usage_slot *slot, uint64_t member, int64_t now_us)
{
    for (int i = 0; i < USAGE_SLOT_AVOIDED_MAX; i++) {
        if (slot->avoided[i].member == member &&
            now_us < slot->avoided[i].until_us) {
            return true;
        }
    }
    return false;
}

/* Leaves a member out of the choice for some time. */
void
usage_slot_avoid(usage_slot *slot, uint64_t member, int64_t now_us)
{
    for (int i = 0; i < USAGE_SLOT_AVOIDED_MAX; i++) {
        if (slot->avoided[i].member == member) {
            slot->avoided[i].until_us = now_us + USAGE_SHARE_AVOID_US;
            return;
        }
    }
    slot->avoided[slot->avoided_next] =
        (usage_avoided){member, now_us + USAGE_SHARE_AVOID_US};
    slot->avoided_next = (slot->avoided_next + 1) % USAGE_SLOT_AVOIDED_MAX;
}

/* Ends the loan to an owner that was given up, once it has run out. */
void
usage_slot_expire(usage_slot *slot, int64_t now_us)
{
    if (slot->given_up && now_us >= slot->lent_until_us) {
        usage_slot_avoid(slot, slot->owner.member, now_us);
        slot->owner = (usage_contact){0};
        slot->given_up = false;
        slot->failures = 0;
    }
}

/* Returns since when only the owner's present epoch has granted requests that
 * may begin here, on the owner's clock and rather too late; 0 if that is not
 * known, or of no use to the owner. */
int64_t
usage_slot_quiet_us(const usage_slot *slot)
{
    const usage_contact *owner = &slot->owner;
    int64_t from_us = slot->granted_by == owner->epoch
                          ? slot->quiet_from_us
                          : MAX(slot->quiet_from_us, slot->granted_until_us);
    int64_t ago_us = owner->sent_us - from_us;
    if (!owner->settling || ago_us < 0) {
        return 0;
    }
    return MAX(owner->stamp_us - ago_us + ago_us / USAGE_SLOT_DRIFT_DIVISOR,
               1);
}

/* Notes that an owner granted requests that may begin until `until_us`. */
void
usage_slot_note_granted(usage_slot *slot, uint64_t epoch, int64_t until_us)
{
    if (slot->granted_by != epoch) {
        slot->quiet_from_us = MAX(slot->quiet_from_us, slot->granted_until_us);
        slot->granted_by = epoch;
    }
    slot->granted_until_us = MAX(slot->granted_until_us, until_us);
}
