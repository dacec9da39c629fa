/*
 * endpoint: per-instance statistics of the router, taken from its own calls:
 * calls outstanding, last reported load, smoothed one-way latency, and whether
 * a connection failed recently. Used to choose an instance.
 */
#ifndef LAV_NODE_ENDPOINT_H
#define LAV_NODE_ENDPOINT_H

#include <stddef.h>
#include <stdint.h>

#include "lav/msg.h"

#define ENDPOINT_MAX 512
#define ENDPOINT_BACKOFF_US                                                   \
    500000 /* no attempts so long after a failed send */

typedef struct endpoint {
    uint64_t incarnation; /* 0: the entry is unused */
    int outstanding;      /* attempts without a reply */
    int load_permille;    /* last reported, in thousandths of the limit */
    int64_t load_at_us;   /* when the load was reported */
    int64_t backoff_until_us;
    int64_t one_way_us; /* network latency one way, smoothed */
    int64_t last_used_us;
} endpoint;

typedef struct endpoint_table endpoint_table;

int endpoint_new(endpoint_table **out);
void endpoint_free(endpoint_table *table);
endpoint *endpoint_get(endpoint_table *table, uint64_t incarnation,
                       int64_t now_us);
int endpoint_load_permille(const endpoint *ep, int64_t now_us);
void endpoint_record_reply(endpoint *ep, const msg_reply *reply,
                           int64_t round_trip_us, int64_t now_us);

#endif
