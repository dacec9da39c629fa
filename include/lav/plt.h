/*
 * plt: client of the platform's object API over HTTP.
 *
 *   GET    /objects/KEY                200 body, ETag "VERSION"; 404
 *   GET    /objects/KEY?after=V&wait=MS   as above once it is newer; 304
 *   PUT    /objects/KEY  If-Match: "V" | If-None-Match: *   200; 412
 *   DELETE /objects/KEY  If-Match: "V"                      200; 412
 *   GET    /list/PREFIX                200 JSON [{key, version, value}]
 *
 * A write whose answer was lost is ERR_UNKNOWN; its caller reads back.
 */
#ifndef LAV_PLT_H
#define LAV_PLT_H

#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLT_VALUE_MAX (1024 * 1024)    /* bytes of one object */
#define PLT_LIST_MAX (4 * 1024 * 1024) /* bytes of one list */
#define PLT_CREATE 0 /* expected version: the object must not be there */

typedef struct plt plt;

typedef struct plt_object {
    uint64_t version;
    size_t length;
    char *value; /* owned; NUL after the last byte */
} plt_object;

typedef int (*plt_list_cb)(const char *key, uint64_t version,
                           const char *value, void *payload);

int plt_new(plt **out, const char *url, err *e);
void plt_free(plt *p);
int plt_get(plt_object *out, plt *p, const char *key, err *e);
int plt_watch(plt_object *out, plt *p, const char *key, uint64_t after,
              int64_t wait_ms, err *e);
int plt_put(uint64_t *out_version, plt *p, const char *key, const char *value,
            size_t length, uint64_t expected, err *e);
int plt_delete(plt *p, const char *key, uint64_t version, err *e);
int plt_list(plt *p, const char *prefix, plt_list_cb callback, void *payload,
             err *e);
void plt_object_clear(plt_object *object);

#ifdef __cplusplus
}
#endif

#endif
