/*
 * cfg: the configuration on the platform.  The object "config/head" lists
 * for each service the hash of its file; the files lie beside it, each under
 * its hash, and are never changed.  A configuration is accepted when the
 * head is written, and its version is the head's.
 *
 *   config/head         {"publish": "NONCE", "files": {"ordering": "HASH"}}
 *   config/file/HASH    the file's text
 */
#ifndef LAV_CFG_H
#define LAV_CFG_H

#include <stddef.h>

#include "lav/err.h"
#include "lav/land.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CFG_HEAD_KEY "config/head"
#define CFG_FILE_PREFIX "config/file/"
#define CFG_HASH_SIZE 33  /* bytes, with the closing NUL */
#define CFG_NONCE_SIZE 33 /* bytes, with the closing NUL */

typedef struct cfg_file {
    char service[SVC_NAME_SIZE];
    char hash[CFG_HASH_SIZE];
} cfg_file;

typedef struct cfg_head {
    char publish[CFG_NONCE_SIZE]; /* tells who wrote this version */
    size_t count;
    cfg_file files[LAND_SERVICES_MAX];
} cfg_head;

/* Gets the text of a file by its hash; the caller frees it. */
typedef int (*cfg_fetch_cb)(char **out, const char *hash, err *e,
                            void *payload);

void cfg_hash(char out[CFG_HASH_SIZE], const char *text);
int cfg_head_parse(cfg_head *out, const char *text, err *e);
char *cfg_head_format(const cfg_head *head);
cfg_file *cfg_head_find(cfg_head *head, const char *service);
int cfg_head_set(cfg_head *head, const char *service, const char *hash,
                 err *e);
int cfg_load(land **out, const cfg_head *head, cfg_fetch_cb fetch,
             void *payload, err *e);

#ifdef __cplusplus
}
#endif

#endif
