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

/* Least time between two requests to the platform. */
#define STORE_SYNC_REQUEST_PERIOD_US 200000
#define STORE_SYNC_STABLE_AFTER_US 3000000  /* unchanged for longer: stable */
#define STORE_SYNC_UNSTABLE_HORIZON_MS 2500 /* horizon until they are stable */
/* Delay per rank, so that usually one node writes the extension. */
#define STORE_SYNC_RANK_DELAY_MS 250
/* Longest wait for another member's handover. */
#define STORE_SYNC_HANDOVER_TIMEOUT_US 5000000
/* A handover takes effect within this time. */
#define STORE_SYNC_HANDOVER_LOOKAHEAD_MS 2000
/* The horizon is extended once a third of it has passed. */
#define STORE_SYNC_EXTEND_DIVISOR 3

/* The members of this node's service. */
typedef struct store_sync_service_members {
    size_t ready_count;
    uint64_t ready[DEDUP_EPOCH_SLOTS_MAX]; /* ascending */
    int rank;                              /* of this node among them, or -1 */
    size_t leaving_count;
    uint64_t leaving[DEDUP_EPOCH_SLOTS_MAX]; /* in state SWIM_LEAVING */
} store_sync_service_members;

/* Initialize without a map. */
void
store_sync_owners_init(store_sync_owners *o, node *n)
{
    *o = (store_sync_owners){.node = n};
}

/* qsort() comparison of incarnations. */
static int
store_sync_compare(const void *x, const void *y)
{
    uint64_t a = *(const uint64_t *)x;
    uint64_t b = *(const uint64_t *)y;
    return (a > b) - (a < b);
}

/* Collect the members of this node's service and this node's rank. */
static void
store_sync_collect_members(store_sync_service_members *out, const node *n)
{
    *out = (store_sync_service_members){.rank = -1};
    snapshot_read_lock();
    const snapshot_fleet *fleet = snapshot_get_fleet(n->snapshot);
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        if (strcmp(entry->service, n->settings.service) != 0) {
            continue;
        }
        bool ready =
            entry->state == SWIM_READY || entry->state == SWIM_SUSPECT;
        if (ready && out->ready_count < DEDUP_EPOCH_SLOTS_MAX) {
            out->ready[out->ready_count++] = entry->incarnation;
        }
        if (entry->state == SWIM_LEAVING &&
            out->leaving_count < DEDUP_EPOCH_SLOTS_MAX) {
            out->leaving[out->leaving_count++] = entry->incarnation;
        }
    }
    snapshot_read_unlock();
    qsort(out->ready, out->ready_count, sizeof(out->ready[0]),
          store_sync_compare);
    for (size_t i = 0; i < out->ready_count; i++) {
        if (out->ready[i] == n->incarnation) {
            out->rank = (int)i;
        }
    }
}

/* Configured horizon of the own service; 0 if it has no non-idempotent
 * operations. */
static int64_t
store_sync_horizon_ms(const node *n)
{
    int64_t horizon_ms = 0;
    snapshot_read_lock();
    const catalog *landscape = snapshot_get_config(n->snapshot)->catalog;
    int own = landscape == NULL
                  ? CATALOG_NOT_FOUND
                  : catalog_find_service(landscape, n->settings.service);
    if (own != CATALOG_NOT_FOUND &&
        catalog_service_has_non_idempotent(landscape, own)) {
        horizon_ms = landscape->services[own]->policy.at_most_once_horizon_ms;
    }
    snapshot_read_unlock();
    return horizon_ms;
}

/* Key of the owner map on the platform. */
static void
store_sync_owners_key(char *out, size_t size, const node *n)
{
    snprintf(out, size, "%s%s", STORE_SYNC_OWNERS_PREFIX, n->settings.service);
}

/* Use a map if it is newer, and pass it to the admitter. */
static void
store_sync_set_map(store_sync_owners *o, const dedup_owner_map *map)
{
    if (map->version > o->map.version) {
        o->map = *map;
        admitter_set_owner_map(o->node->admitter, map);
    }
}

/* Read the map; that the platform has none counts as success. */
static int
store_sync_read_map(store_sync_owners *o, objstore *platform)
{
    char key[SVC_NAME_SIZE + 16];
    objstore_object object;
    dedup_owner_map map;
    err e = ERR_INIT;
    store_sync_owners_key(key, sizeof(key), o->node);
    int result = objstore_get(&object, platform, key, &e);
    if (result == ERR_NOT_FOUND) {
        o->is_read = true;
        return 0;
    }
    if (result < 0) {
        return result;
    }
    result = owner_map_json_parse(&map, object.value, object.version, &e);
    objstore_object_clear(&object);
    if (result < 0) {
        log_write(LOG_ERROR, NULL, "cannot read the owner map: %s", e.message);
        return result;
    }
    o->is_read = true;
    store_sync_set_map(o, &map);
    return 0;
}

/* Write a map that was derived from the one last read. It is used only after
 * the platform has confirmed the write; if the confirmation is lost, the next
 * read shows the result. */
static int
store_sync_write_map(store_sync_owners *o, objstore *platform,
                     dedup_owner_map *map)
{
    char key[SVC_NAME_SIZE + 16];
    uint64_t version = 0;
    err e = ERR_INIT;
    char *text = owner_map_json_format(map);
    if (text == NULL) {
        return ERR_NO_MEMORY;
    }
    store_sync_owners_key(key, sizeof(key), o->node);
    int result = objstore_put(&version, platform, key, text, strlen(text),
                              o->map.version, &e);
    free(text);
    if (result == 0) {
        map->version = version;
        store_sync_set_map(o, map);
    }
    return result;
}

/* Hand over this node's slots to the remaining members, from `from_ms` on. */
static void
store_sync_hand_over(store_sync_owners *o, objstore *platform,
                     const store_sync_service_members *members,
                     int64_t from_ms)
{
    if (store_sync_read_map(o, platform) < 0) {
        return;
    }
    dedup_owner_map map = o->map;
    if (!dedup_owner_map_hand_over(&map, o->node->incarnation, from_ms,
                                   members->ready, members->ready_count) ||
        store_sync_write_map(o, platform, &map) == 0) {
        o->handed_over = true;
    }
}

/* Whether the horizon must be extended by this node now. Members of higher
 * rank wait longer, so usually only one of them writes. */
static bool
store_sync_is_extension_due(const store_sync_owners *o,
                            const store_sync_service_members *members,
                            int64_t horizon_ms, int64_t now_ms)
{
    int64_t ahead_ms = o->map.horizon_ms - now_ms;
    int64_t delay_ms = (int64_t)members->rank * STORE_SYNC_RANK_DELAY_MS;
    int64_t limit_ms =
        horizon_ms - horizon_ms / STORE_SYNC_EXTEND_DIVISOR - delay_ms;
    int64_t min_ms = STORE_SYNC_UNSTABLE_HORIZON_MS / 2;
    return ahead_ms < (limit_ms > min_ms ? limit_ms : min_ms);
}

/* Extend the horizon of the map. It is kept short while the members change,
 * so that changes take effect soon. */
static void
store_sync_extend_horizon(store_sync_owners *o, objstore *platform,
                          const store_sync_service_members *members,
                          int64_t horizon_ms, int64_t now_ms)
{
    if (store_sync_read_map(o, platform) < 0 ||
        !store_sync_is_extension_due(o, members, horizon_ms, now_ms)) {
        return;
    }
    dedup_owner_map map = o->map;
    bool stable =
        gossip_service_unchanged_us(o->node->gossip, clock_now_us()) >
        STORE_SYNC_STABLE_AFTER_US;
    int64_t ahead_ms = stable ? horizon_ms : STORE_SYNC_UNSTABLE_HORIZON_MS;
    if (dedup_owner_map_extend(&map, members->ready, members->ready_count,
                               now_ms, ahead_ms,
                               o->node->settings.record_window_ms)) {
        (void)store_sync_write_map(o, platform, &map);
    }
}

/* Whether another member is leaving but still owns slots in the map, which is
 * then about to change. The wait is given up after a timeout. */
static bool
store_sync_is_handover_pending(store_sync_owners *o,
                               const store_sync_service_members *members,
                               int64_t now_us, int64_t now_ms)
{
    bool pending = false;
    for (size_t i = 0; i < members->leaving_count; i++) {
        pending = pending || (members->leaving[i] != o->node->incarnation &&
                              dedup_owner_map_contains(
                                  &o->map, members->leaving[i],
                                  now_ms + STORE_SYNC_HANDOVER_LOOKAHEAD_MS));
    }
    if (!pending) {
        o->handover_wait_since_us = 0;
        return false;
    }
    if (o->handover_wait_since_us == 0) {
        o->handover_wait_since_us = now_us;
    }
    return now_us - o->handover_wait_since_us < STORE_SYNC_HANDOVER_TIMEOUT_US;
}

/* Do what is due; may be called often, since requests to the platform are
 * rate-limited. */
void
store_sync_owners_poll(store_sync_owners *o, objstore *platform,
                       int64_t now_us, int64_t now_ms)
{
    store_sync_service_members members;
    int64_t horizon_ms = store_sync_horizon_ms(o->node);
    int64_t from_ms = atomic_load(&o->node->load.relinquished_ms);
    if (horizon_ms == 0 ||
        now_us - o->last_request_us < STORE_SYNC_REQUEST_PERIOD_US) {
        return;
    }
    store_sync_collect_members(&members, o->node);
    if (from_ms != 0 && !o->handed_over) {
        o->last_request_us = now_us;
        store_sync_hand_over(o, platform, &members, from_ms);
        return;
    }
    o->handed_over = from_ms != 0;
    if (!o->is_read ||
        store_sync_is_handover_pending(o, &members, now_us, now_ms)) {
        o->last_request_us = now_us;
        (void)store_sync_read_map(o, platform);
        return;
    }
    if (members.rank >= 0 &&
        store_sync_is_extension_due(o, &members, horizon_ms, now_ms)) {
        o->last_request_us = now_us;
        store_sync_extend_horizon(o, platform, &members, horizon_ms, now_ms);
    }
}
