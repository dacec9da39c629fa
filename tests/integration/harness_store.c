#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_private.h"

/* The stand-in of the platform's store: objects by kind and name, revisions,
 * conditional writes, watches that are answered by polling. */

#define HARNESS_OBJECTS_MAX 512
#define HARNESS_EVENTS_MAX 1024 /* the oldest are forgotten */

typedef struct harness_object {
    char kind[32];
    char name[64];
    json_t *object; /* NULL: free */
} harness_object;

typedef struct harness_event {
    long revision;
    char kind[32];
    json_t *event;
} harness_event;

static harness_object harness_objects[HARNESS_OBJECTS_MAX];
static harness_event harness_events[HARNESS_EVENTS_MAX];
static int harness_event_count;
static long harness_revision = 1;
static long harness_forgotten; /* changes up to it are no longer known */
static int harness_writes;
static int harness_reads;
static enum harness_store_mode harness_mode;

void
harness_store_mode(enum harness_store_mode mode)
{
    pthread_mutex_lock(&harness_lock);
    harness_mode = mode;
    pthread_mutex_unlock(&harness_lock);
}

int
harness_store_write_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int writes = harness_writes;
    pthread_mutex_unlock(&harness_lock);
    return writes;
}

int
harness_store_read_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int reads = harness_reads;
    pthread_mutex_unlock(&harness_lock);
    return reads;
}

void
harness_store_reset(void)
{
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        json_decref(harness_objects[i].object);
        harness_objects[i].object = NULL;
    }
    for (int i = 0; i < harness_event_count; i++) {
        json_decref(harness_events[i].event);
    }
    harness_event_count = 0;
    harness_mode = HARNESS_STORE_UP;
    harness_writes = 0;
}

static harness_object *
harness_find(const char *kind, const char *name)
{
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        harness_object *o = &harness_objects[i];
        if (o->object != NULL && strcmp(o->kind, kind) == 0 &&
            strcmp(o->name, name) == 0) {
            return o;
        }
    }
    return NULL;
}

static void
harness_happened(const harness_object *o, bool deleted)
{
    if (harness_event_count == HARNESS_EVENTS_MAX) {
        harness_forgotten = harness_events[0].revision;
        json_decref(harness_events[0].event);
        memmove(harness_events, harness_events + 1,
                sizeof(harness_events[0]) * (HARNESS_EVENTS_MAX - 1));
        harness_event_count--;
    }
    harness_event *e = &harness_events[harness_event_count++];
    e->revision = harness_revision;
    snprintf(e->kind, sizeof(e->kind), "%s", o->kind);
    e->event = json_pack("{s:O,s:b}", "object", o->object, "deleted", deleted);
}

static harness_object *
harness_put(const char *kind, const char *name, json_t *spec)
{
    harness_object *o = harness_find(kind, name);
    for (int i = 0; o == NULL && i < HARNESS_OBJECTS_MAX; i++) {
        if (harness_objects[i].object == NULL) {
            o = &harness_objects[i];
            snprintf(o->kind, sizeof(o->kind), "%s", kind);
            snprintf(o->name, sizeof(o->name), "%s", name);
        }
    }
    harness_revision++;
    json_decref(o->object);
    o->object =
        json_pack("{s:{s:s,s:I},s:O}", "metadata", "name", name, "revision",
                  (json_int_t)harness_revision, "spec", spec);
    harness_happened(o, false);
    return o;
}

/* Another writer's object; `spec` is JSON. */
void
harness_store_put(const char *kind, const char *name, const char *spec)
{
    json_t *value = json_loads(spec, 0, NULL);
    pthread_mutex_lock(&harness_lock);
    harness_put(kind, name, value);
    pthread_mutex_unlock(&harness_lock);
    json_decref(value);
}

bool
harness_store_contains(const char *kind, const char *name)
{
    pthread_mutex_lock(&harness_lock);
    bool has = harness_find(kind, name) != NULL;
    pthread_mutex_unlock(&harness_lock);
    return has;
}

/* The operator writes a desired state; `routes` is a JSON list. */
void
harness_publish_desired(int version, const char *routes)
{
    char digits[16];
    snprintf(digits, sizeof(digits), "%08x", version);
    json_t *list = json_loads(routes, 0, NULL);
    json_t *spec = json_pack(
        "{s:s,s:o,s:[{s:s,s:s},{s:s,s:s}],s:{s:i,s:i,s:s,s:s}}", "version",
        digits, "routes", list, "services", "name", "near", "health_path",
        HARNESS_HEALTH_PATH, "name", "far", "health_path", HARNESS_HEALTH_PATH,
        "limits", "max_header_bytes", 4096, "max_body_bytes",
        HARNESS_BODY_SIZE_MAX, "header_timeout", "2s", "idle_timeout", "15s");
    pthread_mutex_lock(&harness_lock);
    harness_put("config", "main", spec);
    pthread_mutex_unlock(&harness_lock);
    json_decref(spec);
}

static json_t *
harness_list(const char *kind)
{
    json_t *items = json_array();
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        if (harness_objects[i].object != NULL &&
            strcmp(harness_objects[i].kind, kind) == 0) {
            json_array_append(items, harness_objects[i].object);
        }
    }
    return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                     "current_rev", (json_int_t)harness_revision);
}

static json_t *
harness_changes(const char *kind, long after)
{
    json_t *events = json_array();
    for (int i = 0; i < harness_event_count; i++) {
        if (harness_events[i].revision > after &&
            strcmp(harness_events[i].kind, kind) == 0) {
            json_array_append(events, harness_events[i].event);
        }
    }
    return json_pack("{s:o,s:I}", "events", events, "current_rev",
                     (json_int_t)harness_revision);
}

/* Wait for a change, for 2 s at most. */
static json_t *
harness_watch(const char *kind, long after)
{
    json_t *changes = NULL;
    for (int i = 0; i < 200; i++) {
        json_decref(changes);
        pthread_mutex_lock(&harness_lock);
        changes = harness_changes(kind, after);
        bool up = harness_mode == HARNESS_STORE_UP ||
                  harness_mode == HARNESS_STORE_LOSES_REPLY;
        pthread_mutex_unlock(&harness_lock);
        if (json_array_size(json_object_get(changes, "events")) > 0 || !up) {
            break;
        }
        harness_sleep_ms(10);
    }
    return changes;
}

static int
harness_write(json_t **out, const harness_request *request, const char *kind,
              const char *path_name)
{
    json_t *body = json_loadb(request->body, request->length, 0, NULL);
    json_t *metadata = json_object_get(body, "metadata");
    const char *name =
        path_name[0] != '\0'
            ? path_name
            : json_string_value(json_object_get(metadata, "name"));
    json_t *revision = json_object_get(metadata, "revision");
    harness_object *o = harness_find(kind, name);
    int status = 200;
    harness_writes++;
    bool exists = strcmp(request->method, "POST") == 0 && o != NULL;
    bool changed =
        o != NULL && json_is_integer(revision) &&
        json_integer_value(revision) !=
            json_integer_value(json_object_get(
                json_object_get(o->object, "metadata"), "revision"));
    if (exists || changed) {
        status = 409;
    }
    else if (strcmp(request->method, "PUT") == 0 && o == NULL) {
        status = 404;
    }
    else {
        o = harness_put(kind, name, json_object_get(body, "spec"));
    }
    *out = o == NULL ? json_object() : json_incref(o->object);
    json_decref(body);
    return status;
}

static long
harness_revision_of(const harness_object *o)
{
    return (long)json_integer_value(
        json_object_get(json_object_get(o->object, "metadata"), "revision"));
}

static int
harness_delete(json_t **out, const char *path, const char *kind,
               const char *name)
{
    harness_object *o = harness_find(kind, name);
    const char *condition = strstr(path, "revision=");
    *out = json_object();
    harness_writes++;
    if (o == NULL) {
        return 404;
    }
    if (condition != NULL && strtol(condition + strlen("revision="), NULL,
                                    10) != harness_revision_of(o)) {
        json_decref(*out);
        *out = json_incref(o->object);
        return 409;
    }
    harness_revision++;
    harness_happened(o, true);
    json_decref(o->object);
    o->object = NULL;
    return 200;
}

static int
harness_handle(json_t **out, const harness_request *request)
{
    char kind[32] = "";
    char name[64] = "";
    sscanf(request->path, "/api/objects/%31[^/?]/%63[^?]", kind, name);
    const char *watch = strstr(request->path, "watch=");
    if (strcmp(request->method, "GET") == 0 && watch != NULL) {
        long after = strtol(watch + strlen("watch="), NULL, 10);
        *out = harness_watch(kind, after);
        return after < harness_forgotten ? 410 : 200;
    }
    int status = 200;
    pthread_mutex_lock(&harness_lock);
    if (strcmp(request->method, "GET") == 0) {
        *out = harness_list(kind);
    }
    else if (strcmp(request->method, "DELETE") == 0) {
        status = harness_delete(out, request->path, kind, name);
    }
    else {
        status = harness_write(out, request, kind, name);
    }
    pthread_mutex_unlock(&harness_lock);
    return status;
}

void
harness_serve_store(int fd, int index)
{
    (void)index;
    harness_request request;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    while (harness_read_request(&request, fd)) {
        pthread_mutex_lock(&harness_lock);
        enum harness_store_mode mode = harness_mode;
        harness_reads += strcmp(request.method, "GET") == 0;
        pthread_mutex_unlock(&harness_lock);
        if (mode == HARNESS_STORE_HANGS) {
            continue;
        }
        json_t *answer = NULL;
        int status = mode == HARNESS_STORE_UNAVAILABLE ? 503 : 0;
        if (status == 0) {
            status = harness_handle(&answer, &request);
        }
        if (mode == HARNESS_STORE_LOSES_REPLY &&
            strcmp(request.method, "GET") != 0) {
            json_decref(answer);
            break; /* done, and not answered */
        }
        char *text = answer == NULL ? strdup("{}") : json_dumps(answer, 0);
        harness_reply(fd, status, "Content-Type: application/json\r\n", text,
                      strlen(text));
        free(text);
        json_decref(answer);
    }
    free(request.body);
}
