#include "syn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfs.h"
#include "duty.h"
#include "gsp.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/objstore.h"
#include "syn_member.h"
#include "syn_owners.h"

#define SYN_WATCH_MS 2500          /* one waiting watch */
#define SYN_PAUSE_US 200000        /* after a failure */
#define SYN_PAUSE_SPREAD_US 200000 /* ... and up to so much more */
#define SYN_SPREAD_MAX_US 1500000  /* of reading a change */
#define SYN_STEP_US 100000         /* of the keeper */
#define SYN_REFRESH_US 60000000LL  /* of this node's object */
#define SYN_LIST_US 600000000LL    /* between two lists of members */
#define SYN_STALE_MS 180000        /* an older object is not a member */
#define SYN_GARBAGE_MS 3600000     /* ... and then is deleted */

struct syn {
    node *node;
    objstore *watch; /* used by the watcher only */
    objstore *keep;  /* used by the keeper only */
    duty watcher;
    duty keeper;
    syn_owners owners;
    uint64_t member_version; /* of this node's object; 0: not known */
    int64_t refreshed_us;
    int64_t listed_us;
};

static int
syn_fetch_file(char **out, const char *hash, err *e, void *payload)
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
syn_pause(void)
{
    clock_sleep_us(SYN_PAUSE_US +
                   (int64_t)(id_random() % SYN_PAUSE_SPREAD_US));
}

/* All nodes hear of a change at once: spread their reading of its files, one
 * millisecond a member.  Those that wait may get them from peers meanwhile. */
static void
syn_spread(syn *s)
{
    view_read_begin();
    int64_t most_us = (int64_t)view_fleet_get(s->node->view)->count;
    view_read_end();
    most_us *= CLOCK_US_PER_MS;
    most_us = most_us > SYN_SPREAD_MAX_US ? SYN_SPREAD_MAX_US : most_us;
    if (most_us > 0) {
        clock_sleep_us((int64_t)(id_random() % (uint64_t)most_us));
    }
}

static void
syn_watch_main(void *payload)
{
    syn *s = payload;
    while (!duty_ended(&s->watcher)) {
        objstore_object head;
        err e = ERR_INIT;
        uint64_t version = cfs_version(s->node->configs);
        int result = objstore_watch(&head, s->watch, MANIFEST_KEY, version,
                                    SYN_WATCH_MS, &e);
        if (result == ERR_NOT_FOUND) {
            continue;
        }
        if (result == 0) {
            syn_spread(s);
            result = cfs_apply(s->node->configs, head.version, head.value,
                               syn_fetch_file, s->watch, &e);
            objstore_object_clear(&head);
        }
        if (result < 0) {
            log_write(LOG_DEBUG, NULL, "configuration: %s", e.message);
            syn_pause();
        }
    }
}

/* Write this node's object; where its version is not known, or is another,
 * read it first.  There is only one writer, this node. */
static void
syn_refresh(syn *s, int64_t now_us)
{
    char key[SVC_NAME_SIZE + 16];
    swim_member self;
    err e = ERR_INIT;
    gsp_self(&self, s->node->gossip);
    snprintf(key, sizeof(key), "%s%s", SYN_MEMBER_PREFIX, self.name);
    char *text = syn_member_format(&self, clock_wall_ms());
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
syn_listed(const char *key, uint64_t version, const char *value, void *payload)
{
    syn *s = payload;
    swim_member entry;
    int64_t refreshed_ms = 0;
    if (syn_member_parse(&entry, &refreshed_ms, value) < 0) {
        return 0;
    }
    int64_t age_ms = clock_wall_ms() - refreshed_ms;
    if (age_ms > SYN_GARBAGE_MS) {
        (void)objstore_delete(s->keep, key, version, NULL);
    }
    else if (age_ms < SYN_STALE_MS) {
        gsp_meet(s->node->gossip, &entry);
    }
    return 0;
}

static void
syn_list(syn *s, int64_t now_us)
{
    err e = ERR_INIT;
    if (objstore_list(s->keep, SYN_MEMBER_PREFIX, syn_listed, s, &e) == 0) {
        s->listed_us = now_us;
    }
}

static bool
syn_due(int64_t last_us, int64_t period_us, int64_t now_us)
{
    return last_us == 0 || now_us - last_us >= period_us;
}

static void
syn_keep_main(void *payload)
{
    syn *s = payload;
    while (!duty_ended(&s->keeper)) {
        int64_t now_us = clock_now_us();
        if (syn_due(s->refreshed_us, SYN_REFRESH_US, now_us)) {
            syn_refresh(s, now_us);
        }
        if (syn_due(s->listed_us, SYN_LIST_US, now_us)) {
            syn_list(s, now_us);
        }
        syn_owners_step(&s->owners, s->keep, clock_now_us(), clock_wall_ms());
        clock_sleep_us(SYN_STEP_US);
    }
}

/* Begin to deal with the platform, which need not be up. */
int
syn_new(syn **out, node *n, err *e)
{
    syn *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "platform");
    }
    s->node = n;
    syn_owners_init(&s->owners, n);
    int result = objstore_new(&s->watch, n->settings.platform_url, e);
    if (result == 0) {
        result = objstore_new(&s->keep, n->settings.platform_url, e);
    }
    if (result == 0) {
        result = duty_start(&s->watcher, syn_watch_main, s, e);
    }
    if (result == 0) {
        result = duty_start(&s->keeper, syn_keep_main, s, e);
    }
    if (result < 0) {
        syn_free(s);
        return result;
    }
    *out = s;
    return 0;
}

/* End both threads. */
void
syn_stop(syn *s)
{
    duty_end(&s->watcher);
    duty_join(&s->keeper);
    duty_join(&s->watcher);
}

/* Release it; takes NULL. */
void
syn_free(syn *s)
{
    if (s != NULL) {
        syn_stop(s);
        objstore_free(s->watch);
        objstore_free(s->keep);
        free(s);
    }
}
