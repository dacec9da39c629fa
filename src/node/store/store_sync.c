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

#define STORE_SYNC_WATCH_MS 2500          /* one waiting watch */
#define STORE_SYNC_PAUSE_US 200000        /* after a failure */
#define STORE_SYNC_PAUSE_SPREAD_US 200000 /* ... and up to so much more */
#define STORE_SYNC_SPREAD_MAX_US 1500000  /* of reading a change */
#define STORE_SYNC_STEP_US 100000         /* of the keeper */
#define STORE_SYNC_REFRESH_US 60000000LL  /* of this node's object */
#define STORE_SYNC_LIST_US 600000000LL    /* between two lists of members */
#define STORE_SYNC_STALE_MS 180000        /* an older object is not a member */
#define STORE_SYNC_GARBAGE_MS 3600000     /* ... and then is deleted */

struct store_sync {
    node *node;
    objstore *watch; /* used by the watcher only */
    objstore *keep;  /* used by the keeper only */
    worker_thread watcher;
    worker_thread keeper;
    store_sync_owners owners;
    uint64_t member_version; /* of this node's object; 0: not known */
    int64_t refreshed_us;
    int64_t listed_us;
};

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

static void
store_sync_pause(void)
{
    clock_sleep_us(STORE_SYNC_PAUSE_US +
                   (int64_t)(id_random() % STORE_SYNC_PAUSE_SPREAD_US));
}

/* All nodes hear of a change at once: spread their reading of its files, one
 * millisecond a member.  Those that wait may get them from peers meanwhile. */
static void
store_sync_spread(store_sync *s)
{
    snapshot_read_lock();
    int64_t most_us = (int64_t)snapshot_get_fleet(s->node->snapshot)->count;
    snapshot_read_unlock();
    most_us *= CLOCK_US_PER_MS;
    most_us = most_us > STORE_SYNC_SPREAD_MAX_US ? STORE_SYNC_SPREAD_MAX_US
                                                 : most_us;
    if (most_us > 0) {
        clock_sleep_us((int64_t)(id_random() % (uint64_t)most_us));
    }
}

static void
store_sync_watch_main(void *payload)
{
    store_sync *s = payload;
    while (!worker_stop_requested(&s->watcher)) {
        objstore_object head;
        err e = ERR_INIT;
        uint64_t version = config_store_version(s->node->configs);
        int result = objstore_watch(&head, s->watch, MANIFEST_KEY, version,
                                    STORE_SYNC_WATCH_MS, &e);
        if (result == ERR_NOT_FOUND) {
            continue;
        }
        if (result == 0) {
            store_sync_spread(s);
            result =
                config_store_apply(s->node->configs, head.version, head.value,
                                   store_sync_fetch_file, s->watch, &e);
            objstore_object_clear(&head);
        }
        if (result < 0) {
            log_write(LOG_DEBUG, NULL, "configuration: %s", e.message);
            store_sync_pause();
        }
    }
}

/* Write this node's object; where its version is not known, or is another,
 * read it first.  There is only one writer, this node. */
static void
store_sync_refresh(store_sync *s, int64_t now_us)
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
    int result = objstore_put(&s->member_version, s->keep, key, text,
                              strlen(text), s->member_version, &e);
    free(text);
    if (result == 0) {
        s->refreshed_us = now_us;
        return;
    }
    objstore_object present;
    if (objstore_get(&present, s->keep, key, &e) == 0) {
        s->member_version = present.version;
        objstore_object_clear(&present);
    }
}

static int
store_sync_listed(const char *key, uint64_t version, const char *value,
                  void *payload)
{
    store_sync *s = payload;
    swim_member entry;
    int64_t refreshed_ms = 0;
    if (store_sync_member_parse(&entry, &refreshed_ms, value) < 0) {
        return 0;
    }
    int64_t age_ms = clock_wall_ms() - refreshed_ms;
    if (age_ms > STORE_SYNC_GARBAGE_MS) {
        (void)objstore_delete(s->keep, key, version, NULL);
    }
    else if (age_ms < STORE_SYNC_STALE_MS) {
        gossip_add_member(s->node->gossip, &entry);
    }
    return 0;
}

static void
store_sync_list(store_sync *s, int64_t now_us)
{
    err e = ERR_INIT;
    if (objstore_list(s->keep, STORE_SYNC_MEMBER_PREFIX, store_sync_listed, s,
                      &e) == 0) {
        s->listed_us = now_us;
    }
}

static bool
store_sync_due(int64_t last_us, int64_t period_us, int64_t now_us)
{
    return last_us == 0 || now_us - last_us >= period_us;
}

static void
store_sync_keep_main(void *payload)
{
    store_sync *s = payload;
    while (!worker_stop_requested(&s->keeper)) {
        int64_t now_us = clock_now_us();
        if (store_sync_due(s->refreshed_us, STORE_SYNC_REFRESH_US, now_us)) {
            store_sync_refresh(s, now_us);
        }
        if (store_sync_due(s->listed_us, STORE_SYNC_LIST_US, now_us)) {
            store_sync_list(s, now_us);
        }
        store_sync_owners_poll(&s->owners, s->keep, clock_now_us(),
                               clock_wall_ms());
        clock_sleep_us(STORE_SYNC_STEP_US);
    }
}

/* Begin to deal with the platform, which need not be up. */
int
store_sync_new(store_sync **out, node *n, err *e)
{
    store_sync *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "platform");
    }
    s->node = n;
    store_sync_owners_init(&s->owners, n);
    int result = objstore_new(&s->watch, n->settings.platform_url, e);
    if (result == 0) {
        result = objstore_new(&s->keep, n->settings.platform_url, e);
    }
    if (result == 0) {
        result = worker_start(&s->watcher, store_sync_watch_main, s, e);
    }
    if (result == 0) {
        result = worker_start(&s->keeper, store_sync_keep_main, s, e);
    }
    if (result < 0) {
        store_sync_free(s);
        return result;
    }
    *out = s;
    return 0;
}

/* End both threads. */
void
store_sync_stop(store_sync *s)
{
    worker_request_stop(&s->watcher);
    worker_join(&s->keeper);
    worker_join(&s->watcher);
}

/* Release it; takes NULL. */
void
store_sync_free(store_sync *s)
{
    if (s != NULL) {
        store_sync_stop(s);
        objstore_free(s->watch);
        objstore_free(s->keep);
        free(s);
    }
}
