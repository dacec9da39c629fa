/*
 * origin_counts: whether the requests on a route come from outside callers or are
 * calls that targets make, told at a target's node from where they
 * originate.  Outside callers are at all nodes; the calls of a target only
 * originate at the nodes beside instances of its service.
 *
 * Load pattern answered: overload.  A request of an outside caller may be
 * refused before anything was done for it; to refuse a call of a running
 * request wastes what has been done.
 */
#ifndef LAV_ORIGIN_H
#define LAV_ORIGIN_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ORIGIN_SERVICES_MAX                                                   \
    128 /* origins told apart; more than services today */
#define ORIGIN_REQUESTS_MIN 20  /* requests before a route is judged */
#define ORIGIN_REQUESTS_MAX 400 /* requests at which old counts are halved */
#define ORIGIN_SILENT_NODES_SHARE                                             \
    0.1 /* part of the nodes that no request comes from */
#define ORIGIN_STRAY_SHARE                                                    \
    0.1 /* of the even share: fewer are taken for strays */

enum origin_kind {
    ORIGIN_UNKNOWN,
    ORIGIN_EXTERNAL,
    ORIGIN_INTERNAL
};

typedef struct origin_entry {
    uint32_t service; /* hash of its name */
    int requests;
} origin_entry;

typedef struct origin_counts {
    origin_entry entries[ORIGIN_SERVICES_MAX];
    int count;
    int requests;
} origin_counts;

/* Part of all nodes that stand beside a service, 0 to 1. */
typedef double (*origin_share_cb)(uint32_t service, void *payload);

void origin_count_request(origin_counts *o, uint32_t service);
enum origin_kind origin_classify(const origin_counts *o, origin_share_cb share,
                                 void *payload);

#ifdef __cplusplus
}
#endif

#endif
