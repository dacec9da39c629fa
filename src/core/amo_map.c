#include "lav/amo.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
amo_weight(uint64_t member, uint64_t hash)
{
    uint64_t pair[2] = {member, hash};
    return XXH3_64bits(pair, sizeof(pair));
}

/* Rendezvous hashing (Thaler and Ravishankar, 1998): the member with the
 * highest weight, so that a member's leaving moves only its own ids. */
static uint64_t
amo_epoch_owner(const amo_epoch *epoch, uint64_t hash)
{
    uint64_t owner = 0;
    uint64_t best = 0;
    for (size_t i = 0; i < epoch->member_count; i++) {
        uint64_t weight = amo_weight(epoch->members[i], hash);
        if (owner == 0 || weight > best) {
            owner = epoch->members[i];
            best = weight;
        }
    }
    return owner;
}

/* Incarnation that owns an id, or 0 where the map does not cover it. */
uint64_t
amo_map_owner(const amo_map *map, const id *request)
{
    if (request->time_ms >= map->horizon_ms) {
        return 0;
    }
    for (size_t i = map->epoch_count; i > 0; i--) {
        const amo_epoch *epoch = &map->epochs[i - 1];
        if (request->time_ms >= epoch->from_ms) {
            return amo_epoch_owner(epoch, id_hash(request->text));
        }
    }
    return 0;
}

static void
amo_map_prune(amo_map *map, int64_t oldest_ms)
{
    while (map->epoch_count > 1 && (map->epochs[1].from_ms <= oldest_ms ||
                                    map->epoch_count == AMO_EPOCHS_MAX)) {
        map->epoch_count--;
        memmove(&map->epochs[0], &map->epochs[1],
                map->epoch_count * sizeof(map->epochs[0]));
    }
}

static bool
amo_same_members(const amo_epoch *epoch, const uint64_t *members, size_t count)
{
    if (epoch->member_count != count) {
        return false;
    }
    return memcmp(epoch->members, members, count * sizeof(members[0])) == 0;
}

static void
amo_map_append(amo_map *map, int64_t from_ms, const uint64_t *members,
               size_t count)
{
    if (map->epoch_count == AMO_EPOCHS_MAX) {
        amo_map_prune(map, 0);
    }
    amo_epoch *epoch = &map->epochs[map->epoch_count++];
    epoch->from_ms = from_ms;
    epoch->member_count = count;
    memcpy(epoch->members, members, count * sizeof(members[0]));
}

/* Move the horizon to `now_ms + ahead_ms`.  A changed set of members (in
 * rising order) begins an epoch at the old horizon, never before it.  An
 * empty map begins at id time 0: the platform's create has shown that no
 * map was ever there.  Returns whether anything changed. */
bool
amo_map_extend(amo_map *map, const uint64_t *members, size_t count,
               int64_t now_ms, int64_t ahead_ms, int64_t window_ms)
{
    int64_t horizon_ms = now_ms + ahead_ms;
    if (count == 0 || count > AMO_MEMBERS_MAX ||
        horizon_ms <= map->horizon_ms) {
        return false;
    }
    if (map->epoch_count == 0) {
        amo_map_append(map, 0, members, count);
    }
    else if (!amo_same_members(&map->epochs[map->epoch_count - 1], members,
                               count)) {
        amo_map_append(map, map->horizon_ms, members, count);
    }
    map->horizon_ms = horizon_ms;
    amo_map_prune(map, now_ms - window_ms);
    return true;
}

static void
amo_epoch_remove(amo_epoch *epoch, uint64_t member)
{
    size_t kept = 0;
    for (size_t i = 0; i < epoch->member_count; i++) {
        if (epoch->members[i] != member) {
            epoch->members[kept++] = epoch->members[i];
        }
    }
    epoch->member_count = kept;
}

/* Take a member out for id times from `from_ms` on.  Only the member itself
 * may ask for this, after it has stopped to accept such ids; every other
 * member keeps exactly the ids that it had.  Returns whether it was in. */
bool
amo_map_leave(amo_map *map, uint64_t member, int64_t from_ms)
{
    bool found = false;
    size_t at = map->epoch_count;
    for (size_t i = 0; i < map->epoch_count; i++) {
        for (size_t j = 0; j < map->epochs[i].member_count; j++) {
            found = found || map->epochs[i].members[j] == member;
        }
        if (map->epochs[i].from_ms >= from_ms && at == map->epoch_count) {
            at = i;
        }
    }
    if (!found) {
        return false;
    }
    if (at > 0 && from_ms < map->horizon_ms &&
        map->epoch_count < AMO_EPOCHS_MAX) {
        memmove(&map->epochs[at + 1], &map->epochs[at],
                (map->epoch_count - at) * sizeof(map->epochs[0]));
        map->epochs[at] = map->epochs[at - 1];
        map->epochs[at].from_ms = from_ms;
        map->epoch_count++;
    }
    for (size_t i = at; i < map->epoch_count; i++) {
        amo_epoch_remove(&map->epochs[i], member);
    }
    return true;
}

/* Whether a member owns any id times from `from_ms` on in the epoch that
 * covers it. */
bool
amo_map_has(const amo_map *map, uint64_t member, int64_t from_ms)
{
    for (size_t i = map->epoch_count; i > 0; i--) {
        const amo_epoch *epoch = &map->epochs[i - 1];
        if (epoch->from_ms > from_ms) {
            continue;
        }
        for (size_t j = 0; j < epoch->member_count; j++) {
            if (epoch->members[j] == member) {
                return true;
            }
        }
        return false;
    }
    return false;
}
