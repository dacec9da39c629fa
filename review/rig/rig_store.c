/* The platform's store: objects by kind and name, with revisions. */
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rig_private.h"

#define RIG_OBJECTS_MAX 64
#define RIG_HISTORY_MAX 4096
#define RIG_STORE_DELAY_MS 4 /* an answer takes so long */

typedef struct rig_object {
    char kind[64];
    char name[96];
    json_t *value; /* NULL: deleted */
} rig_object;

typedef struct rig_change {
    char kind[64];
    json_int_t revision;
    json_t *event;
} rig_change;

static pthread_mutex_t rig_store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t rig_store_changed = PTHREAD_COND_INITIALIZER;
static rig_object rig_objects[RIG_OBJECTS_MAX];
static int rig_object_count;
static rig_change rig_history[RIG_HISTORY_MAX];
static int rig_change_count;
static json_int_t rig_revision = 100;

static rig_object *
rig_find_object(const char *kind, const char *name)
{
    for (int i = 0; i < rig_object_count; i++) {
        if (strcmp(rig_objects[i].kind, kind) == 0 &&
            strcmp(rig_objects[i].name, name) == 0) {
            return &rig_objects[i];
        }
    }
    rig_object *o = &rig_objects[rig_object_count++];
    snprintf(o->kind, sizeof(o->kind), "%s", kind);
    snprintf(o->name, sizeof(o->name), "%s", name);
    return o;
}

static json_int_t
rig_object_revision(const rig_object *o)
{
    return json_integer_value(
        json_object_get(json_object_get(o->value, "metadata"), "revision"));
}

/* Stores a new value (NULL: deletes the object) and records the change. */
static void
rig_change_object(rig_object *o, json_t *spec)
{
    json_t *before = o->value;
    rig_revision++;
    if (spec != NULL) {
        o->value = json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "metadata",
                             "name", o->name, "revision", rig_revision,
                             "created_rev", rig_revision, "finalizers",
                             "deleting", 0, "spec", spec, "status");
    }
    rig_change *change = &rig_history[rig_change_count++];
    snprintf(change->kind, sizeof(change->kind), "%s", o->kind);
    change->revision = rig_revision;
    change->event = json_pack("{s:b,s:O}", "deleted", spec == NULL, "object",
                              spec == NULL ? before : o->value);
    json_decref(before);
    if (spec == NULL) {
        o->value = NULL;
    }
    pthread_cond_broadcast(&rig_store_changed);
}

static json_t *
rig_list(const char *kind)
{
    json_t *items = json_array();
    for (int i = 0; i < rig_object_count; i++) {
        if (strcmp(rig_objects[i].kind, kind) == 0 &&
            rig_objects[i].value != NULL) {
            json_array_append(items, rig_objects[i].value);
        }
    }
    return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                     "current_rev", rig_revision);
}

static json_t *
rig_events_since(const char *kind, json_int_t revision)
{
    json_t *events = json_array();
    for (int i = 0; i < rig_change_count; i++) {
        if (rig_history[i].revision > revision &&
            strcmp(rig_history[i].kind, kind) == 0) {
            json_array_append(events, rig_history[i].event);
        }
    }
    return events;
}

/* Waits for changes of a kind after a revision. */
static json_t *
rig_watch(const char *kind, json_int_t revision, int wait_ms)
{
    int64_t end_ms = rig_now_ms() + wait_ms;
    json_t *events = rig_events_since(kind, revision);
    while (json_array_size(events) == 0 && rig_now_ms() < end_ms) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 20 * 1000000L;
        until.tv_sec += until.tv_nsec / 1000000000L;
        until.tv_nsec %= 1000000000L;
        pthread_cond_timedwait(&rig_store_changed, &rig_store_lock, &until);
        json_decref(events);
        events = rig_events_since(kind, revision);
    }
    return json_pack("{s:o,s:I}", "events", events, "current_rev",
                     rig_revision);
}

/* Handles a write; the condition is the revision in the body or the query. */
static json_t *
rig_write(int *status, const char *method, const char *kind, const char *name,
          const rig_message *m, json_int_t condition)
{
    json_t *body = json_loadb(m->body, m->length, 0, NULL);
    json_t *metadata = json_object_get(body, "metadata");
    json_t *spec = json_object_get(body, "spec");
    if (name[0] == '\0') {
        name = json_string_value(json_object_get(metadata, "name"));
    }
    if (json_is_integer(json_object_get(metadata, "revision"))) {
        condition = json_integer_value(json_object_get(metadata, "revision"));
    }
    json_t *answer = NULL;
    rig_object *o = name == NULL ? NULL : rig_find_object(kind, name);
    bool create = strcmp(method, "POST") == 0;
    if (o == NULL) {
        *status = 400;
    }
    else if (create ? o->value != NULL
                    : o->value != NULL && condition != 0 &&
                          condition != rig_object_revision(o)) {
        *status = 409;
        answer = json_incref(o->value);
    }
    else if (!create && o->value == NULL) {
        *status = 404;
    }
    else {
        bool remove = strcmp(method, "DELETE") == 0;
        *status = create ? 201 : 200;
        answer = remove ? json_incref(o->value) : NULL;
        if (remove || create ||
            !json_equal(spec, json_object_get(o->value, "spec"))) {
            rig_change_object(o, remove ? NULL : spec);
        }
        if (!remove) {
            answer = json_incref(o->value);
        }
    }
    json_decref(body);
    return answer;
}

static json_t *
rig_handle_store(int *status, const rig_message *m)
{
    char method[16];
    char path[RIG_TEXT_SIZE];
    char kind[64] = "";
    char name[96] = "";
    sscanf(m->head, "%15s %255s", method, path);
    char *query = strchr(path, '?');
    if (query != NULL) {
        *query++ = '\0';
    }
    sscanf(path, "/api/objects/%63[^/]/%95s", kind, name);
    const char *text = query == NULL ? NULL : strstr(query, "watch=");
    *status = 200;
    if (strcmp(method, "GET") == 0 && text != NULL) {
        const char *wait = strstr(query, "wait_ms=");
        return rig_watch(kind, atoll(text + strlen("watch=")),
                         wait == NULL ? 0 : atoi(wait + strlen("wait_ms=")));
    }
    if (strcmp(method, "GET") == 0 && name[0] == '\0') {
        return rig_list(kind);
    }
    if (strcmp(method, "GET") == 0) {
        rig_object *o = rig_find_object(kind, name);
        *status = o->value == NULL ? 404 : 200;
        return json_incref(o->value);
    }
    text = query == NULL ? NULL : strstr(query, "revision=");
    return rig_write(status, method, kind, name, m,
                     text == NULL ? 0 : atoll(text + strlen("revision=")));
}

static void
rig_serve_store(int fd, int payload)
{
    (void)payload;
    rig_message m;
    while (rig_read_message(fd, &m, false)) {
        int status = 200;
        char head[128];
        rig_sleep_ms(RIG_STORE_DELAY_MS);
        pthread_mutex_lock(&rig_store_lock);
        json_t *answer = rig_handle_store(&status, &m);
        char *text =
            answer == NULL ? strdup("{}") : json_dumps(answer, JSON_COMPACT);
        json_decref(answer);
        pthread_mutex_unlock(&rig_store_lock);
        rig_free(&m);
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d S\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status, strlen(text));
        bool sent = rig_send(fd, head, strlen(head)) &&
                    rig_send(fd, text, strlen(text));
        free(text);
        if (!sent) {
            return;
        }
    }
    rig_free(&m);
}

/* Writes a desired state as the operator does. */
void
rig_publish(int version, const char *routes)
{
    char *text = malloc(strlen(routes) + 2048);
    int length = sprintf(text,
                         "{\"version\":\"%08x\",\"routes\":%s,"
                         "\"services\":[",
                         (unsigned)version, routes);
    const char *comma = "";
    for (int i = 0; i < RIG_NODES_MAX && rig_service(i) != NULL; i++) {
        bool known = false;
        for (int j = 0; j < i; j++) {
            known = known || strcmp(rig_service(i), rig_service(j)) == 0;
        }
        if (!known) {
            length += sprintf(text + length,
                              "%s{\"name\":\"%s\",\"health_path\":\"/health\","
                              "\"max_connections\":448,\"protocol\":\"h1\","
                              "\"tls\":false}",
                              comma, rig_service(i));
            comma = ",";
        }
    }
    sprintf(text + length,
            "],\"limits\":{\"max_header_bytes\":16384,"
            "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            "\"idle_timeout\":\"15000ms\"}}");
    json_t *spec = json_loads(text, 0, NULL);
    free(text);
    if (spec == NULL) {
        rig_end(RIG_EXIT_NOT_RUN, "the desired state is no JSON");
    }
    pthread_mutex_lock(&rig_store_lock);
    rig_change_object(rig_find_object("config", "main"), spec);
    pthread_mutex_unlock(&rig_store_lock);
    json_decref(spec);
    rig_log("desired state %d acknowledged", version);
}

/* Writes an object as another writer does. */
void
rig_foreign_entry(const char *kind, const char *name, const char *text)
{
    json_t *spec = json_loads(text, JSON_ALLOW_NUL, NULL);
    if (spec == NULL) {
        rig_end(RIG_EXIT_NOT_RUN, "the entry is no JSON");
    }
    pthread_mutex_lock(&rig_store_lock);
    rig_change_object(rig_find_object(kind, name), spec);
    pthread_mutex_unlock(&rig_store_lock);
    json_decref(spec);
    rig_log("entry %s/%s of another writer: %s", kind, name, text);
}

void
rig_store_start(void)
{
    rig_listen(-1, RIG_PORT_STORE, rig_serve_store, 0);
}
