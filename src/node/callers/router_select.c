/* The choice of an instance for the next attempt of a call. */
#include <string.h>

#include "router_private.h"

typedef struct router_candidates {
    size_t count;
    lb_candidate items[ROUTER_CANDIDATES_MAX];
    /* The members behind `items`; valid under the read lock. */
    const swim_member *members[ROUTER_CANDIDATES_MAX];
} router_candidates;

/* Whether an instance is excluded from further attempts of a call. */
static bool
router_is_excluded(const router_call *state, uint64_t incarnation)
{
    for (size_t i = 0; i < state->excluded_count; i++) {
        if (state->excluded[i] == incarnation) {
            return true;
        }
    }
    return false;
}

/* Whether attempts may be sent to a member; dead ones only with
 * `include_dead`. */
static bool
router_is_candidate(const swim_member *entry, bool include_dead)
{
    return entry->state == SWIM_READY || entry->state == SWIM_SUSPECT ||
           (include_dead && entry->state == SWIM_DEAD);
}

/* Collect the members of a service as candidates. Without `state`, no
 * instance is excluded for earlier attempts. */
static void
router_collect_members(router_candidates *out, router_state *r,
                       const char *service, const char *operation,
                       const router_call *state, bool include_dead,
                       int64_t now_us)
{
    const snapshot_fleet *fleet = snapshot_get_fleet(r->node->snapshot);
    out->count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        if (strcmp(entry->service, service) != 0 ||
            !router_is_candidate(entry, include_dead) ||
            out->count == ROUTER_CANDIDATES_MAX) {
            continue;
        }
        const endpoint *ep =
            endpoint_get(r->endpoints, entry->incarnation, now_us);
        lb_candidate *candidate = &out->items[out->count];
        candidate->incarnation = entry->incarnation;
        bool excluded =
            state != NULL && router_is_excluded(state, entry->incarnation);
        bool backs_off = now_us < ep->backoff_until_us;
        candidate->usable = !excluded && !backs_off;
        candidate->backing_off = !excluded && backs_off;
        candidate->same_zone =
            strcmp(entry->zone, r->node->settings.zone) == 0;
        candidate->level = admission_cache_get(r->admission_levels, operation,
                                               entry->incarnation, now_us);
        candidate->outstanding = ep->outstanding;
        candidate->load_permille = endpoint_load_permille(ep, now_us);
        out->members[out->count++] = entry;
    }
}

/* Collect the candidates of a service; the caller holds the read lock of the
 * snapshot. If gossip reports all of them dead they are used nevertheless:
 * this node may be the one that is partitioned. So are those that back off if
 * there are no others. */
static void
router_collect_candidates(router_candidates *out, router_state *r,
                          const char *service, const char *operation,
                          const router_call *state, int64_t now_us)
{
    router_collect_members(out, r, service, operation, state, false, now_us);
    if (out->count == 0) {
        router_collect_members(out, r, service, operation, state, true,
                               now_us);
    }
    lb_end_backoffs(out->items, out->count);
}

/* Admission priority of a call; lower values are more important. */
static int
router_priority(const router_call *state)
{
    return admission_priority(state->klass,
                              state->policy.rank ? state->rank : 0);
}

/* Whether the call would be refused, judging by the cached admission levels:
 * by every instance if it is idempotent, else by the owner of its id. */
bool
router_is_refused_early(router_state *r, int handle, int64_t now_us)
{
    const router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    router_candidates candidates;
    snapshot_read_lock();
    router_collect_candidates(&candidates, r, call->service, state->operation,
                              NULL, now_us);
    snapshot_read_unlock();
    if (!state->idempotent) {
        int owner = lb_pick_owner(candidates.items, candidates.count,
                                  id_hash(call->request.text));
        return owner != LB_NONE &&
               router_priority(state) >= candidates.items[owner].level;
    }
    return lb_all_refuse(candidates.items, candidates.count,
                         router_priority(state));
}

/* Admission level of an operation: priorities below it are admitted. For an
 * idempotent operation the highest level of any instance, else the mean,
 * since the owner of the id decides. */
int
router_get_operation_level(router_state *r, const char *service,
                           const char *operation, bool idempotent,
                           int64_t now_us)
{
    router_candidates candidates;
    int level = 0;
    snapshot_read_lock();
    router_collect_candidates(&candidates, r, service, operation, NULL,
                              now_us);
    snapshot_read_unlock();
    if (!idempotent) {
        return lb_mean_level(candidates.items, candidates.count);
    }
    for (size_t i = 0; i < candidates.count; i++) {
        if (candidates.items[i].level > level) {
            level = candidates.items[i].level;
        }
    }
    return candidates.count == 0 ? ADMISSION_LEVEL_MAX : level;
}

/* Index of the candidate to use, or LB_NONE. */
static int
router_pick_instance(const router_candidates *candidates,
                     const router_call *state, const pending_call *call)
{
    if (state->idempotent) {
        int priority =
            state->policy.early_refusal ? router_priority(state) : 0;
        return lb_pick(candidates->items, candidates->count, priority,
                       id_random());
    }
    return lb_pick_owner(candidates->items, candidates->count,
                         id_hash(call->request.text));
}

/* Copy the member of an incarnation; false if it is not in the fleet. */
bool
router_find_member(swim_member *out, router_state *r, uint64_t incarnation)
{
    bool found = false;
    snapshot_read_lock();
    const snapshot_fleet *fleet = snapshot_get_fleet(r->node->snapshot);
    for (size_t i = 0; i < fleet->count && !found; i++) {
        found = fleet->entries[i].incarnation == incarnation;
        *out = fleet->entries[i];
    }
    snapshot_read_unlock();
    return found;
}

/* Whether the instance of the next attempt is the only one that may take the
 * call: that of an idempotent call where no other is usable, that of any other
 * call in every case, since its owner is one. */
static bool
router_is_sole_instance(const router_candidates *candidates,
                        const router_call *state)
{
    size_t usable = 0;
    for (size_t i = 0; i < candidates->count; i++) {
        usable += candidates->items[i].usable ? 1 : 0;
    }
    return !state->idempotent || usable == 1;
}

/* Select the instance for the next attempt; false if there is none, with the
 * reason in `out_reason`. */
bool
router_select_instance(swim_member *out, enum reason *out_reason,
                       router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    router_candidates candidates;
    if (state->owner != 0) {
        state->sole_instance = true;
        *out_reason = REASON_OWNER_GONE;
        return router_find_member(out, r, state->owner);
    }
    snapshot_read_lock();
    router_collect_candidates(&candidates, r, call->service, state->operation,
                              state, now_us);
    int index = router_pick_instance(&candidates, state, call);
    state->sole_instance = router_is_sole_instance(&candidates, state);
    if (index != LB_NONE) {
        *out = *candidates.members[index];
    }
    snapshot_read_unlock();
    *out_reason =
        candidates.count > 0 ? REASON_EARLY_REFUSAL : REASON_NO_TARGET;
    if (state->reason != REASON_NONE) {
        *out_reason = state->reason;
    }
    return index != LB_NONE;
}
