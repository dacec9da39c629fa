#include "lav/rte.h"

#include "lav/adm.h"

#include <xxhash.h>

#define RTE_ZONE_PERMILLE 150        /* what another zone costs, as load */
#define RTE_OUTSTANDING_PERMILLE 100 /* what one own call costs, as load */

static int
rte_cost(const rte_candidate *c)
{
    int cost = c->load_permille;
    cost += c->outstanding * RTE_OUTSTANDING_PERMILLE;
    cost += c->same_zone ? 0 : RTE_ZONE_PERMILLE;
    return cost;
}

static bool
rte_takes(const rte_candidate *c, int priority)
{
    return c->usable && priority < c->level;
}

/* Index of the n-th candidate that takes the priority. */
static int
rte_nth(const rte_candidate *candidates, size_t count, int priority, size_t n)
{
    for (size_t i = 0; i < count; i++) {
        if (rte_takes(&candidates[i], priority) && n-- == 0) {
            return (int)i;
        }
    }
    return RTE_NONE;
}

/* Pick an instance for an idempotent call, or RTE_NONE.  Instances that
 * would refuse the priority are passed over while another takes it. */
int
rte_pick(const rte_candidate *candidates, size_t count, int priority,
         uint64_t random)
{
    size_t takers = 0;
    for (size_t i = 0; i < count; i++) {
        takers += rte_takes(&candidates[i], priority) ? 1 : 0;
    }
    if (takers == 0) {
        return RTE_NONE;
    }
    size_t first = random % takers;
    size_t second = (random >> 32) % takers;
    if (second == first) {
        second = (first + 1) % takers;
    }
    int x = rte_nth(candidates, count, priority, first);
    int y = rte_nth(candidates, count, priority, second);
    return rte_cost(&candidates[y]) < rte_cost(&candidates[x]) ? y : x;
}

/* Index of the usable instance that most likely owns the id with this hash;
 * RTE_NONE where there is none.  A wrong guess names the owner. */
int
rte_owner(const rte_candidate *candidates, size_t count, uint64_t hash)
{
    int owner = RTE_NONE;
    uint64_t best = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t pair[2] = {candidates[i].incarnation, hash};
        uint64_t weight = XXH3_64bits(pair, sizeof(pair));
        if (!candidates[i].usable) {
            continue;
        }
        if (owner == RTE_NONE || weight > best) {
            owner = (int)i;
            best = weight;
        }
    }
    return owner;
}

/* Whether every usable instance would refuse the priority. */
bool
rte_refused_early(const rte_candidate *candidates, size_t count, int priority)
{
    bool any = false;
    for (size_t i = 0; i < count; i++) {
        if (rte_takes(&candidates[i], priority)) {
            return false;
        }
        any = any || candidates[i].usable;
    }
    return any;
}

/* Mean of the levels that the instances demand: what a call meets whose
 * instance is given by its id.  ADM_LEVEL_MAX where there are none. */
int
rte_mean_level(const rte_candidate *candidates, size_t count)
{
    int sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += candidates[i].level;
    }
    return count == 0 ? ADM_LEVEL_MAX : sum / (int)count;
}
