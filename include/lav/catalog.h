/*
 * catalog: all service files and the call graph of their operations.  Each
 * operation gets a handle.  Loading rejects calls to unknown operations,
 * call cycles, call chains that are too deep, and operations whose callers
 * wait less long than those of the operations they call.  A catalog is
 * immutable once it is built.
 */
#ifndef LAV_CATALOG_H
#define LAV_CATALOG_H

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CATALOG_SERVICES_MAX 256
#define CATALOG_CALL_DEPTH_MAX 7 /* including the external request */
#define CATALOG_NOT_FOUND (-1)   /* no such service or operation */

typedef int catalog_op_id; /* handle of an operation, or CATALOG_NOT_FOUND */

typedef struct catalog_operation {
    int service;                 /* index into services */
    const svc_operation *source; /* in the service's file */
    size_t callee_count;
    catalog_op_id callees[TOML_ITEMS_MAX];
} catalog_operation;

typedef struct catalog {
    size_t service_count;
    svc_file *services[CATALOG_SERVICES_MAX]; /* owned */
    size_t operation_count;
    catalog_operation *operations;
} catalog;

int catalog_new(catalog **out, svc_file **files, size_t count, err *e);
void catalog_free(catalog *c);
int catalog_find_service(const catalog *c, const char *service);
catalog_op_id catalog_find_op(const catalog *c, const char *service,
                              const char *operation);
catalog_op_id catalog_find_op_by_name(const catalog *c, const char *name);
const svc_policy *catalog_get_policy(const catalog *c, catalog_op_id op);
bool catalog_is_call_allowed(const catalog *c, catalog_op_id from,
                             catalog_op_id to);
bool catalog_service_has_non_idempotent(const catalog *c, int service);

#ifdef __cplusplus
}
#endif

#endif
