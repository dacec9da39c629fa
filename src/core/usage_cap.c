#include "lav/usage_cap.h"

#include <glib.h>

/* Time for which a share is lent for each node that the caps are divided
 * among: owners of large deployments get no more messages a second than those
 * of middling ones. */
#define USAGE_CAP_LEASE_PER_MEMBER_US 7000
#define USAGE_CAP_LEASE_MIN_US 500000

/* Multiplier and shift of a 64-bit mix (Murmur3's finalizer). */
#define USAGE_CAP_MIX 0xff51afd7ed558ccdULL
#define USAGE_CAP_MIX_SHIFT 33

/* Returns the slot of a workspace. */
int
usage_cap_slot(uint32_t workspace)
{
    return (int)(workspace % USAGE_CAP_SLOTS);
}

/* Returns the rank of a member for a slot: the highest one is its owner. */
uint64_t
usage_cap_rank(uint64_t member, int slot)
{
    uint64_t mix = (member ^ (uint64_t)(slot + 1)) * USAGE_CAP_MIX;
    mix = (mix ^ (mix >> USAGE_CAP_MIX_SHIFT)) * USAGE_CAP_MIX;
    return mix ^ (mix >> USAGE_CAP_MIX_SHIFT);
}

/* Returns for how long a share is lent with one message. */
int64_t
usage_cap_lease_us(int members)
{
    return CLAMP((int64_t)members * USAGE_CAP_LEASE_PER_MEMBER_US,
                 USAGE_CAP_LEASE_MIN_US, USAGE_CAP_LEASE_MAX_US);
}
