#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pfr_private.h"

/* The stand-in of the platform's store: objects by kind and name, revisions,
 * conditional writes, watches that are answered by polling. */

#define PFR_OBJECTS_MAX 512
#define PFR_EVENTS_MAX 1024 /* the oldest are forgotten */

typedef struct pfr_object {
    char kind[32];
    char name[64];
    json_t *object; /* NULL: free */
} pfr_object;

typedef struct pfr_event {
    long revision;
    char kind[32];
    json_t *event;
} pfr_event;

static pfr_object pfr_objects[PFR_OBJECTS_MAX];
static pfr_event pfr_events[PFR_EVENTS_MAX];
static int pfr_event_count;
static long pfr_revision = 1;
static long pfr_forgotten; /* changes up to it are no longer known */
static int pfr_writes;
static int pfr_reads;
static enum pfr_store_mode pfr_mode;

void
pfr_store_mode(enum pfr_store_mode mode)
{
    pthread_mutex_lock(&pfr_lock);
    pfr_mode = mode;
    pthread_mutex_unlock(&pfr_lock);
}

int
pfr_store_writes(void)
{
    pthread_mutex_lock(&pfr_lock);
    int writes = pfr_writes;
    pthread_mutex_unlock(&pfr_lock);
    return writes;
}

int
pfr_store_reads(void)
{
    pthread_mutex_lock(&pfr_lock);
    int reads = pfr_reads;
    pthread_mutex_unlock(&pfr_lock);
    return reads;
}

void
pfr_store_reset(void)
{
    for (int i = 0; i < PFR_OBJECTS_MAX; i++) {
        json_decref(pfr_objects[i].object);
        pfr_objects[i].object = NULL;
    }
    for (int i = 0; i < pfr_event_count; i++) {
        json_decref(pfr_events[i].event);
    }
    pfr_event_count = 0;
    pfr_mode = PFR_STORE_UP;
    pfr_writes = 0;
}

static pfr_object *
pfr_find(const char *kind, const char *name)
{
    for (int i = 0; i < PFR_OBJECTS_MAX; i++) {
        pfr_object *o = &pfr_objects[i];
        if (o->object != NULL && strcmp(o->kind, kind) == 0 &&
            strcmp(o->name, name) == 0) {
            return o;
        }
    }
    return NULL;
}

static void
pfr_happened(const pfr_object *o, bool deleted)
{
    if (pfr_event_count == PFR_EVENTS_MAX) {
        pfr_forgotten = pfr_events[0].revision;
        json_decref(pfr_events[0].event);
        memmove(pfr_events, pfr_events + 1,
                sizeof(pfr_events[0]) * (PFR_EVENTS_MAX - 1));
        pfr_event_count--;
    }
    pfr_event *e = &pfr_events[pfr_event_count++];
    e->revision = pfr_revision;
    snprintf(e->kind, sizeof(e->kind), "%s", o->kind);
    e->event = json_pack("{s:O,s:b}", "object", o->object, "deleted", deleted);
}

static pfr_object *
pfr_put(const char *kind, const char *name, json_t *spec)
{
    pfr_object *o = pfr_find(kind, name);
    for (int i = 0; o == NULL && i < PFR_OBJECTS_MAX; i++) {
        if (pfr_objects[i].object == NULL) {
            o = &pfr_objects[i];
            snprintf(o->kind, sizeof(o->kind), "%s", kind);
            snprintf(o->name, sizeof(o->name), "%s", name);
        }
    }
    pfr_revision++;
    json_decref(o->object);
    o->object = json_pack("{s:{s:s,s:I},s:O}", "metadata", "name", name,
                          "revision", (json_int_t)pfr_revision, "spec", spec);
    pfr_happened(o, false);
    return o;
}

/* Another writer's object; `spec` is JSON. */
void
pfr_store_put(const char *kind, const char *name, const char *spec)
{
    json_t *value = json_loads(spec, 0, NULL);
    pthread_mutex_lock(&pfr_lock);
    pfr_put(kind, name, value);
    pthread_mutex_unlock(&pfr_lock);
    json_decref(value);
}

bool
pfr_store_has(const char *kind, const char *name)
{
    pthread_mutex_lock(&pfr_lock);
    bool has = pfr_find(kind, name) != NULL;
    pthread_mutex_unlock(&pfr_lock);
    return has;
}

/* The operator writes a desired state; `routes` is a JSON list. */
void
pfr_desire(int version, const char *routes)
{
    char digits[16];
    snprintf(digits, sizeof(digits), "%08x", version);
    json_t *list = json_loads(routes, 0, NULL);
    json_t *spec = json_pack(
        "{s:s,s:o,s:[{s:s,s:s},{s:s,s:s}],s:{s:i,s:i,s:s,s:s}}", "version",
        digits, "routes", list, "services", "name", "near", "health_path",
        PFR_HEALTH_PATH, "name", "far", "health_path", PFR_HEALTH_PATH,
        "limits", "max_header_bytes", 4096, "max_body_bytes", PFR_BODY_MAX,
        "header_timeout", "2s", "idle_timeout", "15s");
    pthread_mutex_lock(&pfr_lock);
    pfr_put("config", "main", spec);
    pthread_mutex_unlock(&pfr_lock);
    json_decref(spec);
}

static json_t *
pfr_list(const char *kind)
{
    json_t *items = json_array();
    for (int i = 0; i < PFR_OBJECTS_MAX; i++) {
        if (pfr_objects[i].object != NULL &&
            strcmp(pfr_objects[i].kind, kind) == 0) {
            json_array_append(items, pfr_objects[i].object);
        }
    }
    return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                     "current_rev", (json_int_t)pfr_revision);
}

static json_t *
pfr_changes(const char *kind, long after)
{
    json_t *events = json_array();
    for (int i = 0; i < pfr_event_count; i++) {
        if (pfr_events[i].revision > after &&
            strcmp(pfr_events[i].kind, kind) == 0) {
            json_array_append(events, pfr_events[i].event);
        }
    }
    return json_pack("{s:o,s:I}", "events", events, "current_rev",
                     (json_int_t)pfr_revision);
}

/* Wait for a change, for 2 s at most. */
static json_t *
pfr_watch(const char *kind, long after)
{
    json_t *changes = NULL;
    for (int i = 0; i < 200; i++) {
        json_decref(changes);
        pthread_mutex_lock(&pfr_lock);
        changes = pfr_changes(kind, after);
        bool up = pfr_mode == PFR_STORE_UP || pfr_mode == PFR_STORE_LOST;
        pthread_mutex_unlock(&pfr_lock);
        if (json_array_size(json_object_get(changes, "events")) > 0 || !up) {
            break;
        }
        pfr_sleep_ms(10);
    }
    return changes;
}

static int
pfr_write(json_t **out, const pfr_request *request, const char *kind,
          const char *path_name)
{
    json_t *body = json_loadb(request->body, request->length, 0, NULL);
    json_t *metadata = json_object_get(body, "metadata");
    const char *name =
        path_name[0] != '\0'
            ? path_name
            : json_string_value(json_object_get(metadata, "name"));
    json_t *revision = json_object_get(metadata, "revision");
    pfr_object *o = pfr_find(kind, name);
    int status = 200;
    pfr_writes++;
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
        o = pfr_put(kind, name, json_object_get(body, "spec"));
    }
    *out = o == NULL ? json_object() : json_incref(o->object);
    json_decref(body);
    return status;
}

static long
pfr_revision_of(const pfr_object *o)
{
    return (long)json_integer_value(
        json_object_get(json_object_get(o->object, "metadata"), "revision"));
}

static int
pfr_delete(json_t **out, const char *path, const char *kind, const char *name)
{
    pfr_object *o = pfr_find(kind, name);
    const char *condition = strstr(path, "revision=");
    *out = json_object();
    pfr_writes++;
    if (o == NULL) {
        return 404;
    }
    if (condition != NULL && strtol(condition + strlen("revision="), NULL,
                                    10) != pfr_revision_of(o)) {
        json_decref(*out);
        *out = json_incref(o->object);
        return 409;
    }
    pfr_revision++;
    pfr_happened(o, true);
    json_decref(o->object);
    o->object = NULL;
    return 200;
}

static int
pfr_handle(json_t **out, const pfr_request *request)
{
    char kind[32] = "";
    char name[64] = "";
    sscanf(request->path, "/api/objects/%31[^/?]/%63[^?]", kind, name);
    const char *watch = strstr(request->path, "watch=");
    if (strcmp(request->method, "GET") == 0 && watch != NULL) {
        long after = strtol(watch + strlen("watch="), NULL, 10);
        *out = pfr_watch(kind, after);
        return after < pfr_forgotten ? 410 : 200;
    }
    int status = 200;
    pthread_mutex_lock(&pfr_lock);
    if (strcmp(request->method, "GET") == 0) {
        *out = pfr_list(kind);
    }
    else if (strcmp(request->method, "DELETE") == 0) {
        status = pfr_delete(out, request->path, kind, name);
    }
    else {
        status = pfr_write(out, request, kind, name);
    }
    pthread_mutex_unlock(&pfr_lock);
    return status;
}

void
pfr_serve_store(int fd, int index)
{
    (void)index;
    pfr_request request;
    request.body = malloc(PFR_BODY_MAX);
    while (pfr_read_request(&request, fd)) {
        pthread_mutex_lock(&pfr_lock);
        enum pfr_store_mode mode = pfr_mode;
        pfr_reads += strcmp(request.method, "GET") == 0;
        pthread_mutex_unlock(&pfr_lock);
        if (mode == PFR_STORE_SILENT) {
            continue;
        }
        json_t *answer = NULL;
        int status = mode == PFR_STORE_BUSY ? 503 : 0;
        if (status == 0) {
            status = pfr_handle(&answer, &request);
        }
        if (mode == PFR_STORE_LOST && strcmp(request.method, "GET") != 0) {
            json_decref(answer);
            break; /* done, and not answered */
        }
        char *text = answer == NULL ? strdup("{}") : json_dumps(answer, 0);
        pfr_reply(fd, status, "Content-Type: application/json\r\n", text,
                  strlen(text));
        free(text);
        json_decref(answer);
    }
    free(request.body);
}
