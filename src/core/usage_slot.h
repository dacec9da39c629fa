/*
 * usage_slot: to whom a node lends its share of one slot of the usage caps, and
 * what it knows of the owner.
 */
#ifndef LAV_USAGE_SLOT_H
#define LAV_USAGE_SLOT_H

#include <glib.h>

#include "lav/usage_cap.h"

/* Members that are left out of the choice of an owner, in each slot. */
#define USAGE_SLOT_AVOIDED_MAX 4

/* Part by which clocks of two hosts may run apart. */
#define USAGE_SLOT_DRIFT_DIVISOR 100

typedef struct usage_avoided {
    uint64_t member;
    int64_t until_us;
} usage_avoided;

/* A member with the epoch and clock of its owner's side. */
typedef struct usage_contact {
    uint64_t member;
    uint64_t epoch;      /* 0: not known */
    int64_t stamp_us;    /* its clock */
    int64_t sent_us;     /* own clock before the stamp was taken */
    int64_t received_us; /* own clock when the stamp came */
    bool settling;
} usage_contact;

typedef struct usage_slot {
    usage_contact owner; /* member 0: lent to nobody */
    usage_contact next;  /* to be the owner */
    bool pending;        /* a message to the owner is under way */
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
    usage_avoided avoided[USAGE_SLOT_AVOIDED_MAX];
    int avoided_next;
    GQueue due; /* usage_share_entry */
} usage_slot;

bool usage_slot_is_avoided(const usage_slot *slot, uint64_t member,
                           int64_t now_us);
void usage_slot_avoid(usage_slot *slot, uint64_t member, int64_t now_us);
int64_t usage_slot_quiet_us(const usage_slot *slot);
void usage_slot_expire(usage_slot *slot, int64_t now_us);
void usage_slot_note_granted(usage_slot *slot, uint64_t epoch,
                             int64_t until_us);

#endif
