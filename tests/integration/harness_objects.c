/* What the stand-in of the platform's store holds. */
#include "harness_objects.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"

#define HARNESS_OBJECTS_MAX 512
#define HARNESS_EVENTS_MAX 1024 /* older ones are dropped */

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

/* What a restore brings back. */
static harness_object harness_copy_objects[HARNESS_OBJECTS_MAX];
static long harness_copy_revision; /* 0: there is no copy */
static int harness_era;            /* rises with each restore */
static bool harness_era_named;     /* responses name the era */

/* Drop the copy of the objects. */
static void
harness_drop_copy(void)
{
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        json_decref(harness_copy_objects[i].object);
        harness_copy_objects[i].object = NULL;
    }
    harness_copy_revision = 0;
}

/* Keep a copy of the store as it is now, for harness_store_restore(). */
void
harness_store_copy(void)
{
    pthread_mutex_lock(&harness_lock);
    harness_drop_copy();
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        harness_copy_objects[i] = harness_objects[i];
        json_incref(harness_copy_objects[i].object);
    }
    harness_copy_revision = harness_revision;
    pthread_mutex_unlock(&harness_lock);
}

/* Go back to the copy: later changes are lost, and their revisions will be
 * given out again. */
void
harness_store_restore(void)
{
    pthread_mutex_lock(&harness_lock);
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        json_decref(harness_objects[i].object);
        harness_objects[i] = harness_copy_objects[i];
        json_incref(harness_objects[i].object);
    }
    while (harness_event_count > 0 &&
           harness_events[harness_event_count - 1].revision >
               harness_copy_revision) {
        json_decref(harness_events[--harness_event_count].event);
    }
    harness_revision = harness_copy_revision;
    harness_era++;
    pthread_mutex_unlock(&harness_lock);
}

/* Set whether responses name the era; they do from the start. */
void
harness_store_name_era(bool named)
{
    pthread_mutex_lock(&harness_lock);
    harness_era_named = named;
    pthread_mutex_unlock(&harness_lock);
}

/* Write the header line of the era; empty if it isn't named. */
void
harness_format_era(char *out, size_t size)
{
    out[0] = '\0';
    if (harness_era_named) {
        snprintf(out, size, "Store-Era: %d\r\n", harness_era);
    }
}

/* Drop all objects and events; revisions continue from the last one. */
void
harness_objects_reset(void)
{
    for (int i = 0; i < HARNESS_OBJECTS_MAX; i++) {
        json_decref(harness_objects[i].object);
        harness_objects[i].object = NULL;
    }
    for (int i = 0; i < harness_event_count; i++) {
        json_decref(harness_events[i].event);
    }
    harness_event_count = 0;
    harness_drop_copy();
    harness_era = 0;
    harness_era_named = true;
    if (harness_raw_texts == NULL) {
        harness_raw_texts = g_ptr_array_new_with_free_func(g_free);
    }
}

harness_object *
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
harness_object *
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

/* Delete an object. */
void
harness_remove_object(harness_object *o)
{
    harness_revision++;
    harness_append_event(o, true);
    json_decref(o->object);
    o->object = NULL;
}

long
harness_object_revision(const harness_object *o)
{
    return (long)json_integer_value(
        json_object_get(json_object_get(o->object, "metadata"), "revision"));
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
char *
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
json_t *
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
json_t *
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

/* Whether the store has a revision and the events after it. */
bool
harness_has_history(long after)
{
    return after >= harness_dropped_revision && after <= harness_revision;
}
