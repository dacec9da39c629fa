#include "endpoint.h"

#include <stdlib.h>

#define ENDPOINT_LOAD_TTL_US 1000000   /* an older load report is ignored */
#define ENDPOINT_LATENCY_WEIGHT 8      /* a new sample counts one part in 8 */
#define ENDPOINT_LATENCY_MAX_US 100000 /* larger samples are discarded */

struct endpoint_table {
    endpoint entries[ENDPOINT_MAX];
};

/* Create an empty table; ERR_NO_MEMORY on failure. */
int
endpoint_new(endpoint_table **out)
{
    *out = calloc(1, sizeof(**out));
    return *out == NULL ? ERR_NO_MEMORY : 0;
}

/* Free the table; NULL is allowed. */
void
endpoint_free(endpoint_table *table)
{
    free(table);
}

/* Return the entry of an instance. A new instance takes a free entry, or else
 * replaces the least recently used one. */
endpoint *
endpoint_get(endpoint_table *table, uint64_t incarnation, int64_t now_us)
{
    endpoint *oldest = &table->entries[0];
    for (size_t k = 0; k < ENDPOINT_MAX; k++) {
        endpoint *ep = &table->entries[k];
        if (ep->incarnation == incarnation) {
            ep->last_used_us = now_us;
            return ep;
        }
        if (ep->incarnation == 0) {
            oldest = ep;
            break;
        }
        if (ep->last_used_us < oldest->last_used_us) {
            oldest = ep;
        }
    }
    *oldest = (endpoint){.incarnation = incarnation, .last_used_us = now_us};
    return oldest;
}

/* Return the load last reported, in thousandths of the instance's limit, or 0
 * if the report has expired. */
int
endpoint_load_permille(const endpoint *ep, int64_t now_us)
{
    bool is_fresh = now_us - ep->load_at_us < ENDPOINT_LOAD_TTL_US;
    return is_fresh ? ep->load_permille : 0;
}

/* Record the load reported in a reply, and update the one-way latency from
 * the round trip minus the service time. */
void
endpoint_record_reply(endpoint *ep, const msg_reply *reply,
                      int64_t round_trip_us, int64_t now_us)
{
    ep->load_permille = reply->load_permille;
    ep->load_at_us = now_us;
    int64_t one_way_us = (round_trip_us - reply->service_time_us) / 2;
    if (one_way_us < 0 || one_way_us > ENDPOINT_LATENCY_MAX_US) {
        return;
    }
    ep->one_way_us += (one_way_us - ep->one_way_us) / ENDPOINT_LATENCY_WEIGHT;
}
