#include "lav/store_news.h"

#include <string.h>

#include "lav/id.h"

/* The nodes of a zone with the lowest hashes of their names. */
typedef struct store_news_zone {
    const char *name;
    int readers[STORE_NEWS_READERS_MIN];
    uint64_t hashes[STORE_NEWS_READERS_MIN];
    int count;
} store_news_zone;

typedef struct store_news_zones {
    store_news_zone list[STORE_NEWS_ZONES_MAX];
    int count;
    int nodes; /* that may read, in all zones */
} store_news_zones;

/* Whether few nodes should read: where there are workspaces or mixed work. */
bool
store_news_is_called_for(const routing_table *routes)
{
    return routes != NULL && (routing_get_workspaces(routes) != NULL ||
                              routing_has_mixed_work(routes));
}

/* Returns the zone of that name, a new one if need be; NULL if there are too
 * many. */
static store_news_zone *
store_news_find_zone(store_news_zones *zones, const char *name)
{
    for (int i = 0; i < zones->count; i++) {
        if (strcmp(zones->list[i].name, name) == 0) {
            return &zones->list[i];
        }
    }
    if (zones->count == STORE_NEWS_ZONES_MAX) {
        return NULL;
    }
    store_news_zone *zone = &zones->list[zones->count++];
    *zone = (store_news_zone){.name = name};
    return zone;
}

/* Adds a node to its zone's readers if its hash is among the lowest. */
static void
store_news_rank_node(store_news_zone *zone, int handle, uint64_t hash)
{
    int place = zone->count;
    while (place > 0 && zone->hashes[place - 1] > hash) {
        place--;
    }
    if (place == STORE_NEWS_READERS_MIN) {
        return;
    }
    if (zone->count < STORE_NEWS_READERS_MIN) {
        zone->count++;
    }
    for (int i = zone->count - 1; i > place; i--) {
        zone->readers[i] = zone->readers[i - 1];
        zone->hashes[i] = zone->hashes[i - 1];
    }
    zone->readers[place] = handle;
    zone->hashes[place] = hash;
}

/* Ranks the nodes that are reachable and don't stop, zone by zone. */
static void
store_news_rank_fleet(store_news_zones *zones, const instance_table *fleet,
                      int64_t now_us)
{
    *zones = (store_news_zones){0};
    for (int i = 0; i < instance_count(fleet); i++) {
        const instance_record *record = instance_get(fleet, i);
        if (record == NULL || record->state == INSTANCE_STOPPING ||
            instance_unreachable_for_us(fleet, i, now_us) >= 0) {
            continue;
        }
        zones->nodes++;
        store_news_zone *zone = store_news_find_zone(zones, record->zone);
        if (zone != NULL) {
            store_news_rank_node(zone, i, id_hash(record->node));
        }
    }
}

/* Chooses the readers: in each zone the nodes with the lowest hashes of their
 * names.  All nodes read if the fleet is small. */
void
store_news_choose(store_news *news, const instance_table *fleet,
                  const char *self, int64_t now_us)
{
    store_news_zones zones;
    store_news_rank_fleet(&zones, fleet, now_us);
    int per_zone = STORE_NEWS_READERS_PER_ZONE;
    if (zones.count * per_zone < STORE_NEWS_READERS_MIN) {
        per_zone = STORE_NEWS_READERS_MIN;
    }
    int own = instance_find(fleet, self);
    news->reader_count = 0;
    news->is_reader = false;
    for (int i = 0; i < zones.count; i++) {
        for (int k = 0; k < zones.list[i].count && k < per_zone; k++) {
            int handle = zones.list[i].readers[k];
            news->readers[news->reader_count++] = handle;
            news->is_reader = news->is_reader || handle == own;
        }
    }
    if (news->reader_count < STORE_NEWS_READERS_MIN ||
        zones.nodes < news->reader_count * STORE_NEWS_NODES_PER_READER) {
        news->reader_count = 0;
        news->is_reader = true;
    }
}

/* Returns the handle of the reader to ask next, each in turn, so that one that
 * misses changes misleads no node for long; never `self`, which may be
 * INSTANCE_NONE.  INSTANCE_NONE if there is no other reader. */
int
store_news_next_reader(store_news *news, int self)
{
    for (int i = 0; i < news->reader_count; i++) {
        int handle =
            news->readers[news->asked++ % (unsigned int)news->reader_count];
        if (handle != self) {
            return handle;
        }
    }
    return INSTANCE_NONE;
}

/* Judges what a node answered: the version that it has in force, and whether
 * it reads the store. */
enum store_news_verdict
store_news_judge(uint64_t version, bool reads, uint64_t own_version)
{
    if (version > own_version) {
        return STORE_NEWS_NEWER;
    }
    return reads && version == own_version ? STORE_NEWS_CONFIRMED
                                           : STORE_NEWS_UNKNOWN;
}

/* Notes that the version in force was the newest at `at_us`, when a reader was
 * asked, or the store itself. */
void
store_news_confirm(store_news *news, int64_t at_us)
{
    if (at_us > news->confirmed_us) {
        news->confirmed_us = at_us;
    }
}

/* Whether the version in force was confirmed a short time ago. */
bool
store_news_is_confirmed(const store_news *news, int64_t now_us)
{
    return news->shared && news->confirmed_us > 0 &&
           now_us - news->confirmed_us <= STORE_NEWS_SILENCE_US;
}

/* Whether this node needn't read the desired state for now. */
bool
store_news_may_wait(const store_news *news, int64_t now_us)
{
    return !news->is_reader && store_news_is_confirmed(news, now_us);
}

/* Returns for how many nodes the time to a check is drawn, at a node of a
 * fleet of `fleet_nodes`: for the readers, where few nodes read, so that a node
 * that becomes one checks soon. */
int
store_news_drawn_nodes(const store_news *news, int fleet_nodes)
{
    return news->shared && news->reader_count > 0 ? news->reader_count
                                                  : fleet_nodes;
}

/* Whether a check is due at the time that was drawn for `drawn_for` nodes, so
 * that all nodes together check at the same rate: after a start the fleet is
 * known bit by bit, and a node that isn't a reader may read all the same.
 * `random` is from 0 to 1. */
bool
store_news_check_is_due(const store_news *news, int drawn_for, int fleet_nodes,
                        double random, int64_t now_us)
{
    int nodes = news->is_reader ? store_news_drawn_nodes(news, fleet_nodes)
                                : fleet_nodes;
    return !news->shared ||
           (!store_news_may_wait(news, now_us) && random * nodes < drawn_for);
}
