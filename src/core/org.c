#include "lav/org.h"

#include <math.h>

/* Let old requests count for less, so that a moved route is noticed. */
static void
org_halve(org *o)
{
    int kept = 0;
    o->requests = 0;
    for (int i = 0; i < o->count; i++) {
        org_entry entry = o->entries[i];
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
org_arrived(org *o, uint32_t service)
{
    int i = 0;
    while (i < o->count && o->entries[i].service != service) {
        i++;
    }
    if (i == ORG_SERVICES_MAX) {
        return;
    }
    if (i == o->count) {
        o->entries[o->count++] = (org_entry){service, 0};
    }
    o->entries[i].requests++;
    o->requests++;
    if (o->requests >= ORG_KEPT) {
        org_halve(o);
    }
}

/* Judge by the part of the nodes from which no request comes.  With few
 * requests from many services, some are not seen by chance: about as many
 * as were seen just once, in proportion (Good and Turing's estimate). */
enum org_verdict
org_judge(const org *o, org_share_cb share, void *payload)
{
    double unseen = 1;
    int once = 0;
    if (o->requests < ORG_ENOUGH) {
        return ORG_UNKNOWN;
    }
    for (int i = 0; i < o->count; i++) {
        const org_entry *entry = &o->entries[i];
        double part = share(entry->service, payload);
        if (entry->requests >= part * o->requests * ORG_STRAY) {
            unseen -= part;
        }
        once += entry->requests == 1;
    }
    double by_chance = (double)once / o->requests;
    double doubt = 1 / sqrt(o->requests);
    if (unseen <= ORG_UNSEEN + by_chance) {
        return ORG_OUTSIDE;
    }
    return unseen > ORG_UNSEEN + by_chance + doubt ? ORG_TARGETS : ORG_UNKNOWN;
}
