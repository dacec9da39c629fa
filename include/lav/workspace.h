/*
 * workspace: the workspaces of one version of the desired state, and the API
 * keys by which callers prove that they belong to one.  A table is built once
 * and is read-only afterwards.  Keys are only held as keyed hashes.
 *
 * Load pattern: thousands of keys, one looked up for each request of a caller.
 */
#ifndef LAV_WORKSPACE_H
#define LAV_WORKSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORKSPACE_NAME_SIZE 96 /* bytes, including the terminating NUL */

/* Identifies no workspace. */
#define WORKSPACE_NONE 0U

typedef struct workspace {
    char name[WORKSPACE_NAME_SIZE];
    uint32_t id;       /* hash of the name; the same in every version */
    int priority;      /* 0 is the highest; goes before a route's priority */
    double rate_per_s; /* usage cap, requests a second; 0: none */
    double burst;      /* requests allowed beyond the rate; 0: none */
    size_t key_count;  /* API keys that it holds */
} workspace;

typedef struct workspace_table workspace_table;

/* Receives a workspace, which is valid as long as its table. */
typedef void (*workspace_cb)(const workspace *entry, void *payload);

int workspace_table_new(workspace_table **out);
void workspace_table_free(workspace_table *table);
int workspace_add(workspace_table *table, const workspace *entry,
                  const char *const *keys, size_t key_count);
const workspace *workspace_find_key(const workspace_table *table,
                                    const char *key, size_t length);
const workspace *workspace_get(const workspace_table *table, uint32_t id);
size_t workspace_count(const workspace_table *table);
bool workspace_any_capped(const workspace_table *table);
size_t workspace_key_count(const workspace_table *table);
void workspace_each(const workspace_table *table, workspace_cb each,
                    void *payload);

#ifdef __cplusplus
}
#endif

#endif
