/*
 * manifest: the configuration as the platform's object store holds it.  The
 * manifest, object "config/head", lists the hash of each service's file; the
 * files are immutable objects stored under their hashes.  Writing the
 * manifest commits a configuration, and the version of that object is the
 * configuration's version.
 *
 *   config/head         {"publish": "NONCE", "files": {"ordering": "HASH"}}
 *   config/file/HASH    text of a service's file
 */
#ifndef LAV_MANIFEST_H
#define LAV_MANIFEST_H

#include <stddef.h>

#include "lav/catalog.h"
#include "lav/err.h"

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
    char publish[MANIFEST_NONCE_SIZE]; /* nonce of the publisher's write */
    size_t count;
    manifest_entry files[CATALOG_SERVICES_MAX];
} manifest;

/* Fetches the text of a file by its hash; the caller frees it. */
typedef int (*manifest_fetch_cb)(char **out, const char *hash, err *e,
                                 void *payload);

void manifest_hash_text(char out[MANIFEST_HASH_SIZE], const char *text);
int manifest_parse(manifest *out, const char *text, err *e);
char *manifest_format(const manifest *m);
manifest_entry *manifest_find(manifest *m, const char *service);
int manifest_set(manifest *m, const char *service, const char *hash, err *e);
int manifest_load_catalog(catalog **out, const manifest *m,
                          manifest_fetch_cb fetch, void *payload, err *e);

#ifdef __cplusplus
}
#endif

#endif
