/*
 * cfg: the configuration on the platform.  The object "config/head" lists
 * for each service the hash of its file; the files lie beside it, each under
 * its hash, and are never changed.  A configuration is accepted when the
 * head is written, and its version is the head's.
 *
 *   config/head         {"publish": "NONCE", "files": {"ordering": "HASH"}}
 *   config/file/HASH    the file's text
 */
#ifndef LAV_MANIFEST_H
#define LAV_MANIFEST_H

#include <stddef.h>

#include "lav/err.h"
#include "lav/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MANIFEST_KEY "config/head"
#define MANIFEST_FILE_KEY_PREFIX "config/file/"
#define MANIFEST_HASH_SIZE 33  /* bytes, with the closing NUL */
#define MANIFEST_NONCE_SIZE 33 /* bytes, with the closing NUL */

typedef struct manifest_entry {
    char service[SVC_NAME_SIZE];
    char hash[MANIFEST_HASH_SIZE];
} manifest_entry;

typedef struct manifest {
    char publish[MANIFEST_NONCE_SIZE]; /* tells who wrote this version */
    size_t count;
    manifest_entry files[CATALOG_SERVICES_MAX];
} manifest;

/* Gets the text of a file by its hash; the caller frees it. */
typedef int (*manifest_fetch_cb)(char **out, const char *hash, err *e,
                                 void *payload);

void manifest_hash_text(char out[MANIFEST_HASH_SIZE], const char *text);
int manifest_parse(manifest *out, const char *text, err *e);
char *manifest_format(const manifest *head);
manifest_entry *manifest_find(manifest *head, const char *service);
int manifest_set(manifest *head, const char *service, const char *hash,
                 err *e);
int manifest_load_catalog(catalog **out, const manifest *head,
                          manifest_fetch_cb fetch, void *payload, err *e);

#ifdef __cplusplus
}
#endif

#endif
