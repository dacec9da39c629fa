/*
 * Stand-in of the platform: the object API of lav/objstore.h in memory,
 * counting every call, with switches for its failures:
 *
 *   PUT /admin?outage=0|1       every call answers 503
 *   PUT /admin?hang=0|1         no call is answered while it is on
 *   PUT /admin?slow_ms=N        every call takes so long
 *   PUT /admin?lose_answers=N   the next N writes take effect, unanswered
 *   PUT /admin?stale=0|1        reads and watches answer the version before
 *   GET /admin                  counts, as JSON
 */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lav/clock.h"
#include "standin.h"

#define PLATFORM_WATCH_MAX_MS 30000
#define PLATFORM_STEP_MS 20 /* a waiting watch looks so often for an outage */

typedef struct object {
    uint64_t version;
    char *value;
    uint64_t version_before; /* 0: none */
    char *value_before;
} object;

typedef struct platform {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *objects; /* key -> object */
    uint64_t last_version;
    atomic_int outage;
    atomic_int hang;
    atomic_int slow_ms;
    atomic_int lose_answers;
    atomic_int stale;
    atomic_llong reads;
    atomic_llong writes;
    atomic_llong watches;
    atomic_int waiting;
} platform;

static void
object_free(gpointer payload)
{
    object *o = payload;
    free(o->value);
    free(o->value_before);
    free(o);
}

static enum MHD_Result
answer_object(platform *p, const standin_request *request, const object *o)
{
    char etag[32];
    bool stale = atomic_load(&p->stale) != 0 && o->version_before != 0;
    snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"",
             stale ? o->version_before : o->version);
    return standin_reply(request, MHD_HTTP_OK,
                         stale ? o->value_before : o->value, etag);
}

static void
wait_for_change(platform *p)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += PLATFORM_STEP_MS * 1000000L;
    if (until.tv_nsec >= 1000000000L) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000L;
    }
    pthread_cond_timedwait(&p->changed, &p->lock, &until);
}

static enum MHD_Result
get_object(platform *p, const standin_request *request, const char *key)
{
    int wait_ms = standin_get_query_int(request, "wait", 0);
    const char *after_text = standin_get_query(request, "after");
    uint64_t after = after_text ? strtoull(after_text, NULL, 10) : 0;
    wait_ms =
        wait_ms > PLATFORM_WATCH_MAX_MS ? PLATFORM_WATCH_MAX_MS : wait_ms;
    int64_t end_us = clock_now_us() + (int64_t)wait_ms * CLOCK_US_PER_MS;
    atomic_fetch_add(after_text ? &p->watches : &p->reads, 1);
    atomic_fetch_add(&p->waiting, 1);
    pthread_mutex_lock(&p->lock);
    object *o = g_hash_table_lookup(p->objects, key);
    while ((o == NULL || o->version <= after) && clock_now_us() < end_us &&
           atomic_load(&p->outage) == 0) {
        wait_for_change(p);
        o = g_hash_table_lookup(p->objects, key);
    }
    enum MHD_Result result;
    if (atomic_load(&p->outage) != 0) {
        result =
            standin_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, "", NULL);
    }
    else if (o == NULL) {
        result = standin_reply(request, MHD_HTTP_NOT_FOUND, "", NULL);
    }
    else if (o->version <= after) {
        result = standin_reply(request, MHD_HTTP_NOT_MODIFIED, "", NULL);
    }
    else {
        result = answer_object(p, request, o);
    }
    pthread_mutex_unlock(&p->lock);
    atomic_fetch_sub(&p->waiting, 1);
    return result;
}

static bool
expected(const standin_request *request, const object *o)
{
    const char *match = standin_get_header(request, "If-Match");
    if (match == NULL) {
        return o == NULL;
    }
    uint64_t version = strtoull(match + 1, NULL, 10);
    return o != NULL && o->version == version;
}

static enum MHD_Result
answer_write(platform *p, const standin_request *request, unsigned status,
             uint64_t version)
{
    char etag[32];
    snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
    if (status == MHD_HTTP_OK && atomic_load(&p->lose_answers) > 0) {
        atomic_fetch_sub(&p->lose_answers, 1);
        return MHD_NO;
    }
    return standin_reply(request, status, "", etag);
}

static enum MHD_Result
write_object(platform *p, const standin_request *request, const char *key,
             bool remove)
{
    atomic_fetch_add(&p->writes, 1);
    pthread_mutex_lock(&p->lock);
    object *o = g_hash_table_lookup(p->objects, key);
    unsigned status = MHD_HTTP_PRECONDITION_FAILED;
    uint64_t version = o == NULL ? 0 : o->version;
    if (expected(request, o)) {
        status = MHD_HTTP_OK;
        version = ++p->last_version;
        if (remove) {
            g_hash_table_remove(p->objects, key);
        }
        else {
            if (o == NULL) {
                o = calloc(1, sizeof(*o));
                g_hash_table_insert(p->objects, g_strdup(key), o);
            }
            free(o->value_before);
            o->value_before = o->value;
            o->version_before = o->version;
            o->value = strdup(request->body);
            o->version = version;
        }
        pthread_cond_broadcast(&p->changed);
    }
    pthread_mutex_unlock(&p->lock);
    return answer_write(p, request, status, version);
}

static enum MHD_Result
list_objects(platform *p, const standin_request *request, const char *prefix)
{
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    atomic_fetch_add(&p->reads, 1);
    pthread_mutex_lock(&p->lock);
    g_hash_table_iter_init(&iterator, p->objects);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const object *o = value;
        if (strncmp(key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(
                list, json_pack("{s:s,s:I,s:s}", "key", key, "version",
                                (json_int_t)o->version, "value", o->value));
        }
    }
    pthread_mutex_unlock(&p->lock);
    char *text = json_dumps(list, JSON_COMPACT);
    enum MHD_Result result = standin_reply(request, MHD_HTTP_OK, text, NULL);
    free(text);
    json_decref(list);
    return result;
}

static void
set_switch(atomic_int *out, const standin_request *request, const char *name)
{
    atomic_store(out, standin_get_query_int(request, name, atomic_load(out)));
}

static enum MHD_Result
administer(platform *p, const standin_request *request)
{
    set_switch(&p->outage, request, "outage");
    set_switch(&p->hang, request, "hang");
    set_switch(&p->slow_ms, request, "slow_ms");
    set_switch(&p->lose_answers, request, "lose_answers");
    set_switch(&p->stale, request, "stale");
    char text[256];
    snprintf(text, sizeof(text),
             "{\"reads\": %lld, \"writes\": %lld, \"watches\": %lld, "
             "\"waiting\": %d}\n",
             (long long)atomic_load(&p->reads),
             (long long)atomic_load(&p->writes),
             (long long)atomic_load(&p->watches), atomic_load(&p->waiting));
    return standin_reply(request, MHD_HTTP_OK, text, NULL);
}

static enum MHD_Result
handle(const standin_request *request, void *payload)
{
    platform *p = payload;
    const char *url = request->url;
    if (strcmp(url, "/admin") == 0) {
        return administer(p, request);
    }
    while (atomic_load(&p->hang) != 0) {
        clock_sleep_us(PLATFORM_STEP_MS * CLOCK_US_PER_MS);
    }
    clock_sleep_us((int64_t)atomic_load(&p->slow_ms) * CLOCK_US_PER_MS);
    if (atomic_load(&p->outage) != 0) {
        return standin_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, "", NULL);
    }
    if (strncmp(url, "/list/", 6) == 0) {
        return list_objects(p, request, url + 6);
    }
    if (strncmp(url, "/objects/", 9) != 0) {
        return standin_reply(request, MHD_HTTP_NOT_FOUND, "", NULL);
    }
    if (strcmp(request->method, "GET") == 0) {
        return get_object(p, request, url + 9);
    }
    return write_object(p, request, url + 9,
                        strcmp(request->method, "DELETE") == 0);
}

int
main(int argc, char **argv)
{
    platform p = {0};
    standin_server *server = NULL;
    err e = ERR_INIT;
    if (argc != 2) {
        fprintf(stderr, "usage: standin-platform PORT\n");
        return 2;
    }
    standin_catch_signals();
    pthread_mutex_init(&p.lock, NULL);
    pthread_cond_init(&p.changed, NULL);
    p.objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
    if (standin_new(&server, atoi(argv[1]), handle, &p, &e) < 0) {
        fprintf(stderr, "standin-platform: %s\n", e.message);
        return 3;
    }
    standin_wait_for_signal(0);
    _Exit(0); /* watches may still wait */
}
