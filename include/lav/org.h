/*
 * org: whether the requests on a route come from outside callers or are
 * calls that targets make, told at a target's node from where they
 * originate.  Outside callers are at all nodes; the calls of a target only
 * originate at the nodes beside instances of its service.
 *
 * Load pattern answered: overload.  A request of an outside caller may be
 * refused before anything was done for it; to refuse a call of a running
 * request wastes what has been done.
 */
#ifndef LAV_ORG_H
#define LAV_ORG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ORG_SERVICES_MAX 128 /* origins told apart; more than services today */
#define ORG_ENOUGH 20        /* requests before a route is judged */
#define ORG_KEPT 400         /* requests at which old counts are halved */
#define ORG_UNSEEN 0.1       /* part of the nodes that no request comes from */
#define ORG_STRAY 0.1 /* of the even share: fewer are taken for strays */

enum org_verdict {
    ORG_UNKNOWN,
    ORG_OUTSIDE,
    ORG_TARGETS
};

typedef struct org_entry {
    uint32_t service; /* hash of its name */
    int requests;
} org_entry;

typedef struct org {
    org_entry entries[ORG_SERVICES_MAX];
    int count;
    int requests;
} org;

/* Part of all nodes that stand beside a service, 0 to 1. */
typedef double (*org_share_cb)(uint32_t service, void *payload);

void org_arrived(org *o, uint32_t service);
enum org_verdict org_judge(const org *o, org_share_cb share, void *payload);

#ifdef __cplusplus
}
#endif

#endif
