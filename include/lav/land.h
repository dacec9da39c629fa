/*
 * land: the landscape, which is every service file taken together.  Each
 * operation gets a handle; the whole is checked for calls to nowhere,
 * cycles, chains that are too deep, and callers that wait less long than
 * what lies below them.  A checked landscape is immutable.
 */
#ifndef LAV_LAND_H
#define LAV_LAND_H

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LAND_SERVICES_MAX 256
#define LAND_DEPTH_MAX 7 /* hops of a chain, the root's call is the first */
#define LAND_NONE (-1)   /* no such handle */

typedef int land_op; /* handle of an operation, or LAND_NONE */

typedef struct land_operation {
    int service; /* index into services */
    const svc_operation *source;
    size_t callee_count;
    land_op callees[TML_ITEMS_MAX];
} land_operation;

typedef struct land {
    size_t service_count;
    svc_file *services[LAND_SERVICES_MAX]; /* owned */
    size_t operation_count;
    land_operation *operations;
} land;

int land_new(land **out, svc_file **files, size_t count, err *e);
void land_free(land *l);
int land_service_find(const land *l, const char *service);
land_op land_find(const land *l, const char *service, const char *operation);
land_op land_find_dotted(const land *l, const char *name);
const svc_policy *land_policy(const land *l, land_op op);
bool land_may_call(const land *l, land_op from, land_op to);
bool land_service_has_unrepeatable(const land *l, int service);

#ifdef __cplusplus
}
#endif

#endif
