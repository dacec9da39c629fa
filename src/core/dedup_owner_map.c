#include "lav/dedup.h"

#include <string.h>
#include <xxhash.h>

/* Rendezvous weight of a slot's seed for the hash of an id. */
static uint64_t
dedup_weight(uint64_t seed, uint64_t hash)
{
    uint64_t input[2] = {seed, hash};
    return XXH3_64bits(input, sizeof(input));
}

/* Owner under rendezvous hashing (Thaler and Ravishankar, 1998), or 0 for an
 * epoch without slots.  The slot with the highest weight wins, so removing a
 * slot moves only the ids of that slot. */
static uint64_t
dedup_epoch_owner(const dedup_epoch *epoch, uint64_t hash)
{
    const dedup_slot *best = NULL;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < epoch->slot_count; i++) {
        uint64_t weight = dedup_weight(epoch->slots[i].seed, hash);
        if (best == NULL || weight > best_weight) {
            best = &epoch->slots[i];
            best_weight = weight;
        }
    }
    return best == NULL ? 0 : best->owner_incarnation;
}

/* Incarnation that owns an id, or 0 if the map does not cover it. */
uint64_t
dedup_owner_map_find(const dedup_owner_map *map, const id *request)
{
    if (request->time_ms >= map->horizon_ms) {
        return 0;
    }
    for (size_t i = map->epoch_count; i > 0; i--) {
        const dedup_epoch *epoch = &map->epochs[i - 1];
        if (request->time_ms >= epoch->from_ms) {
            return dedup_epoch_owner(epoch, id_hash(request->text));
        }
    }
    return 0;
}

/* Remove the epochs that end at or before `oldest_ms`, and the oldest one if
 * the map is full.  The last epoch stays. */
static void
dedup_owner_map_prune(dedup_owner_map *map, int64_t oldest_ms)
{
    while (map->epoch_count > 1 && (map->epochs[1].from_ms <= oldest_ms ||
                                    map->epoch_count == DEDUP_EPOCHS_MAX)) {
        map->epoch_count--;
        memmove(&map->epochs[0], &map->epochs[1],
                map->epoch_count * sizeof(map->epochs[0]));
    }
}

/* Whether an epoch has just these members, each with its own slot. */
static bool
dedup_same_members(const dedup_epoch *epoch, const uint64_t *members,
                   size_t count)
{
    bool same = epoch->slot_count == count;
    for (size_t i = 0; i < count && same; i++) {
        same = epoch->slots[i].seed == members[i] &&
               epoch->slots[i].owner_incarnation == members[i];
    }
    return same;
}

/* Append an epoch in which each member owns one slot. */
static void
dedup_owner_map_append(dedup_owner_map *map, int64_t from_ms,
                       const uint64_t *members, size_t count)
{
    if (map->epoch_count == DEDUP_EPOCHS_MAX) {
        dedup_owner_map_prune(map, 0);
    }
    dedup_epoch *epoch = &map->epochs[map->epoch_count++];
    epoch->from_ms = from_ms;
    epoch->slot_count = count;
    for (size_t i = 0; i < count; i++) {
        epoch->slots[i] = (dedup_slot){members[i], members[i]};
    }
}

/* Move the horizon to `now_ms + ahead_ms`.  If the members (in ascending
 * order) have changed, a new epoch begins at the old horizon, never before it.
 * The first epoch of an empty map begins at id time 0, because creating the
 * object on the platform has shown that there was no map before.  Epochs older
 * than `window_ms` are removed.  Returns whether anything changed. */
bool
dedup_owner_map_extend(dedup_owner_map *map, const uint64_t *members,
                       size_t count, int64_t now_ms, int64_t ahead_ms,
                       int64_t window_ms)
{
    int64_t horizon_ms = now_ms + ahead_ms;
    if (count == 0 || count > DEDUP_EPOCH_SLOTS_MAX ||
        horizon_ms <= map->horizon_ms) {
        return false;
    }
    if (map->epoch_count == 0) {
        dedup_owner_map_append(map, 0, members, count);
    }
    else if (!dedup_same_members(&map->epochs[map->epoch_count - 1], members,
                                 count)) {
        dedup_owner_map_append(map, map->horizon_ms, members, count);
    }
    map->horizon_ms = horizon_ms;
    dedup_owner_map_prune(map, now_ms - window_ms);
    return true;
}

/* Whether a member owns a slot of an epoch. */
static bool
dedup_epoch_contains(const dedup_epoch *epoch, uint64_t member)
{
    for (size_t i = 0; i < epoch->slot_count; i++) {
        if (epoch->slots[i].owner_incarnation == member) {
            return true;
        }
    }
    return false;
}

/* A ready member that owns no slot of the epoch yet, or 0. */
static uint64_t
dedup_epoch_successor(const dedup_epoch *epoch, uint64_t leaving,
                      const uint64_t *ready, size_t ready_count)
{
    for (size_t i = 0; i < ready_count; i++) {
        if (ready[i] != leaving && !dedup_epoch_contains(epoch, ready[i])) {
            return ready[i];
        }
    }
    return 0;
}

/* Hand each slot of a member to a ready member without a slot.  If there is
 * none, remove the slot, so that the other slots share its ids; the last slot
 * of the epoch is never removed. */
static void
dedup_epoch_hand_over(dedup_epoch *epoch, uint64_t member,
                      const uint64_t *ready, size_t ready_count)
{
    size_t i = 0;
    while (i < epoch->slot_count) {
        dedup_slot *slot = &epoch->slots[i];
        uint64_t successor = 0;
        if (slot->owner_incarnation == member) {
            successor =
                dedup_epoch_successor(epoch, member, ready, ready_count);
        }
        if (successor != 0) {
            slot->owner_incarnation = successor;
        }
        else if (slot->owner_incarnation == member && epoch->slot_count > 1) {
            *slot = epoch->slots[--epoch->slot_count];
            continue;
        }
        i++;
    }
}

/* Index of the first epoch that begins at or after an id time. */
static size_t
dedup_owner_map_first_at(const dedup_owner_map *map, int64_t from_ms)
{
    size_t index = 0;
    while (index < map->epoch_count && map->epochs[index].from_ms < from_ms) {
        index++;
    }
    return index;
}

/* Remove a member from id times of `from_ms` on.  Only the member itself may
 * do this, after it has stopped accepting such ids.  A `ready` member without
 * a slot takes over a slot of it; if there is none, the other members share
 * the ids.  Every other member keeps the ids that it owned.  Returns whether
 * the map contained the member. */
bool
dedup_owner_map_hand_over(dedup_owner_map *map, uint64_t member,
                          int64_t from_ms, const uint64_t *ready,
                          size_t ready_count)
{
    bool found = false;
    for (size_t i = 0; i < map->epoch_count; i++) {
        found = found || dedup_epoch_contains(&map->epochs[i], member);
    }
    if (!found) {
        return false;
    }
    if (map->epoch_count == DEDUP_EPOCHS_MAX) {
        dedup_owner_map_prune(map, 0);
    }
    size_t index = dedup_owner_map_first_at(map, from_ms);
    bool exists =
        index < map->epoch_count && map->epochs[index].from_ms == from_ms;
    if (index > 0 && !exists && from_ms < map->horizon_ms) {
        memmove(&map->epochs[index + 1], &map->epochs[index],
                (map->epoch_count - index) * sizeof(map->epochs[0]));
        map->epochs[index] = map->epochs[index - 1];
        map->epochs[index].from_ms = from_ms;
        map->epoch_count++;
    }
    for (size_t i = index; i < map->epoch_count; i++) {
        dedup_epoch_hand_over(&map->epochs[i], member, ready, ready_count);
    }
    return true;
}

/* Whether a member owns a slot of the epoch that covers id time `from_ms`. */
bool
dedup_owner_map_contains(const dedup_owner_map *map, uint64_t member,
                         int64_t from_ms)
{
    for (size_t i = map->epoch_count; i > 0; i--) {
        if (map->epochs[i - 1].from_ms <= from_ms) {
            return dedup_epoch_contains(&map->epochs[i - 1], member);
        }
    }
    return false;
}
