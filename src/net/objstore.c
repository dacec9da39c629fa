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
#define OBJSTORE_STATUS_PRECONDITION_FAILED 412

struct objstore {
    http_sync_client *client;
};

/* Create a client for the platform at "http://address:port". */
int
objstore_new(objstore **out, const char *url, err *e)
{
    objstore *store = calloc(1, sizeof(*store));
    if (store == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "platform client");
    }
    int result = http_sync_new(&store->client, url, e);
    if (result < 0) {
        free(store);
        return result;
    }
    *out = store;
    return 0;
}

/* Free the client; NULL is ignored. */
void
objstore_free(objstore *store)
{
    if (store != NULL) {
        http_sync_free(store->client);
        free(store);
    }
}

/* Version in an ETag header; 0 if it is malformed. */
static uint64_t
objstore_parse_etag(const char *etag)
{
    uint64_t version = 0;
    if (sscanf(etag, "\"%" SCNu64 "\"", &version) != 1) {
        return 0;
    }
    return version;
}

/* Send a request and count it.  A status of 500 or above is ERR_UNAVAILABLE
 * for a read and ERR_UNKNOWN for a write. */
static int
objstore_exchange(http_sync_response *response, objstore *store,
                  const http_sync_request *request, err *e)
{
    bool is_read = strcmp(request->method, "GET") == 0;
    counter_add(is_read ? COUNTER_PLATFORM_READS : COUNTER_PLATFORM_WRITES, 1);
    int result = http_sync_perform(response, store->client, request, e);
    if (result == 0 && response->status >= 500) {
        result = ERR_SET(e, is_read ? ERR_UNAVAILABLE : ERR_UNKNOWN,
                         "the platform returned status %d", response->status);
    }
    if (result < 0) {
        counter_add(COUNTER_PLATFORM_FAILED, 1);
    }
    return result;
}

/* Get the object at a path.  ERR_NOT_FOUND: no such object, or no newer
 * version. */
static int
objstore_read(objstore_object *out, objstore *store, const char *path,
              int timeout_s, err *e)
{
    http_sync_response response;
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = timeout_s,
                                 .response_body_bytes_max =
                                     OBJSTORE_VALUE_BYTES_MAX};
    memset(out, 0, sizeof(*out));
    int result = objstore_exchange(&response, store, &request, e);
    if (result < 0) {
        goto done;
    }
    if (response.status == OBJSTORE_STATUS_NOT_FOUND ||
        response.status == OBJSTORE_STATUS_NOT_MODIFIED) {
        result = ERR_SET(e, ERR_NOT_FOUND,
                         "no object or no newer version at %s", path);
        goto done;
    }
    out->version = objstore_parse_etag(response.etag);
    if (response.status != OBJSTORE_STATUS_OK || out->version == 0) {
        result =
            ERR_SET(e, ERR_INVALID, "the platform returned status %d for %s",
                    response.status, path);
        goto done;
    }
    out->value = response.body;
    out->length = response.length;
    response.body = NULL;
done:
    http_sync_response_clear(&response);
    return result;
}

/* Get an object; ERR_NOT_FOUND if there is none. */
int
objstore_get(objstore_object *out, objstore *store, const char *key, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    return objstore_read(out, store, path, OBJSTORE_TIMEOUT_S, e);
}

/* Wait up to `wait_ms` milliseconds for a version newer than `after`;
 * ERR_NOT_FOUND if there is none by then. */
int
objstore_watch(objstore_object *out, objstore *store, const char *key,
               uint64_t after, int64_t wait_ms, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s?after=%" PRIu64 "&wait=%" PRId64,
             key, after, wait_ms);
    int timeout_s = OBJSTORE_TIMEOUT_S + (int)(wait_ms / CLOCK_MS_PER_S);
    return objstore_read(out, store, path, timeout_s, e);
}

/* Send a conditional PUT or DELETE.  ERR_CONFLICT: the version is not
 * `expected`. */
static int
objstore_write(uint64_t *out_version, objstore *store,
               http_sync_request *request, uint64_t expected, err *e)
{
    char etag[32];
    http_sync_response response;
    snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", expected);
    if (expected == OBJSTORE_VERSION_ABSENT) {
        request->headers[0] = (http_sync_header){"If-None-Match", "*"};
    }
    else {
        request->headers[0] = (http_sync_header){"If-Match", etag};
    }
    int result = objstore_exchange(&response, store, request, e);
    request->headers[0] = (http_sync_header){NULL, NULL};
    if (result == 0 &&
        response.status == OBJSTORE_STATUS_PRECONDITION_FAILED) {
        result = ERR_SET(e, ERR_CONFLICT, "the current version is %" PRIu64,
                         objstore_parse_etag(response.etag));
    }
    else if (result == 0 && response.status == OBJSTORE_STATUS_NOT_FOUND) {
        result = ERR_SET(e, ERR_NOT_FOUND, "no object at %s", request->path);
    }
    else if (result == 0 && response.status != OBJSTORE_STATUS_OK) {
        result =
            ERR_SET(e, ERR_INVALID, "the platform returned status %d for %s",
                    response.status, request->path);
    }
    if (result == 0 && out_version != NULL) {
        *out_version = objstore_parse_etag(response.etag);
    }
    http_sync_response_clear(&response);
    return result;
}

/* Write an object if its version is `expected`, or if there is none and
 * `expected` is OBJSTORE_VERSION_ABSENT.  ERR_CONFLICT: the version differs.
 * ERR_UNKNOWN: the write may have happened; read the object back. */
int
objstore_put(uint64_t *out_version, objstore *store, const char *key,
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
    return objstore_write(out_version, store, &request, expected, e);
}

/* Delete an object if its version is `version`; errors as objstore_put(). */
int
objstore_delete(objstore *store, const char *key, uint64_t version, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    http_sync_request request = {.method = "DELETE",
                                 .path = path,
                                 .may_resend = false,
                                 .timeout_s = OBJSTORE_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     OBJSTORE_VALUE_BYTES_MAX};
    return objstore_write(NULL, store, &request, version, e);
}

/* Call `callback` for each item of a JSON list; items without a key or a text
 * value are skipped. */
static int
objstore_list_items(const char *text, objstore_list_cb callback, void *payload,
                    err *e)
{
    json_t *list = json_loads(text, 0, NULL);
    if (!json_is_array(list)) {
        json_decref(list);
        return ERR_SET(e, ERR_INVALID,
                       "the platform's list is not a JSON array");
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

/* Call `callback` for each object whose key begins with `prefix`; the values
 * must be text.  Stops at the first negative result and returns it. */
int
objstore_list(objstore *store, const char *prefix, objstore_list_cb callback,
              void *payload, err *e)
{
    char path[OBJSTORE_PATH_SIZE];
    http_sync_response response;
    snprintf(path, sizeof(path), "/list/%s", prefix);
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = OBJSTORE_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     OBJSTORE_LIST_BYTES_MAX};
    int result = objstore_exchange(&response, store, &request, e);
    if (result == 0 && response.status != OBJSTORE_STATUS_OK) {
        result = ERR_SET(e, ERR_INVALID, "the platform returned status %d",
                         response.status);
    }
    if (result == 0) {
        result = objstore_list_items(response.body, callback, payload, e);
    }
    http_sync_response_clear(&response);
    return result;
}

/* Free the value of an object. */
void
objstore_object_clear(objstore_object *object)
{
    free(object->value);
    object->value = NULL;
    object->length = 0;
}
