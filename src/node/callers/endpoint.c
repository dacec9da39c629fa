#include "endpoint.h"

#include <stdlib.h>

#define ENDPOINT_LOAD_KEEP_US 1000000 /* a load older than 1 s says nothing */
#define ENDPOINT_TRANSIT_WEIGHT 8     /* of the old value, in smoothing */
#define ENDPOINT_TRANSIT_MAX_US 100000

struct endpoint_table {
    endpoint instances[ENDPOINT_MAX];
};

/* Make an empty table. */
int
endpoint_new(endpoint_table **out)
{
    *out = calloc(1, sizeof(**out));
    return *out == NULL ? ERR_NO_MEMORY : 0;
}

/* Release the table; takes NULL. */
void
endpoint_free(endpoint_table *i)
{
    free(i);
}

/* Entry of an instance, made on first use in place of the one that was
 * unused longest. */
endpoint *
endpoint_get(endpoint_table *i, uint64_t incarnation, int64_t now_us)
{
    endpoint *oldest = &i->instances[0];
    for (size_t k = 0; k < ENDPOINT_MAX; k++) {
        endpoint *instance = &i->instances[k];
        if (instance->incarnation == incarnation) {
            instance->used_us = now_us;
            return instance;
        }
        if (instance->incarnation == 0) {
            oldest = instance;
            break;
        }
        if (instance->used_us < oldest->used_us) {
            oldest = instance;
        }
    }
    *oldest = (endpoint){.incarnation = incarnation, .used_us = now_us};
    return oldest;
}

/* Load last heard, in thousandths of the limit; 0 where it is old. */
int
endpoint_load_permille(const endpoint *instance, int64_t now_us)
{
    bool fresh = now_us - instance->load_at_us < ENDPOINT_LOAD_KEEP_US;
    return fresh ? instance->load_permille : 0;
}

/* A reply came after `round_trip_us`. */
void
endpoint_record_reply(endpoint *instance, const msg_reply *reply,
                      int64_t round_trip_us, int64_t now_us)
{
    instance->load_permille = reply->load_permille;
    instance->load_at_us = now_us;
    int64_t one_way_us = (round_trip_us - reply->service_time_us) / 2;
    if (one_way_us < 0 || one_way_us > ENDPOINT_TRANSIT_MAX_US) {
        return;
    }
    instance->one_way_us +=
        (one_way_us - instance->one_way_us) / ENDPOINT_TRANSIT_WEIGHT;
}
