/*
 * usage_share_private: a node's side of the usage caps, shared by the sources
 * that decide on requests and that exchange messages with owners.
 */
#ifndef LAV_USAGE_SHARE_PRIVATE_H
#define LAV_USAGE_SHARE_PRIVATE_H

#include "lav/usage_share.h"
#include "usage_slot.h"

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
    usage_slot slots[USAGE_CAP_SLOTS];
    GHashTable *entries; /* workspace id -> usage_share_entry */
};

int64_t usage_share_lend_from_us(const usage_share *share);
void usage_share_fill(usage_ask *ask, usage_slot *slot, int64_t now_us);
void usage_share_apply(usage_share *share, const usage_message *message,
                       const usage_answer *answer, const usage_grant *grant,
                       int64_t now_us);

#endif
