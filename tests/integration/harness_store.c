/* The stand-in of the platform's store: conditional writes, and watches as long
 * polls. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_objects.h"
#include "lav/clock.h"

#define HARNESS_UNANSWERED 0 /* in place of a status */
#define HARNESS_WATCH_POLLS 200
#define HARNESS_WATCH_POLL_MS 10

/* A response to a request. */
typedef struct harness_answer {
    int status;
    json_t *body; /* NULL: empty */
    char era[32]; /* header line, or empty */
} harness_answer;

static int harness_store_writes;
static int harness_store_reads;
static enum harness_store_mode harness_current_store_mode;
static char harness_lost_kind[32]; /* whose polls were lost last */
static int harness_lost_polls;     /* how often polls were lost */

/* The polls of a kind that wait now are never answered: their connections have
 * fallen silent.  Later requests are answered. */
void
harness_store_lose_polls(const char *kind)
{
    pthread_mutex_lock(&harness_lock);
    snprintf(harness_lost_kind, sizeof(harness_lost_kind), "%s", kind);
    harness_lost_polls++;
    pthread_mutex_unlock(&harness_lock);
}

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
    harness_objects_reset();
    harness_current_store_mode = HARNESS_STORE_UP;
    harness_store_writes = 0;
    harness_reset_stale_reads();
}

/* Wait up to 2 s for an event of a kind after a revision; ends early when the
 * store becomes unavailable or doesn't have the revision. */
static void
harness_wait_events(harness_answer *out, const char *kind, long after,
                    bool stale)
{
    int waiting = harness_add_waiting(kind);
    pthread_mutex_lock(&harness_lock);
    int lost_before = harness_lost_polls;
    pthread_mutex_unlock(&harness_lock);
    for (int i = 0; i < HARNESS_WATCH_POLLS; i++) {
        json_decref(out->body);
        pthread_mutex_lock(&harness_lock);
        int64_t age_us = stale ? harness_stale_age_us() : 0;
        out->body = harness_list_events(kind, after, clock_now_us() - age_us);
        out->status = harness_has_history(after) ? 200 : 410;
        harness_format_era(out->era, sizeof(out->era));
        bool up = harness_current_store_mode == HARNESS_STORE_UP ||
                  harness_current_store_mode == HARNESS_STORE_LOSES_REPLY ||
                  harness_current_store_mode == HARNESS_STORE_MIXES_UP;
        bool lost = harness_lost_polls != lost_before &&
                    strcmp(harness_lost_kind, kind) == 0;
        pthread_mutex_unlock(&harness_lock);
        if (lost) {
            out->status = HARNESS_UNANSWERED;
            break;
        }
        if (json_array_size(json_object_get(out->body, "events")) > 0 || !up ||
            out->status != 200) {
            break;
        }
        harness_sleep_ms(HARNESS_WATCH_POLL_MS);
    }
    harness_remove_waiting(waiting);
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
    harness_remove_object(o);
    return 200;
}

/* Handle a request in HARNESS_STORE_UP mode. */
static void
harness_handle_store_request(harness_answer *out,
                             const harness_request *request)
{
    char kind[32] = "";
    char name[64] = "";
    sscanf(request->path, "/api/objects/%31[^/?]/%63[^?]", kind, name);
    const char *watch = strstr(request->path, "watch=");
    if (strcmp(request->method, "GET") == 0 && watch != NULL) {
        long after = strtol(watch + strlen("watch="), NULL, 10);
        bool stale = strstr(request->path, "stale_ok=1") != NULL;
        harness_wait_events(out, kind, after, stale);
        return;
    }
    pthread_mutex_lock(&harness_lock);
    out->status = 200;
    if (strcmp(request->method, "GET") == 0) {
        out->body = harness_list_objects(kind);
    }
    else if (strcmp(request->method, "DELETE") == 0) {
        out->status =
            harness_delete_object(&out->body, request->path, kind, name);
    }
    else {
        out->status = harness_write_object(&out->body, request, kind, name);
    }
    harness_format_era(out->era, sizeof(out->era));
    pthread_mutex_unlock(&harness_lock);
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
        harness_answer answer = {0};
        if (mode == HARNESS_STORE_UNAVAILABLE) {
            answer.status = 503;
            pthread_mutex_lock(&harness_lock);
            harness_format_era(answer.era, sizeof(answer.era));
            pthread_mutex_unlock(&harness_lock);
        }
        else if (mode == HARNESS_STORE_MIXES_UP &&
                 strcmp(request.method, "GET") != 0) {
            answer.status = 200;
            answer.body = json_pack("{s:[],s:i}", "events", "current_rev", 1);
        }
        else {
            harness_handle_store_request(&answer, &request);
        }
        if (answer.status == HARNESS_UNANSWERED) {
            json_decref(answer.body);
            continue;
        }
        if (mode == HARNESS_STORE_LOSES_REPLY &&
            strcmp(request.method, "GET") != 0) {
            json_decref(answer.body);
            break; /* applied; closing without a response */
        }
        char headers[128];
        snprintf(headers, sizeof(headers),
                 "Content-Type: application/json\r\n%s", answer.era);
        char *text = harness_insert_raw_texts(
            answer.body == NULL ? strdup("{}")
                                : json_dumps(answer.body, JSON_ENCODE_ANY));
        harness_write_response(fd, answer.status, headers, text, strlen(text));
        free(text);
        json_decref(answer.body);
    }
    free(request.body);
}
