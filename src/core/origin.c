#include "lav/origin.h"

#include <math.h>

/* Let old requests count for less, so that a moved route is noticed. */
static void
origin_halve(origin_counts *o)
{
    int kept = 0;
    o->requests = 0;
    for (int i = 0; i < o->count; i++) {
        origin_entry entry = o->entries[i];
        entry.requests /= 2;
        if (entry.requests > 0) {
            o->requests += entry.requests;
            o->entries[kept++] = entry;
        }
    }
    o->count = kept;
}

/* A request arrived that began at a node beside `service`. */
void
origin_count_request(origin_counts *o, uint32_t service)
{
    int i = 0;
    while (i < o->count && o->entries[i].service != service) {
        i++;
    }
    if (i == ORIGIN_SERVICES_MAX) {
        return;
    }
    if (i == o->count) {
        o->entries[o->count++] = (origin_entry){service, 0};
    }
    o->entries[i].requests++;
    o->requests++;
    if (o->requests >= ORIGIN_REQUESTS_MAX) {
        origin_halve(o);
    }
}

/* Judge by the part of the nodes from which no request comes.  With few
 * requests from many services, some are not seen by chance: about as many
 * as were seen just once, in proportion (Good and Turing's estimate). */
enum origin_kind
origin_classify(const origin_counts *o, origin_share_cb share, void *payload)
{
    double unseen = 1;
    int once = 0;
    if (o->requests < ORIGIN_REQUESTS_MIN) {
        return ORIGIN_UNKNOWN;
    }
    for (int i = 0; i < o->count; i++) {
        const origin_entry *entry = &o->entries[i];
        double part = share(entry->service, payload);
        if (entry->requests >= part * o->requests * ORIGIN_STRAY_SHARE) {
            unseen -= part;
        }
        once += entry->requests == 1;
    }
    double by_chance = (double)once / o->requests;
    double doubt = 1 / sqrt(o->requests);
    if (unseen <= ORIGIN_SILENT_NODES_SHARE + by_chance) {
        return ORIGIN_EXTERNAL;
    }
    return unseen > ORIGIN_SILENT_NODES_SHARE + by_chance + doubt
               ? ORIGIN_INTERNAL
               : ORIGIN_UNKNOWN;
}
