#include "lav/lb.h"

#include "lav/admission.h"

#include <xxhash.h>

#define LB_ZONE_PERMILLE 150        /* what another zone costs, as load */
#define LB_OUTSTANDING_PERMILLE 100 /* what one own call costs, as load */

static int
lb_cost(const lb_candidate *c)
{
    int cost = c->load_permille;
    cost += c->outstanding * LB_OUTSTANDING_PERMILLE;
    cost += c->same_zone ? 0 : LB_ZONE_PERMILLE;
    return cost;
}

static bool
lb_accepts(const lb_candidate *c, int priority)
{
    return c->usable && priority < c->level;
}

/* Index of the n-th candidate that takes the priority. */
static int
lb_nth(const lb_candidate *candidates, size_t count, int priority, size_t n)
{
    for (size_t i = 0; i < count; i++) {
        if (lb_accepts(&candidates[i], priority) && n-- == 0) {
            return (int)i;
        }
    }
    return LB_NONE;
}

/* Pick an instance for an idempotent call, or LB_NONE.  Instances that
 * would refuse the priority are passed over while another takes it. */
int
lb_pick(const lb_candidate *candidates, size_t count, int priority,
        uint64_t random)
{
    size_t takers = 0;
    for (size_t i = 0; i < count; i++) {
        takers += lb_accepts(&candidates[i], priority) ? 1 : 0;
    }
    if (takers == 0) {
        return LB_NONE;
    }
    size_t first = random % takers;
    size_t second = (random >> 32) % takers;
    if (second == first) {
        second = (first + 1) % takers;
    }
    int x = lb_nth(candidates, count, priority, first);
    int y = lb_nth(candidates, count, priority, second);
    return lb_cost(&candidates[y]) < lb_cost(&candidates[x]) ? y : x;
}

/* Index of the usable instance that most likely owns the id with this hash;
 * LB_NONE where there is none.  A wrong guess names the owner. */
int
lb_pick_owner(const lb_candidate *candidates, size_t count, uint64_t hash)
{
    int owner = LB_NONE;
    uint64_t best = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t pair[2] = {candidates[i].incarnation, hash};
        uint64_t weight = XXH3_64bits(pair, sizeof(pair));
        if (!candidates[i].usable) {
            continue;
        }
        if (owner == LB_NONE || weight > best) {
            owner = (int)i;
            best = weight;
        }
    }
    return owner;
}

/* Whether every usable instance would refuse the priority. */
bool
lb_all_refuse(const lb_candidate *candidates, size_t count, int priority)
{
    bool any = false;
    for (size_t i = 0; i < count; i++) {
        if (lb_accepts(&candidates[i], priority)) {
            return false;
        }
        any = any || candidates[i].usable;
    }
    return any;
}

/* Mean of the levels that the instances demand: what a call meets whose
 * instance is given by its id.  ADMISSION_LEVEL_MAX where there are none. */
int
lb_mean_level(const lb_candidate *candidates, size_t count)
{
    int sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += candidates[i].level;
    }
    return count == 0 ? ADMISSION_LEVEL_MAX : sum / (int)count;
}
