/*
 * origin: classifies the requests on a route as external (of outside callers)
 * or internal (made by targets), from the services at whose nodes they
 * originate.  External requests arrive at all nodes; the calls of a target
 * originate only at the nodes of its service's instances.
 *
 * Needed under overload: an external request can be refused before any work
 * was done for it, while refusing a call of a running request wastes the work
 * done so far.
 */
#ifndef LAV_ORIGIN_H
#define LAV_ORIGIN_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Originating services told apart; more than there are services today. */
#define ORIGIN_SERVICES_MAX 128

#define ORIGIN_REQUESTS_MIN 20  /* requests before a route is classified */
#define ORIGIN_REQUESTS_MAX 400 /* requests at which the counts are halved */

/* Share of the nodes that may send no request on an external route. */
#define ORIGIN_SILENT_NODES_SHARE 0.1

/* Fraction of an even share below which requests are taken for strays. */
#define ORIGIN_STRAY_SHARE 0.1

enum origin_kind {
    ORIGIN_UNKNOWN,
    ORIGIN_EXTERNAL,
    ORIGIN_INTERNAL
};

typedef struct origin_entry {
    uint32_t service; /* hash of its name */
    int requests;
} origin_entry;

/* Requests on one route, by the service of the originating node. */
typedef struct origin_counts {
    origin_entry entries[ORIGIN_SERVICES_MAX];
    int count;
    int requests;
} origin_counts;

/* Share of all nodes that belong to a service, 0 to 1. */
typedef double (*origin_share_cb)(uint32_t service, void *payload);

void origin_count_request(origin_counts *counts, uint32_t service);
enum origin_kind origin_classify(const origin_counts *counts,
                                 origin_share_cb share, void *payload);

#ifdef __cplusplus
}
#endif

#endif
