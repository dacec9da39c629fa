#include "lav/plt.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clk.h"
#include "lav/ctr.h"
#include "lav/htc.h"

#define PLT_TIMEOUT_S 2
#define PLT_PATH_SIZE 256
#define PLT_STATUS_OK 200
#define PLT_STATUS_NOT_MODIFIED 304
#define PLT_STATUS_NOT_FOUND 404
#define PLT_STATUS_CONFLICT 412

struct plt {
    htc *client;
};

/* Make a client of the platform at "http://address:port". */
int
plt_new(plt **out, const char *url, err *e)
{
    plt *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "platform client");
    }
    int result = htc_new(&p->client, url, e);
    if (result < 0) {
        free(p);
        return result;
    }
    *out = p;
    return 0;
}

/* Release the client; takes NULL. */
void
plt_free(plt *p)
{
    if (p != NULL) {
        htc_free(p->client);
        free(p);
    }
}

static uint64_t
plt_version(const char *etag)
{
    uint64_t version = 0;
    if (sscanf(etag, "\"%" SCNu64 "\"", &version) != 1) {
        return 0;
    }
    return version;
}

static int
plt_exchange(htc_answer *answer, plt *p, const htc_request *request, err *e)
{
    bool reads = strcmp(request->method, "GET") == 0;
    ctr_add(reads ? CTR_PLATFORM_READS : CTR_PLATFORM_WRITES, 1);
    int result = htc_exchange(answer, p->client, request, e);
    if (result == 0 && answer->status >= 500) {
        result = ERR_SET(e, reads ? ERR_UNAVAILABLE : ERR_UNKNOWN,
                         "the platform answers %d", answer->status);
    }
    if (result < 0) {
        ctr_add(CTR_PLATFORM_FAILED, 1);
    }
    return result;
}

static int
plt_read(plt_object *out, plt *p, const char *path, int timeout_s, err *e)
{
    htc_answer answer;
    htc_request request = {.method = "GET",
                           .path = path,
                           .may_resend = true,
                           .timeout_s = timeout_s,
                           .answer_max = PLT_VALUE_MAX};
    memset(out, 0, sizeof(*out));
    int result = plt_exchange(&answer, p, &request, e);
    if (result < 0) {
        goto done;
    }
    if (answer.status == PLT_STATUS_NOT_FOUND ||
        answer.status == PLT_STATUS_NOT_MODIFIED) {
        result = ERR_SET(e, ERR_NOT_FOUND, "nothing new at %s", path);
        goto done;
    }
    out->version = plt_version(answer.etag);
    if (answer.status != PLT_STATUS_OK || out->version == 0) {
        result = ERR_SET(e, ERR_INVALID, "the platform answers %d for %s",
                         answer.status, path);
        goto done;
    }
    out->value = answer.body;
    out->length = answer.length;
    answer.body = NULL;
done:
    htc_answer_clear(&answer);
    return result;
}

/* Read an object; ERR_NOT_FOUND where there is none. */
int
plt_get(plt_object *out, plt *p, const char *key, err *e)
{
    char path[PLT_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    return plt_read(out, p, path, PLT_TIMEOUT_S, e);
}

/* Wait up to `wait_ms` for a version newer than `after`; ERR_NOT_FOUND
 * where there is none by then. */
int
plt_watch(plt_object *out, plt *p, const char *key, uint64_t after,
          int64_t wait_ms, err *e)
{
    char path[PLT_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s?after=%" PRIu64 "&wait=%" PRId64,
             key, after, wait_ms);
    int timeout_s = PLT_TIMEOUT_S + (int)(wait_ms / CLK_MS_PER_S);
    return plt_read(out, p, path, timeout_s, e);
}

static int
plt_write(uint64_t *out_version, plt *p, htc_request *request,
          uint64_t expected, err *e)
{
    char match[32];
    htc_answer answer;
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", expected);
    if (expected == PLT_CREATE) {
        request->headers[0] = (htc_header){"If-None-Match", "*"};
    }
    else {
        request->headers[0] = (htc_header){"If-Match", match};
    }
    int result = plt_exchange(&answer, p, request, e);
    request->headers[0] = (htc_header){NULL, NULL};
    if (result == 0 && answer.status == PLT_STATUS_CONFLICT) {
        result = ERR_SET(e, ERR_CONFLICT, "the version is %" PRIu64 " now",
                         plt_version(answer.etag));
    }
    else if (result == 0 && answer.status == PLT_STATUS_NOT_FOUND) {
        result = ERR_SET(e, ERR_NOT_FOUND, "no object at %s", request->path);
    }
    else if (result == 0 && answer.status != PLT_STATUS_OK) {
        result = ERR_SET(e, ERR_INVALID, "the platform answers %d for %s",
                         answer.status, request->path);
    }
    if (result == 0 && out_version != NULL) {
        *out_version = plt_version(answer.etag);
    }
    htc_answer_clear(&answer);
    return result;
}

/* Write an object if its version is `expected` (PLT_CREATE: if there is
 * none).  ERR_CONFLICT: it is another.  ERR_UNKNOWN: read it back. */
int
plt_put(uint64_t *out_version, plt *p, const char *key, const char *value,
        size_t length, uint64_t expected, err *e)
{
    char path[PLT_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    htc_request request = {.method = "PUT",
                           .path = path,
                           .content_type = "application/octet-stream",
                           .body = value,
                           .length = length,
                           .may_resend = false,
                           .timeout_s = PLT_TIMEOUT_S,
                           .answer_max = PLT_VALUE_MAX};
    return plt_write(out_version, p, &request, expected, e);
}

/* Delete an object if its version is `version`. */
int
plt_delete(plt *p, const char *key, uint64_t version, err *e)
{
    char path[PLT_PATH_SIZE];
    snprintf(path, sizeof(path), "/objects/%s", key);
    htc_request request = {.method = "DELETE",
                           .path = path,
                           .may_resend = false,
                           .timeout_s = PLT_TIMEOUT_S,
                           .answer_max = PLT_VALUE_MAX};
    return plt_write(NULL, p, &request, version, e);
}

static int
plt_list_items(const char *text, plt_list_cb callback, void *payload, err *e)
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
plt_list(plt *p, const char *prefix, plt_list_cb callback, void *payload,
         err *e)
{
    char path[PLT_PATH_SIZE];
    htc_answer answer;
    snprintf(path, sizeof(path), "/list/%s", prefix);
    htc_request request = {.method = "GET",
                           .path = path,
                           .may_resend = true,
                           .timeout_s = PLT_TIMEOUT_S,
                           .answer_max = PLT_LIST_MAX};
    int result = plt_exchange(&answer, p, &request, e);
    if (result == 0 && answer.status != PLT_STATUS_OK) {
        result =
            ERR_SET(e, ERR_INVALID, "the platform answers %d", answer.status);
    }
    if (result == 0) {
        result = plt_list_items(answer.body, callback, payload, e);
    }
    htc_answer_clear(&answer);
    return result;
}

/* Release an object's value. */
void
plt_object_clear(plt_object *object)
{
    free(object->value);
    object->value = NULL;
    object->length = 0;
}
