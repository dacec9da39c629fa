#include "store_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_store.h"
#include "worker.h"
#include "gossip.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/objstore.h"
#include "store_sync_member.h"
#include "store_sync_owners.h"

#define STORE_SYNC_WATCH_MS 2500         /* timeout of one watch */
#define STORE_SYNC_RETRY_DELAY_US 200000 /* delay after a failure */
/* Upper bound of the random part of that delay. */
#define STORE_SYNC_RETRY_JITTER_US 200000
/* Upper bound of the random delay before reading a change. */
#define STORE_SYNC_READ_JITTER_MAX_US 1500000
#define STORE_SYNC_UPDATE_TICK_US 100000 /* tick of the updater */
/* Time between writes of this node's object. */
#define STORE_SYNC_REFRESH_PERIOD_US 60000000LL
/* Time between listings of the members. */
#define STORE_SYNC_LIST_PERIOD_US 600000000LL
/* The member of an older object is not considered alive. */
#define STORE_SYNC_STALE_AFTER_MS 180000
#define STORE_SYNC_DELETE_AFTER_MS 3600000 /* an older object is deleted */

struct store_sync {
    node *node;
    objstore *watch_client;  /* client of the watcher thread */
    objstore *update_client; /* client of the updater thread */
    worker_thread watcher;
    worker_thread updater;
    store_sync_owners owners;
    uint64_t member_version; /* of this node's object; 0: unknown */
    int64_t last_refresh_us;
    int64_t last_list_us;
};

/* manifest_fetch_cb: read a configuration file from the platform; `payload`
 * is the client. */
static int
store_sync_fetch_file(char **out, const char *hash, err *e, void *payload)
{
    char key[64];
    objstore_object object;
    snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX, hash);
    int result = objstore_get(&object, payload, key, e);
    if (result == 0) {
        *out = object.value;
    }
    return result;
}

/* Wait before the next request after a failure, with jitter. */
static void
store_sync_delay_retry(void)
{
    clock_sleep_us(STORE_SYNC_RETRY_DELAY_US +
                   (int64_t)(id_random() % STORE_SYNC_RETRY_JITTER_US));
}

/* Wait a random time of up to one millisecond per member, since all nodes are
 * notified of a change at once and would read its files together. Nodes that
 * wait may get the files from peers meanwhile. */
static void
store_sync_delay_read(store_sync *s)
{
    snapshot_read_lock();
    int64_t max_delay_us =
        (int64_t)snapshot_get_fleet(s->node->snapshot)->count;
    snapshot_read_unlock();
    max_delay_us *= CLOCK_US_PER_MS;
    max_delay_us = max_delay_us > STORE_SYNC_READ_JITTER_MAX_US
                       ? STORE_SYNC_READ_JITTER_MAX_US
                       : max_delay_us;
    if (max_delay_us > 0) {
        clock_sleep_us((int64_t)(id_random() % (uint64_t)max_delay_us));
    }
}

/* Watcher thread: wait for a newer configuration and apply it. */
static void
store_sync_watch_main(void *payload)
{
    store_sync *s = payload;
    while (!worker_stop_requested(&s->watcher)) {
        objstore_object head;
        err e = ERR_INIT;
        uint64_t version = config_store_version(s->node->configs);
        int result = objstore_watch(&head, s->watch_client, MANIFEST_KEY,
                                    version, STORE_SYNC_WATCH_MS, &e);
        if (result == ERR_NOT_FOUND) {
            continue;
        }
        if (result == 0) {
            store_sync_delay_read(s);
            result =
                config_store_apply(s->node->configs, head.version, head.value,
                                   store_sync_fetch_file, s->watch_client, &e);
            objstore_object_clear(&head);
        }
        if (result < 0) {
            log_write(LOG_DEBUG, NULL, "cannot update the configuration: %s",
                      e.message);
            store_sync_delay_retry();
        }
    }
}

/* Write this node's member object, of which this node is the only writer. If
 * the write fails, read the version for the next attempt. */
static void
store_sync_write_member(store_sync *s, int64_t now_us)
{
    char key[SVC_NAME_SIZE + 16];
    swim_member self;
    err e = ERR_INIT;
    gossip_get_self(&self, s->node->gossip);
    snprintf(key, sizeof(key), "%s%s", STORE_SYNC_MEMBER_PREFIX, self.name);
    char *text = store_sync_member_format(&self, clock_wall_ms());
    if (text == NULL) {
        return;
    }
    int result = objstore_put(&s->member_version, s->update_client, key, text,
                              strlen(text), s->member_version, &e);
    free(text);
    if (result == 0) {
        s->last_refresh_us = now_us;
        return;
    }
    objstore_object current;
    if (objstore_get(&current, s->update_client, key, &e) == 0) {
        s->member_version = current.version;
        objstore_object_clear(&current);
    }
}

/* Handle one listed member object: merge a current one into the membership,
 * delete one that expired long ago, and skip one that cannot be parsed. */
static int
store_sync_on_member(const char *key, uint64_t version, const char *value,
                     void *payload)
{
    store_sync *s = payload;
    swim_member entry;
    int64_t refreshed_ms = 0;
    if (store_sync_member_parse(&entry, &refreshed_ms, value) < 0) {
        return 0;
    }
    int64_t age_ms = clock_wall_ms() - refreshed_ms;
    if (age_ms > STORE_SYNC_DELETE_AFTER_MS) {
        (void)objstore_delete(s->update_client, key, version, NULL);
    }
    else if (age_ms < STORE_SYNC_STALE_AFTER_MS) {
        gossip_add_member(s->node->gossip, &entry);
    }
    return 0;
}

/* List the members on the platform. */
static void
store_sync_list_members(store_sync *s, int64_t now_us)
{
    err e = ERR_INIT;
    if (objstore_list(s->update_client, STORE_SYNC_MEMBER_PREFIX,
                      store_sync_on_member, s, &e) == 0) {
        s->last_list_us = now_us;
    }
}

/* Whether a periodic task is due; `last_us` is 0 before its first run. */
static bool
store_sync_is_due(int64_t last_us, int64_t period_us, int64_t now_us)
{
    return last_us == 0 || now_us - last_us >= period_us;
}

/* Updater thread: run the periodic tasks. */
static void
store_sync_update_main(void *payload)
{
    store_sync *s = payload;
    while (!worker_stop_requested(&s->updater)) {
        int64_t now_us = clock_now_us();
        if (store_sync_is_due(s->last_refresh_us, STORE_SYNC_REFRESH_PERIOD_US,
                              now_us)) {
            store_sync_write_member(s, now_us);
        }
        if (store_sync_is_due(s->last_list_us, STORE_SYNC_LIST_PERIOD_US,
                              now_us)) {
            store_sync_list_members(s, now_us);
        }
        store_sync_owners_poll(&s->owners, s->update_client, clock_now_us(),
                               clock_wall_ms());
        clock_sleep_us(STORE_SYNC_UPDATE_TICK_US);
    }
}

/* Start both threads; the platform need not be reachable. */
int
store_sync_new(store_sync **out, node *n, err *e)
{
    store_sync *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the platform client");
    }
    s->node = n;
    store_sync_owners_init(&s->owners, n);
    int result = objstore_new(&s->watch_client, n->settings.platform_url, e);
    if (result == 0) {
        result = objstore_new(&s->update_client, n->settings.platform_url, e);
    }
    if (result == 0) {
        result = worker_start(&s->watcher, store_sync_watch_main, s, e);
    }
    if (result == 0) {
        result = worker_start(&s->updater, store_sync_update_main, s, e);
    }
    if (result < 0) {
        store_sync_free(s);
        return result;
    }
    *out = s;
    return 0;
}

/* Stop both threads. */
void
store_sync_stop(store_sync *s)
{
    worker_request_stop(&s->watcher);
    worker_join(&s->updater);
    worker_join(&s->watcher);
}

/* Stop both threads and free the state; NULL is allowed. */
void
store_sync_free(store_sync *s)
{
    if (s != NULL) {
        store_sync_stop(s);
        objstore_free(s->watch_client);
        objstore_free(s->update_client);
        free(s);
    }
}
