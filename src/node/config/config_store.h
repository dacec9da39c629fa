/*
 * config_store: activates configurations and keeps the files of the active one
 * in memory, from where peers that cannot reach the platform fetch them.
 */
#ifndef LAV_NODE_CONFIG_STORE_H
#define LAV_NODE_CONFIG_STORE_H

#include "lav/manifest.h"
#include "lav/msg.h"
#include "node.h"

typedef struct config_store config_store;

int config_store_new(config_store **out, node *n, err *e);
void config_store_free(config_store *store);
uint64_t config_store_version(config_store *store);
int config_store_apply(config_store *store, uint64_t version, const char *head,
                       manifest_fetch_cb fetch, void *payload, err *e);
int config_store_add_file(config_store *store, const char *hash,
                          const char *text, err *e);
int config_store_accept_head(config_store *store, uint64_t version,
                             const char *head, err *e);
int config_store_lookup(msg_body *out, uint64_t *out_version,
                        config_store *store, const char *key);

#endif
