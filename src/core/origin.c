#include "lav/origin.h"

#include <math.h>

/* Halves all counts, so that old requests weigh less and a change of a route's
 * callers is noticed. */
static void
origin_halve(origin_counts *counts)
{
    int kept = 0;
    counts->requests = 0;
    for (int i = 0; i < counts->count; i++) {
        origin_entry entry = counts->entries[i];
        entry.requests /= 2;
        if (entry.requests > 0) {
            counts->requests += entry.requests;
            counts->entries[kept++] = entry;
        }
    }
    counts->count = kept;
}

/* Counts a request that originated at a node of `service`, the hash of its
 * name.  Services beyond ORIGIN_SERVICES_MAX are not counted. */
void
origin_count_request(origin_counts *counts, uint32_t service)
{
    int i = 0;
    while (i < counts->count && counts->entries[i].service != service) {
        i++;
    }
    if (i == ORIGIN_SERVICES_MAX) {
        return;
    }
    if (i == counts->count) {
        counts->entries[counts->count++] = (origin_entry){service, 0};
    }
    counts->entries[i].requests++;
    counts->requests++;
    if (counts->requests >= ORIGIN_REQUESTS_MAX) {
        origin_halve(counts);
    }
}

/* Classifies a route by the share of the nodes from which no request comes.
 * With few requests from many services, some services are missing by chance:
 * about the proportion of requests from services seen only once (Good-Turing
 * estimate).  `share` returns the share of all nodes of a service. */
enum origin_kind
origin_classify(const origin_counts *counts, origin_share_cb share,
                void *payload)
{
    double silent_share = 1;
    int seen_once = 0;
    if (counts->requests < ORIGIN_REQUESTS_MIN) {
        return ORIGIN_UNKNOWN;
    }
    for (int i = 0; i < counts->count; i++) {
        const origin_entry *entry = &counts->entries[i];
        double node_share = share(entry->service, payload);
        if (entry->requests >=
            node_share * counts->requests * ORIGIN_STRAY_SHARE) {
            silent_share -= node_share;
        }
        seen_once += entry->requests == 1;
    }
    double by_chance = (double)seen_once / counts->requests;
    double margin = 1 / sqrt(counts->requests);
    if (silent_share <= ORIGIN_SILENT_NODES_SHARE + by_chance) {
        return ORIGIN_EXTERNAL;
    }
    return silent_share > ORIGIN_SILENT_NODES_SHARE + by_chance + margin
               ? ORIGIN_INTERNAL
               : ORIGIN_UNKNOWN;
}
