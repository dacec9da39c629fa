/*
 * cfs: the files of the configuration in force, kept in memory for peers
 * that can't reach the platform, and the one place where a configuration is
 * put in force.
 */
#ifndef LAV_NODE_CFS_H
#define LAV_NODE_CFS_H

#include "lav/manifest.h"
#include "lav/msg.h"
#include "node.h"

typedef struct cfs cfs;

int cfs_new(cfs **out, node *n, err *e);
void cfs_free(cfs *c);
uint64_t cfs_version(cfs *c);
int cfs_apply(cfs *c, uint64_t version, const char *head,
              manifest_fetch_cb fetch, void *payload, err *e);
int cfs_offer(cfs *c, const char *hash, const char *text, err *e);
int cfs_accept(cfs *c, uint64_t version, const char *head, err *e);
int cfs_lookup(msg_body *out, uint64_t *out_version, cfs *c, const char *key);

#endif
