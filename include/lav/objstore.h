/*
 * objstore: blocking client of the platform's object store, over HTTP.
 *
 *   GET    /objects/KEY                200 body, ETag "VERSION"; 404
 *   GET    /objects/KEY?after=V&wait=MS   long poll for a newer version; 304
 *   PUT    /objects/KEY  If-Match: "V" | If-None-Match: *   200; 412
 *   DELETE /objects/KEY  If-Match: "V"                      200; 412
 *   GET    /list/PREFIX                200 JSON [{key, version, value}]
 *
 * A write whose response was lost returns ERR_UNKNOWN; the caller has to read
 * the object back.
 */
#ifndef LAV_OBJSTORE_H
#define LAV_OBJSTORE_H

#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OBJSTORE_VALUE_BYTES_MAX (1024 * 1024)    /* of one object */
#define OBJSTORE_LIST_BYTES_MAX (4 * 1024 * 1024) /* of a list response */
#define OBJSTORE_VERSION_ABSENT 0 /* expected version: no such object */

typedef struct objstore objstore;

typedef struct objstore_object {
    uint64_t version;
    size_t length; /* bytes of the value */
    char *value;   /* owned; NUL after the last byte */
} objstore_object;

typedef int (*objstore_list_cb)(const char *key, uint64_t version,
                                const char *value, void *payload);

int objstore_new(objstore **out, const char *url, err *e);
void objstore_free(objstore *store);
int objstore_get(objstore_object *out, objstore *store, const char *key,
                 err *e);
int objstore_watch(objstore_object *out, objstore *store, const char *key,
                   uint64_t after, int64_t wait_ms, err *e);
int objstore_put(uint64_t *out_version, objstore *store, const char *key,
                 const char *value, size_t length, uint64_t expected, err *e);
int objstore_delete(objstore *store, const char *key, uint64_t version,
                    err *e);
int objstore_list(objstore *store, const char *prefix,
                  objstore_list_cb callback, void *payload, err *e);
void objstore_object_clear(objstore_object *object);

#ifdef __cplusplus
}
#endif

#endif
