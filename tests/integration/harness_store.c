#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_private.h"
#include "lav/clock.h"

/* The stand-in of the platform's store: objects by kind and name with
 * revisions, conditional writes and watches as long polls. */

#define HARNESS_OBJECTS_MAX 512
#define HARNESS_EVENTS_MAX 1024 /* older ones are dropped */
#define HARNESS_WATCH_POLLS 200
#define HARNESS_WATCH_POLL_MS 10

typedef struct harness_object {
    char kind[32];
    char name[64];
    json_t *object; /* NULL: the slot is free */
} harness_object;

typedef struct harness_event {
    long revision;
    int64_t at_us;
    char kind[32];
    json_t *event;
} harness_event;

/* Stands for the raw text of an object, by its index. */
#define HARNESS_RAW_MARK "@raw-%u@"

static GPtrArray *harness_raw_texts;
static harness_object harness_objects[HARNESS_OBJECTS_MAX];
static harness_event harness_events[HARNESS_EVENTS_MAX];
static int harness_event_count;
static long harness_revision = 1;
static long harness_dropped_revision; /* events up to it were dropped; a watch
                                       * from before gets 410 */
static int harness_store_writes;
static int harness_store_reads;
static enum harness_store_mode harness_current_store_mode;

/* Set how the store handles the requests that arrive from now on. */
void
harness_set_store_mode(enum harness_store_mode mode)
{
    pthread_mutex_lock(&harness_lock);
    harness_current_store_mode = mode;
    pthread_mutex_unlock(&harness_lock);
}

/* Writes and deletes since the start, also those that were rejected. */
int
harness_store_write_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int writes = harness_store_writes;
    pthread_mutex_unlock(&harness_lock);
    return writes;
}

/* GET requests, watches included. */
int
harness_store_read_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int reads = harness_store_reads;
    pthread_mutex_unlock(&harness_lock);
    return reads;
}

/* Empty the store; revisions continue from the last one. */
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
    if (harness_raw_texts == NULL) {
        harness_raw_texts = g_ptr_array_new_with_free_func(g_free);
    }
    harness_current_store_mode = HARNESS_STORE_UP;
    harness_store_writes = 0;
    harness_reset_stale_reads();
}

static harness_object *
harness_find_object(const char *kind, const char *name)
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

/* Append the event of an object's change at the current revision. */
static void
harness_append_event(const harness_object *o, bool deleted)
{
    if (harness_event_count == HARNESS_EVENTS_MAX) {
        harness_dropped_revision = harness_events[0].revision;
        json_decref(harness_events[0].event);
        memmove(harness_events, harness_events + 1,
                sizeof(harness_events[0]) * (HARNESS_EVENTS_MAX - 1));
        harness_event_count--;
    }
    harness_event *e = &harness_events[harness_event_count++];
    e->revision = harness_revision;
    e->at_us = clock_now_us();
    snprintf(e->kind, sizeof(e->kind), "%s", o->kind);
    e->event = json_pack("{s:O,s:b}", "object", o->object, "deleted", deleted);
}

/* The slot of an object, or a free one. */
static harness_object *
harness_take_slot(const char *kind, const char *name)
{
    harness_object *o = harness_find_object(kind, name);
    for (int i = 0; o == NULL && i < HARNESS_OBJECTS_MAX; i++) {
        if (harness_objects[i].object == NULL) {
            o = &harness_objects[i];
            snprintf(o->kind, sizeof(o->kind), "%s", kind);
            snprintf(o->name, sizeof(o->name), "%s", name);
        }
    }
    return o;
}

/* Create or replace an object unconditionally. */
static harness_object *
harness_put_object(const char *kind, const char *name, json_t *spec)
{
    harness_object *o = harness_take_slot(kind, name);
    harness_revision++;
    json_decref(o->object);
    o->object =
        json_pack("{s:{s:s,s:I},s:O}", "metadata", "name", name, "revision",
                  (json_int_t)harness_revision, "spec", spec);
    harness_append_event(o, false);
    return o;
}

/* Keep a text that is served as it is; returns what stands for it. */
static json_t *
harness_add_raw_text(const char *text)
{
    char mark[32];
    g_ptr_array_add(harness_raw_texts, g_strdup(text));
    snprintf(mark, sizeof(mark), HARNESS_RAW_MARK, harness_raw_texts->len - 1);
    return json_string(mark);
}

/* Write an object as a client other than the nodes; `text` is the whole object
 * and is served as it is, whether it can be read or not. */
void
harness_store_put_raw(const char *kind, const char *name, const char *text)
{
    pthread_mutex_lock(&harness_lock);
    harness_object *o = harness_take_slot(kind, name);
    harness_revision++;
    json_decref(o->object);
    o->object = harness_add_raw_text(text);
    harness_append_event(o, false);
    pthread_mutex_unlock(&harness_lock);
}

/* The same for the spec of an object. */
void
harness_store_put_raw_spec(const char *kind, const char *name,
                           const char *text)
{
    pthread_mutex_lock(&harness_lock);
    json_t *spec = harness_add_raw_text(text);
    harness_put_object(kind, name, spec);
    json_decref(spec);
    pthread_mutex_unlock(&harness_lock);
}

/* Put the raw texts into a response where their marks stand. */
static char *
harness_insert_raw_texts(char *response)
{
    GString *text = g_string_new(response);
    free(response);
    pthread_mutex_lock(&harness_lock);
    for (guint i = 0; i < harness_raw_texts->len; i++) {
        char mark[32];
        snprintf(mark, sizeof(mark), "\"" HARNESS_RAW_MARK "\"", i);
        g_string_replace(text, mark, g_ptr_array_index(harness_raw_texts, i),
                         0);
    }
    pthread_mutex_unlock(&harness_lock);
    return g_string_free(text, FALSE);
}

/* Write an object as a client other than the nodes; `spec` is JSON. */
void
harness_store_put(const char *kind, const char *name, const char *spec)
{
    json_t *value = json_loads(spec, 0, NULL);
    pthread_mutex_lock(&harness_lock);
    harness_put_object(kind, name, value);
    pthread_mutex_unlock(&harness_lock);
    json_decref(value);
}

bool
harness_store_contains(const char *kind, const char *name)
{
    pthread_mutex_lock(&harness_lock);
    bool found = harness_find_object(kind, name) != NULL;
    pthread_mutex_unlock(&harness_lock);
    return found;
}

/* Whether the spec of an object, as compact JSON, contains a text. */
bool
harness_store_spec_contains(const char *kind, const char *name,
                            const char *text)
{
    pthread_mutex_lock(&harness_lock);
    const harness_object *o = harness_find_object(kind, name);
    char *spec = o == NULL ? NULL
                           : json_dumps(json_object_get(o->object, "spec"),
                                        JSON_COMPACT);
    bool found = spec != NULL && strstr(spec, text) != NULL;
    free(spec);
    pthread_mutex_unlock(&harness_lock);
    return found;
}

/* Write a desired state as the operator does; `routes` and `workspaces` are
 * JSON lists, the latter NULL if there are none. */
void
harness_publish_workspaces(int version, const char *routes,
                           const char *workspaces)
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
    if (workspaces != NULL) {
        json_object_set_new(spec, "tenants", json_loads(workspaces, 0, NULL));
    }
    pthread_mutex_lock(&harness_lock);
    harness_put_object("config", "main", spec);
    pthread_mutex_unlock(&harness_lock);
    json_decref(spec);
}

/* The same without workspaces. */
void
harness_publish_desired(int version, const char *routes)
{
    harness_publish_workspaces(version, routes, NULL);
}

/* Order of names; the arguments point to indexes of objects. */
static int
harness_compare_names(const void *a, const void *b)
{
    const int *left = a;
    const int *right = b;
    return strcmp(harness_objects[*left].name, harness_objects[*right].name);
}

/* The response to a list request: the objects of a kind by name. */
static json_t *
harness_list_objects(const char *kind)
{
    int objects[HARNESS_OBJECTS_MAX];
    size_t count = 0;
    json_t *items = json_array();
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        if (harness_objects[i].object != NULL &&
            strcmp(harness_objects[i].kind, kind) == 0) {
            objects[count++] = i;
        }
    }
    qsort(objects, count, sizeof(objects[0]), harness_compare_names);
    for (size_t i = 0; i < count; i++) {
        json_array_append(items, harness_objects[objects[i]].object);
    }
    return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                     "current_rev", (json_int_t)harness_revision);
}

/* The response to a watch: the events of a kind after a revision, up to
 * `until_us`. */
static json_t *
harness_list_events(const char *kind, long after, int64_t until_us)
{
    json_t *events = json_array();
    long revision = harness_revision;
    for (int i = 0; i < harness_event_count; i++) {
        const harness_event *e = &harness_events[i];
        if (e->at_us > until_us) {
            revision = e->revision - 1;
            break;
        }
        if (e->revision > after && strcmp(e->kind, kind) == 0) {
            json_array_append(events, e->event);
        }
    }
    return json_pack("{s:o,s:I}", "events", events, "current_rev",
                     (json_int_t)revision);
}

/* Wait up to 2 s for an event of a kind after a revision; ends early when the
 * store becomes unavailable. */
static json_t *
harness_wait_events(const char *kind, long after, bool stale)
{
    json_t *response = NULL;
    int waiting = harness_add_waiting(kind);
    for (int i = 0; i < HARNESS_WATCH_POLLS; i++) {
        json_decref(response);
        pthread_mutex_lock(&harness_lock);
        int64_t age_us = stale ? harness_stale_age_us() : 0;
        response = harness_list_events(kind, after, clock_now_us() - age_us);
        bool up = harness_current_store_mode == HARNESS_STORE_UP ||
                  harness_current_store_mode == HARNESS_STORE_LOSES_REPLY ||
                  harness_current_store_mode == HARNESS_STORE_MIXES_UP;
        pthread_mutex_unlock(&harness_lock);
        if (json_array_size(json_object_get(response, "events")) > 0 || !up) {
            break;
        }
        harness_sleep_ms(HARNESS_WATCH_POLL_MS);
    }
    harness_remove_waiting(waiting);
    return response;
}

/* Handle a POST or PUT.  Returns the status: 409 when the object exists (POST)
 * or has another revision than the request names, 404 when it does not exist
 * (PUT). */
static int
harness_write_object(json_t **out, const harness_request *request,
                     const char *kind, const char *path_name)
{
    json_t *body = json_loadb(request->body, request->length, 0, NULL);
    json_t *metadata = json_object_get(body, "metadata");
    const char *name =
        path_name[0] != '\0'
            ? path_name
            : json_string_value(json_object_get(metadata, "name"));
    json_t *revision = json_object_get(metadata, "revision");
    harness_object *o = harness_find_object(kind, name);
    int status = 200;
    harness_store_writes++;
    bool exists = strcmp(request->method, "POST") == 0 && o != NULL;
    bool conflict =
        o != NULL && json_is_integer(revision) &&
        json_integer_value(revision) !=
            json_integer_value(json_object_get(
                json_object_get(o->object, "metadata"), "revision"));
    if (exists || conflict) {
        status = 409;
    }
    else if (strcmp(request->method, "PUT") == 0 && o == NULL) {
        status = 404;
    }
    else {
        o = harness_put_object(kind, name, json_object_get(body, "spec"));
    }
    *out = o == NULL ? json_object() : json_incref(o->object);
    json_decref(body);
    return status;
}

static long
harness_object_revision(const harness_object *o)
{
    return (long)json_integer_value(
        json_object_get(json_object_get(o->object, "metadata"), "revision"));
}

/* Handle a DELETE.  Returns the status: 409 when the object has another
 * revision than the query names, 404 when it does not exist. */
static int
harness_delete_object(json_t **out, const char *path, const char *kind,
                      const char *name)
{
    harness_object *o = harness_find_object(kind, name);
    const char *condition = strstr(path, "revision=");
    *out = json_object();
    harness_store_writes++;
    if (o == NULL) {
        return 404;
    }
    if (condition != NULL && strtol(condition + strlen("revision="), NULL,
                                    10) != harness_object_revision(o)) {
        json_decref(*out);
        *out = json_incref(o->object);
        return 409;
    }
    harness_revision++;
    harness_append_event(o, true);
    json_decref(o->object);
    o->object = NULL;
    return 200;
}

/* Handle a request in HARNESS_STORE_UP mode.  Returns the status and puts the
 * body of the response into `out`. */
static int
harness_handle_store_request(json_t **out, const harness_request *request)
{
    char kind[32] = "";
    char name[64] = "";
    sscanf(request->path, "/api/objects/%31[^/?]/%63[^?]", kind, name);
    const char *watch = strstr(request->path, "watch=");
    if (strcmp(request->method, "GET") == 0 && watch != NULL) {
        long after = strtol(watch + strlen("watch="), NULL, 10);
        bool stale = strstr(request->path, "stale_ok=1") != NULL;
        *out = harness_wait_events(kind, after, stale);
        return after < harness_dropped_revision ? 410 : 200;
    }
    int status = 200;
    pthread_mutex_lock(&harness_lock);
    if (strcmp(request->method, "GET") == 0) {
        *out = harness_list_objects(kind);
    }
    else if (strcmp(request->method, "DELETE") == 0) {
        status = harness_delete_object(out, request->path, kind, name);
    }
    else {
        status = harness_write_object(out, request, kind, name);
    }
    pthread_mutex_unlock(&harness_lock);
    return status;
}

/* Count a request that arrives, whether it is answered or not. */
static void
harness_count_request(const harness_request *request)
{
    char kind[32] = "";
    pthread_mutex_lock(&harness_lock);
    harness_store_reads += strcmp(request->method, "GET") == 0;
    pthread_mutex_unlock(&harness_lock);
    if (strstr(request->path, "stale_ok=1") != NULL &&
        sscanf(request->path, "/api/objects/%31[^/?]", kind) == 1) {
        harness_count_stale_read(kind);
    }
}

/* Serve a connection to the store according to its mode. */
void
harness_serve_store(int fd, int index)
{
    (void)index;
    harness_request request;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    while (harness_read_request(&request, fd)) {
        pthread_mutex_lock(&harness_lock);
        enum harness_store_mode mode = harness_current_store_mode;
        pthread_mutex_unlock(&harness_lock);
        harness_count_request(&request);
        if (mode == HARNESS_STORE_HANGS) {
            continue;
        }
        json_t *response = NULL;
        int status = mode == HARNESS_STORE_UNAVAILABLE ? 503 : 0;
        if (mode == HARNESS_STORE_MIXES_UP &&
            strcmp(request.method, "GET") != 0) {
            status = 200;
            response = json_pack("{s:[],s:i}", "events", "current_rev", 1);
        }
        if (status == 0) {
            status = harness_handle_store_request(&response, &request);
        }
        if (mode == HARNESS_STORE_LOSES_REPLY &&
            strcmp(request.method, "GET") != 0) {
            json_decref(response);
            break; /* applied; closing without a response */
        }
        char *text = harness_insert_raw_texts(
            response == NULL ? strdup("{}")
                             : json_dumps(response, JSON_ENCODE_ANY));
        harness_write_response(fd, status,
                               "Content-Type: application/json\r\n", text,
                               strlen(text));
        free(text);
        json_decref(response);
    }
    free(request.body);
}
