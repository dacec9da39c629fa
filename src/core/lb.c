#include "lav/lb.h"

#include "lav/admission.h"

#include <xxhash.h>

/* Costs, as load in permille of the instance's limit. */
#define LB_ZONE_PERMILLE 150        /* another zone */
#define LB_OUTSTANDING_PERMILLE 100 /* each outstanding call of this node */

/* Returns the cost of sending a call to a candidate, in permille of its
 * limit. */
static int
lb_cost(const lb_candidate *candidate)
{
    int cost = candidate->load_permille;
    cost += candidate->outstanding * LB_OUTSTANDING_PERMILLE;
    cost += candidate->same_zone ? 0 : LB_ZONE_PERMILLE;
    return cost;
}

/* Where no candidate is usable, make those usable that only back off: when
 * attempts at all instances were not sent, the fault may be this node's, which
 * must not refuse calls for as long as they back off. */
void
lb_end_backoffs(lb_candidate *candidates, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable) {
            return;
        }
    }
    for (size_t i = 0; i < count; i++) {
        candidates[i].usable = candidates[i].backing_off;
    }
}

/* Whether a candidate is usable and admits a priority. */
static bool
lb_accepts(const lb_candidate *candidate, int priority)
{
    return candidate->usable && priority < candidate->level;
}

/* Returns the index of the n-th candidate that accepts the priority; LB_NONE
 * if there are fewer. */
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

/* Returns the index of the instance for an idempotent call, or LB_NONE.
 * Instances that would refuse the priority are not considered. */
int
lb_pick(const lb_candidate *candidates, size_t count, int priority,
        uint64_t random)
{
    size_t accepting = 0;
    for (size_t i = 0; i < count; i++) {
        accepting += lb_accepts(&candidates[i], priority) ? 1 : 0;
    }
    if (accepting == 0) {
        return LB_NONE;
    }
    size_t first = random % accepting;
    size_t second = (random >> 32) % accepting;
    if (second == first) {
        second = (first + 1) % accepting;
    }
    int a = lb_nth(candidates, count, priority, first);
    int b = lb_nth(candidates, count, priority, second);
    return lb_cost(&candidates[b]) < lb_cost(&candidates[a]) ? b : a;
}

/* Returns the index of the usable instance that most likely owns the request
 * id with this hash; LB_NONE if none is usable.  An instance that does not own
 * the id names the owner in its reply. */
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

/* Whether there are usable instances and all would refuse the priority. */
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

/* Returns the mean admission level of the candidates: the level to expect for
 * a call whose instance follows from its id.  ADMISSION_LEVEL_MAX if there are
 * no candidates. */
int
lb_mean_level(const lb_candidate *candidates, size_t count)
{
    int sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += candidates[i].level;
    }
    return count == 0 ? ADMISSION_LEVEL_MAX : sum / (int)count;
}
