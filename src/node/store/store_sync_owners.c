#include "store_sync_owners.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admitter.h"
#include "gossip.h"
#include "lav/clock.h"
#include "lav/log.h"
#include "owner_map_json.h"
#include "store_sync.h"

#define STORE_SYNC_RETRY_US 200000      /* between two tries at the platform */
#define STORE_SYNC_UNSETTLED_US 3000000 /* members changed so lately */
#define STORE_SYNC_UNSETTLED_MS 2500    /* horizon while they do */
#define STORE_SYNC_RANK_MS 250 /* the n-th member waits n times so long */
#define STORE_SYNC_HANDOVER_US 5000000 /* a leaving member's map is awaited */
#define STORE_SYNC_HANDOVER_AHEAD_MS                                          \
    2000                         /* a handover begins within that time */
#define STORE_SYNC_RENEW_PARTS 3 /* renew after a third of the horizon */

/* What the fleet looks like to the keeper of the map. */
typedef struct store_sync_fleet {
    size_t count;
    uint64_t members[DEDUP_EPOCH_SLOTS_MAX]; /* ready ones, in rising order */
    int rank;                                /* of this node, or -1 */
    size_t leaver_count;
    uint64_t leavers[DEDUP_EPOCH_SLOTS_MAX]; /* members that are leaving */
} store_sync_fleet;

/* Start without a map. */
void
store_sync_owners_init(store_sync_owners *o, node *n)
{
    *o = (store_sync_owners){.node = n};
}

static int
store_sync_compare(const void *x, const void *y)
{
    uint64_t a = *(const uint64_t *)x;
    uint64_t b = *(const uint64_t *)y;
    return (a > b) - (a < b);
}

static void
store_sync_look_at_fleet(store_sync_fleet *out, const node *n)
{
    *out = (store_sync_fleet){.rank = -1};
    snapshot_read_lock();
    const snapshot_fleet *fleet = snapshot_get_fleet(n->snapshot);
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        if (strcmp(entry->service, n->settings.service) != 0) {
            continue;
        }
        bool ready =
            entry->state == SWIM_READY || entry->state == SWIM_SUSPECT;
        if (ready && out->count < DEDUP_EPOCH_SLOTS_MAX) {
            out->members[out->count++] = entry->incarnation;
        }
        if (entry->state == SWIM_LEAVING &&
            out->leaver_count < DEDUP_EPOCH_SLOTS_MAX) {
            out->leavers[out->leaver_count++] = entry->incarnation;
        }
    }
    snapshot_read_unlock();
    qsort(out->members, out->count, sizeof(out->members[0]),
          store_sync_compare);
    for (size_t i = 0; i < out->count; i++) {
        if (out->members[i] == n->incarnation) {
            out->rank = (int)i;
        }
    }
}

/* Horizon of the own service; 0 where it has nothing unrepeatable. */
static int64_t
store_sync_horizon_ms(const node *n)
{
    int64_t horizon_ms = 0;
    snapshot_read_lock();
    const catalog *l = snapshot_get_config(n->snapshot)->landscape;
    int own = l == NULL ? CATALOG_NOT_FOUND
                        : catalog_find_service(l, n->settings.service);
    if (own != CATALOG_NOT_FOUND &&
        catalog_service_has_non_idempotent(l, own)) {
        horizon_ms = l->services[own]->policy.at_most_once_horizon_ms;
    }
    snapshot_read_unlock();
    return horizon_ms;
}

static void
store_sync_key(char *out, size_t size, const node *n)
{
    snprintf(out, size, "%s%s", STORE_SYNC_OWNERS_PREFIX, n->settings.service);
}

static void
store_sync_adopt(store_sync_owners *o, const dedup_owner_map *map)
{
    if (map->version > o->map.version) {
        o->map = *map;
        admitter_set_owner_map(o->node->admitter, map);
    }
}

/* Read the map; finding none is a success as well. */
static int
store_sync_read_map(store_sync_owners *o, objstore *p)
{
    char key[SVC_NAME_SIZE + 16];
    objstore_object object;
    dedup_owner_map map;
    err e = ERR_INIT;
    store_sync_key(key, sizeof(key), o->node);
    int result = objstore_get(&object, p, key, &e);
    if (result == ERR_NOT_FOUND) {
        o->read = true;
        return 0;
    }
    if (result < 0) {
        return result;
    }
    result = owner_map_json_parse(&map, object.value, object.version, &e);
    objstore_object_clear(&object);
    if (result < 0) {
        log_write(LOG_ERROR, NULL, "owners: %s", e.message);
        return result;
    }
    o->read = true;
    store_sync_adopt(o, &map);
    return 0;
}

/* Write a map made from the one last read.  It counts only once the
 * platform says so; a lost answer is found out by the next reading. */
static int
store_sync_write_map(store_sync_owners *o, objstore *p, dedup_owner_map *map)
{
    char key[SVC_NAME_SIZE + 16];
    uint64_t version = 0;
    err e = ERR_INIT;
    char *text = owner_map_json_format(map);
    if (text == NULL) {
        return ERR_NO_MEMORY;
    }
    store_sync_key(key, sizeof(key), o->node);
    int result =
        objstore_put(&version, p, key, text, strlen(text), o->map.version, &e);
    free(text);
    if (result == 0) {
        map->version = version;
        store_sync_adopt(o, map);
    }
    return result;
}

static void
store_sync_leave(store_sync_owners *o, objstore *p,
                 const store_sync_fleet *fleet, int64_t from_ms)
{
    if (store_sync_read_map(o, p) < 0) {
        return;
    }
    dedup_owner_map map = o->map;
    if (!dedup_owner_map_hand_over(&map, o->node->incarnation, from_ms,
                                   fleet->members, fleet->count) ||
        store_sync_write_map(o, p, &map) == 0) {
        o->left = true;
    }
}

static bool
store_sync_renewal_due(const store_sync_owners *o,
                       const store_sync_fleet *fleet, int64_t horizon_ms,
                       int64_t now_ms)
{
    int64_t ahead_ms = o->map.horizon_ms - now_ms;
    int64_t wait_ms = (int64_t)fleet->rank * STORE_SYNC_RANK_MS;
    int64_t limit_ms =
        horizon_ms - horizon_ms / STORE_SYNC_RENEW_PARTS - wait_ms;
    int64_t least_ms = STORE_SYNC_UNSETTLED_MS / 2;
    return ahead_ms < (limit_ms > least_ms ? limit_ms : least_ms);
}

static void
store_sync_renew(store_sync_owners *o, objstore *p,
                 const store_sync_fleet *fleet, int64_t horizon_ms,
                 int64_t now_ms)
{
    if (store_sync_read_map(o, p) < 0 ||
        !store_sync_renewal_due(o, fleet, horizon_ms, now_ms)) {
        return;
    }
    dedup_owner_map map = o->map;
    bool quiet = gossip_service_unchanged_us(o->node->gossip, clock_now_us()) >
                 STORE_SYNC_UNSETTLED_US;
    int64_t ahead_ms = quiet ? horizon_ms : STORE_SYNC_UNSETTLED_MS;
    if (dedup_owner_map_extend(&map, fleet->members, fleet->count, now_ms,
                               ahead_ms, o->node->settings.record_window_ms)) {
        (void)store_sync_write_map(o, p, &map);
    }
}

/* Whether a member is leaving whose slots the map still shows as its own:
 * then the map is about to change.  Given up after a while. */
static bool
store_sync_awaits_handover(store_sync_owners *o, const store_sync_fleet *fleet,
                           int64_t now_us, int64_t now_ms)
{
    bool awaits = false;
    for (size_t i = 0; i < fleet->leaver_count; i++) {
        awaits =
            awaits ||
            (fleet->leavers[i] != o->node->incarnation &&
             dedup_owner_map_contains(&o->map, fleet->leavers[i],
                                      now_ms + STORE_SYNC_HANDOVER_AHEAD_MS));
    }
    if (!awaits) {
        o->handover_wait_since_us = 0;
        return false;
    }
    if (o->handover_wait_since_us == 0) {
        o->handover_wait_since_us = now_us;
    }
    return now_us - o->handover_wait_since_us < STORE_SYNC_HANDOVER_US;
}

/* Do what is due now; called often, asks the platform rarely. */
void
store_sync_owners_poll(store_sync_owners *o, objstore *p, int64_t now_us,
                       int64_t now_ms)
{
    store_sync_fleet fleet;
    int64_t horizon_ms = store_sync_horizon_ms(o->node);
    int64_t from_ms = atomic_load(&o->node->load.relinquished_ms);
    if (horizon_ms == 0 ||
        now_us - o->platform_polled_us < STORE_SYNC_RETRY_US) {
        return;
    }
    store_sync_look_at_fleet(&fleet, o->node);
    if (from_ms != 0 && !o->left) {
        o->platform_polled_us = now_us;
        store_sync_leave(o, p, &fleet, from_ms);
        return;
    }
    o->left = from_ms != 0;
    if (!o->read || store_sync_awaits_handover(o, &fleet, now_us, now_ms)) {
        o->platform_polled_us = now_us;
        (void)store_sync_read_map(o, p);
        return;
    }
    if (fleet.rank >= 0 &&
        store_sync_renewal_due(o, &fleet, horizon_ms, now_ms)) {
        o->platform_polled_us = now_us;
        store_sync_renew(o, p, &fleet, horizon_ms, now_ms);
    }
}
