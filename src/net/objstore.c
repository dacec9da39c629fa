#include "lav/objstore.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/http_sync.h"

#define OBJSTORE_TIMEOUT_S 2
#define OBJSTORE_PATH_SIZE 256
#define OBJSTORE_STATUS_OK 200
#define OBJSTORE_STATUS_NOT_MODIFIED 304
#define OBJSTORE_STATUS_NOT_FOUND 404
#define OBJSTORE_STATUS_CONFLICT 412

struct objstore {
    http_sync_client *client;
};

/* Make a client of the platform at "http://address:port". */
int
objstore_new(objstore **out, const char *url, err *e)
{
    objstore *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "platform client");
    }
    int result = http_sync_new(&p->client, url, e);
    if (result < 0) {
        free(p);
        return result;
    }
    *out = p;
    return 0;
}

/* Release the client; takes NULL. */
void
objstore_free(objstore *p)
{
    if (p != NULL) {
        http_sync_free(p->client);
        free(p);
    }
}

static uint64_t
objstore_version(const char *etag)
{
    uint64_t version = 0;
    if (sscanf(etag, "\"%" SCNu64 "\"", &version) != 1) {
        return 0;
    }
    return version;
}

static int
objstore_exchange(http_sync_response *answer, objstore *p,
                  const http_sync_request *request, err *e)
{
    bool reads = strcmp(request->method, "GET") == 0;
    counter_add(reads ? COUNTER_PLATFORM_READS : COUNTER_PLATFORM_WRITES, 1);
    int result = http_sync_perform(answer, p->client, request, e);
    if (result == 0 && answer->status >= 500) {
        result = ERR_SET(e, reads ? ERR_UNAVAILABLE : ERR_UNKNOWN,
                         "the platform answers %d", answer->status);
    }
    if (result < 0) {
        counter_add(COUNTER_PLATFORM_FAILED, 1);
    }
    return result;
}

static int
objstore_read(objstore_object *out, objstore *p, const char *path,
              int timeout_s, err *e)
{
    http_sync_response answer;
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = timeout_s,
                                 .response_body_bytes_max =
                                     OBJSTORE_VALUE_BYTES_MAX};
    memset(out, 0, sizeof(*out));
    int result = objstore_exchange(&answer, p, &request, e);
    if (result < 0) {
        goto done;
    }
    if (answer.status == OBJSTORE_STATUS_NOT_FOUND ||
        answer.status == OBJSTORE_STATUS_NOT_MODIFIED) {
        result = ERR_SET(e, ERR_NOT_FOUND, "nothing new at %s", path);
        goto done;
    }
    out->version = objstore_version(answer.etag);
    if (answer.status != OBJSTORE_STATUS_OK || out->version == 0) {
        result = ERR_SET(e, ERR_INVALID, "the platform answers %d for %s",
                         answer.status, path);
        goto done;
    }
    out->value = answer.body;
    out->length = answer.length;
    answer.body = NULL;
done:
    http_sync_response_clear(&answer);
    return result;
}

/* Read an object; ERR_NOT_FOUND where there is none. */
int
objstore_get(objstore_object *out, objstore *p, const char *key, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    return objstore_read(out, p, path, OBJSTORE_TIMEOUT_S, e);
}

/* Wait up to `wait_ms` for a version newer than `after`; ERR_NOT_FOUND
 * where there is none by then. */
int
objstore_watch(objstore_object *out, objstore *p, const char *key,
               uint64_t after, int64_t wait_ms, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s?after=%" PRIu64 "&wait=%" PRId64,
             key, after, wait_ms);
    int timeout_s = OBJSTORE_TIMEOUT_S + (int)(wait_ms / CLOCK_MS_PER_S);
    return objstore_read(out, p, path, timeout_s, e);
}

static int
objstore_write(uint64_t *out_version, objstore *p, http_sync_request *request,
               uint64_t expected, err *e)
{
    char match[32];
    http_sync_response answer;
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", expected);
    if (expected == OBJSTORE_VERSION_ABSENT) {
        request->headers[0] = (http_sync_header){"If-None-Match", "*"};
    }
    else {
        request->headers[0] = (http_sync_header){"If-Match", match};
    }
    int result = objstore_exchange(&answer, p, request, e);
    request->headers[0] = (http_sync_header){NULL, NULL};
    if (result == 0 && answer.status == OBJSTORE_STATUS_CONFLICT) {
        result = ERR_SET(e, ERR_CONFLICT, "the version is %" PRIu64 " now",
                         objstore_version(answer.etag));
    }
    else if (result == 0 && answer.status == OBJSTORE_STATUS_NOT_FOUND) {
        result = ERR_SET(e, ERR_NOT_FOUND, "no object at %s", request->path);
    }
    else if (result == 0 && answer.status != OBJSTORE_STATUS_OK) {
        result = ERR_SET(e, ERR_INVALID, "the platform answers %d for %s",
                         answer.status, request->path);
    }
    if (result == 0 && out_version != NULL) {
        *out_version = objstore_version(answer.etag);
    }
    http_sync_response_clear(&answer);
    return result;
}

/* Write an object if its version is `expected` (OBJSTORE_VERSION_ABSENT: if there is
 * none).  ERR_CONFLICT: it is another.  ERR_UNKNOWN: read it back. */
int
objstore_put(uint64_t *out_version, objstore *p, const char *key,
             const char *value, size_t length, uint64_t expected, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    http_sync_request request = {.method = "PUT",
                                 .path = path,
                                 .content_type = "application/octet-stream",
                                 .body = value,
                                 .length = length,
                                 .may_resend = false,
                                 .timeout_s = OBJSTORE_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     OBJSTORE_VALUE_BYTES_MAX};
    return objstore_write(out_version, p, &request, expected, e);
}

/* Delete an object if its version is `version`. */
int
objstore_delete(objstore *p, const char *key, uint64_t version, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    http_sync_request request = {.method = "DELETE",
                                 .path = path,
                                 .may_resend = false,
                                 .timeout_s = OBJSTORE_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     OBJSTORE_VALUE_BYTES_MAX};
    return objstore_write(NULL, p, &request, version, e);
}

static int
objstore_list_items(const char *text, objstore_list_cb callback, void *payload,
                    err *e)
{
    json_t *list = json_loads(text, 0, NULL);
    if (!json_is_array(list)) {
        json_decref(list);
        return ERR_SET(e, ERR_INVALID, "the platform's list is not JSON");
    }
    int result = 0;
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        const char *key = json_string_value(json_object_get(item, "key"));
        const char *value = json_string_value(json_object_get(item, "value"));
        uint64_t version =
            (uint64_t)json_integer_value(json_object_get(item, "version"));
        if (key == NULL || value == NULL) {
            continue;
        }
        result = callback(key, version, value, payload);
        if (result < 0) {
            break;
        }
    }
    json_decref(list);
    return result;
}

/* Call back for each object whose key begins with `prefix`; the values are
 * text.  Stops at the first negative result and returns it. */
int
objstore_list(objstore *p, const char *prefix, objstore_list_cb callback,
              void *payload, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    http_sync_response answer;
    snprintf(path, sizeof(path), "/list/%s", prefix);
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = OBJSTORE_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     OBJSTORE_LIST_BYTES_MAX};
    int result = objstore_exchange(&answer, p, &request, e);
    if (result == 0 && answer.status != OBJSTORE_STATUS_OK) {
        result =
            ERR_SET(e, ERR_INVALID, "the platform answers %d", answer.status);
    }
    if (result == 0) {
        result = objstore_list_items(answer.body, callback, payload, e);
    }
    http_sync_response_clear(&answer);
    return result;
}

/* Release an object's value. */
void
objstore_object_clear(objstore_object *object)
{
    free(object->value);
    object->value = NULL;
    object->length = 0;
}
