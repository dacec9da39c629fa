/*
 * endpoint_table: what the router knows of each instance from its own calls: calls
 * without an answer, load last heard, round trip, and whether it could be
 * reached.
 */
#ifndef LAV_NODE_ENDPOINT_H
#define LAV_NODE_ENDPOINT_H

#include <stddef.h>
#include <stdint.h>

#include "lav/msg.h"

#define ENDPOINT_MAX 512
#define ENDPOINT_BACKOFF_US 500000 /* an unreachable instance is left alone */

typedef struct endpoint {
    uint64_t incarnation; /* 0 where the entry is free */
    int outstanding;
    int load_permille;
    int64_t load_at_us; /* when the load was heard */
    int64_t backoff_until_us;
    int64_t one_way_us; /* half a round trip, smoothed */
    int64_t used_us;
} endpoint;

typedef struct endpoint_table endpoint_table;

int endpoint_new(endpoint_table **out);
void endpoint_free(endpoint_table *i);
endpoint *endpoint_get(endpoint_table *i, uint64_t incarnation,
                       int64_t now_us);
int endpoint_load_permille(const endpoint *instance, int64_t now_us);
void endpoint_record_reply(endpoint *instance, const msg_reply *reply,
                           int64_t round_trip_us, int64_t now_us);

#endif
