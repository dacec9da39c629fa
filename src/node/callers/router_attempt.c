/* Attempts: choose an instance, send, evaluate the result, retry. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/dispatch.h"
#include "lav/retry.h"
#include "router_private.h"

/* Wait past the deadline, by which the remote node replies. */
#define ROUTER_REPLY_GRACE_MS 30

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

/* Split off the part of the retry budget that is passed on with an attempt. */
static int
router_delegate_budget(router_call *state)
{
    int delegated = state->has_callees ? state->budget / 2 : 0;
    state->budget -= delegated;
    return delegated;
}

/* Build the message of an attempt. */
static void
router_build_call(msg *out, const router_state *r, const router_call *state,
                  const pending_call *call, bool none_ran, int64_t now_us)
{
    memset(out, 0, sizeof(*out));
    out->kind = MSG_CALL;
    msg_call *m = &out->call;
    m->nonce = state->nonce;
    memcpy(m->request, call->request.text, sizeof(m->request));
    memcpy(m->root, state->root.text, sizeof(m->root));
    memcpy(m->service, call->service, sizeof(m->service));
    memcpy(m->operation, call->operation, sizeof(m->operation));
    memcpy(m->method, call->method, sizeof(m->method));
    memcpy(m->path, call->path, sizeof(m->path));
    memcpy(m->content_type, call->content_type, sizeof(m->content_type));
    m->klass = state->klass;
    m->depth = state->depth;
    m->budget = state->delegated;
    m->first = none_ran;
    const endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    m->time_left_us = state->deadline_us - now_us - ep->one_way_us;
    m->sent_wall_ms = clock_wall_ms();
    m->checksum = correlation_checksum(call->body.bytes, call->body.length);
    m->body = call->body;
}

static void router_on_not_sent(router_state *r, int handle, int64_t now_us);

/* Send an attempt to a member. */
static void
router_send(router_state *r, int handle, const swim_member *entry,
            int64_t now_us)
{
    router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    msg m;
    bool none_ran = call_outcome_get(&state->outcome) == OUTCOME_NOT_RUN;
    state->instance = entry->incarnation;
    state->nonce = id_random();
    state->attempt = call_outcome_add_attempt(&state->outcome);
    state->delegated = router_delegate_budget(state);
    state->sent_us = now_us;
    state->phase = ROUTER_WAITING;
    state->phase_timeout_us = state->deadline_us;
    router_build_call(&m, r, state, call, none_ran, now_us);
    int64_t time_left_us = state->deadline_us - now_us;
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    bool sole = state->sole_instance && now_us >= ep->backoff_until_us;
    rpc_client_timeouts timeouts = {
        .connect_ms = retry_connect_timeout_ms(sole, time_left_us),
        .reply_ms = time_left_us / CLOCK_US_PER_MS + ROUTER_REPLY_GRACE_MS};
    counter_add(COUNTER_ATTEMPTS, 1);
    ep->outstanding++;
    if (correlation_add(r->correlations, state->nonce, handle,
                        state->attempt) < 0 ||
        rpc_client_send(r->attempts, entry->address, entry->peer_port, &m,
                        state->nonce, &timeouts) < 0) {
        router_on_not_sent(r, handle, now_us);
    }
}

/* Copy the member of an incarnation; false if it is not in the fleet. */
static bool
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
static bool
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

/* Send the next attempt of a call, or respond if there is no instance for
 * it. */
void
router_send_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    enum reason reason = REASON_NONE;
    if (!router_select_instance(&entry, &reason, r, handle, now_us) ||
        state->outcome.count == CALL_OUTCOME_ATTEMPTS_MAX) {
        router_respond(r, handle, reason, NULL, now_us);
        return;
    }
    decision_log_add(r->node->decisions, state->root.text,
                     pending_get(r->calls, handle)->request.text,
                     "attempt %zu of %s to %s", state->outcome.count + 1,
                     state->operation, entry.name);
    router_send(r, handle, &entry, now_us);
}

/* Exclude the present instance from further attempts. */
static void
router_exclude_instance(router_call *state)
{
    if (state->excluded_count < CALL_OUTCOME_ATTEMPTS_MAX) {
        state->excluded[state->excluded_count++] = state->instance;
    }
}

/* Take one retry from the budget and count it under `counted`; false if the
 * retry bucket is empty. */
static bool
router_take_retry(router_state *r, router_call *state, enum reason counted)
{
    if (state->policy.retries == SVC_RETRIES_CHAIN &&
        retry_bucket_take(&r->bucket) < 0) {
        return false;
    }
    state->budget--;
    counter_add_reason(counted);
    return true;
}

/* Make another attempt if the retry policy allows it, else respond. `owner`
 * is the owner named by a REASON_WRONG_OWNER reply, or 0. */
static void
router_handle_failure(router_state *r, int handle, enum retry_end end,
                      uint64_t owner, int64_t now_us)
{
    router_call *state = &r->states[handle];
    retry_failure failure = {end,
                             state->reason,
                             state->idempotent,
                             state->budget,
                             state->reroutes,
                             state->caller_gone ? 0
                                                : state->deadline_us - now_us};
    switch (retry_decide(&failure)) {
    case RETRY_STOP:
        break;
    case RETRY_REROUTE:
    case RETRY_REDIRECT_OWNER:
        if (state->reason == REASON_WRONG_OWNER && owner == 0) {
            break;
        }
        state->reroutes++;
        state->owner = state->reason == REASON_WRONG_OWNER ? owner : 0;
        counter_add_reason(REASON_RETRY_REROUTED);
        router_exclude_instance(state);
        if (state->idempotent || state->reroutes == 1) {
            router_send_attempt(r, handle, now_us);
            return;
        }
        /* The owners are changing: wait for the new map to arrive. */
        state->phase = ROUTER_BACKING_OFF;
        state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
        return;
    case RETRY_RESEND:
        if (router_take_retry(r, state,
                              end == RETRY_END_UNKNOWN
                                  ? REASON_RETRY_AFTER_UNKNOWN
                                  : REASON_RETRY_AFTER_REFUSAL)) {
            router_exclude_instance(state);
            router_send_attempt(r, handle, now_us);
            return;
        }
        break;
    case RETRY_RESEND_TO_OWNER:
        if (router_take_retry(r, state, REASON_RETRY_AFTER_UNKNOWN)) {
            state->owner = state->instance;
            state->phase = ROUTER_BACKING_OFF;
            state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
            return;
        }
        break;
    }
    router_respond(r, handle, state->reason, NULL, now_us);
}

/* The attempt never left this node: its instance is unreachable. */
static void
router_on_not_sent(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    ep->outstanding--;
    ep->backoff_until_us = now_us + ENDPOINT_BACKOFF_US;
    correlation_remove(r->correlations, state->nonce);
    call_outcome_set_attempt(&state->outcome, state->attempt,
                             CALL_OUTCOME_NOT_SENT);
    state->budget += state->delegated;
    state->delegated = 0;
    state->reason =
        state->idempotent ? REASON_PEER_UNREACHABLE : REASON_OWNER_UNREACHABLE;
    if (state->owner != 0) {
        /* Only the owner may run it, so there is no other instance. */
        router_respond(r, handle, state->reason, NULL, now_us);
        return;
    }
    router_handle_failure(r, handle, RETRY_END_NOT_SENT, 0, now_us);
}

/* Handle an intact reply to the present attempt. */
static void
router_on_reply(router_state *r, int handle, msg_reply *reply, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *ep = endpoint_get(r->endpoints, state->instance, now_us);
    endpoint_record_reply(ep, reply, now_us - state->sent_us, now_us);
    admission_cache_put(r->admission_levels, state->operation, state->instance,
                        reply->level, now_us);
    state->budget +=
        reply->budget < state->delegated ? reply->budget : state->delegated;
    state->delegated = 0;
    state->reason = (enum reason)reply->reason;
    switch ((enum outcome)reply->outcome) {
    case OUTCOME_DONE:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_DONE);
        router_respond(r, handle, state->reason, reply, now_us);
        return;
    case OUTCOME_NOT_RUN:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_REFUSED);
        if (reply->settled) {
            call_outcome_refuse_permanently(&state->outcome);
        }
        router_handle_failure(r, handle, RETRY_END_REFUSED, reply->owner,
                              now_us);
        return;
    case OUTCOME_UNKNOWN:
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_LOST);
        router_handle_failure(r, handle, RETRY_END_UNKNOWN, 0, now_us);
        return;
    }
}

/* Whether a message is the reply to the present attempt, with an intact
 * body. */
static bool
router_is_reply_intact(const router_call *state, const msg *reply)
{
    return reply->kind == MSG_REPLY && reply->reply.nonce == state->nonce &&
           correlation_checksum(reply->reply.body.bytes,
                                reply->reply.body.length) ==
               reply->reply.checksum;
}

/* Handle the end of the present attempt: replied to, not sent, or lost. */
void
router_on_attempt_done(router_state *r, int handle, const router_event *event,
                       int64_t now_us)
{
    router_call *state = &r->states[handle];
    if (event->result == RPC_CLIENT_NOT_SENT) {
        router_on_not_sent(r, handle, now_us);
        return;
    }
    if (state->phase == ROUTER_WAITING) {
        endpoint_get(r->endpoints, state->instance, now_us)->outstanding--;
    }
    if (event->result == RPC_CLIENT_REPLY &&
        router_is_reply_intact(state, event->reply)) {
        correlation_remove(r->correlations, state->nonce);
        router_on_reply(r, handle, &event->reply->reply, now_us);
        return;
    }
    state->reason = REASON_REPLY_LOST;
    if (event->result == RPC_CLIENT_REPLY) {
        counter_add_reason(REASON_REPLY_MISMATCH);
        state->reason = REASON_REPLY_MISMATCH;
    }
    state->delegated = 0;
    router_cancel_attempt(r, handle, now_us);
}

/* Ask the remote node not to dispatch the present attempt, or to stop it. */
void
router_cancel_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    const rpc_client_timeouts timeouts = {
        .connect_ms = RETRY_CONNECT_TIMEOUT_MS,
        .reply_ms = ROUTER_CANCEL_TIMEOUT_US / CLOCK_US_PER_MS};
    msg m = {.kind = MSG_CANCEL};
    m.cancel.nonce = state->nonce;
    call_outcome_set_attempt(&state->outcome, state->attempt,
                             CALL_OUTCOME_LOST);
    state->phase = ROUTER_CANCELLING;
    state->phase_timeout_us = now_us + ROUTER_CANCEL_TIMEOUT_US;
    counter_add(COUNTER_CANCELS, 1);
    if (!router_find_member(&entry, r, state->instance) ||
        rpc_client_send(r->cancels, entry.address, entry.control_port, &m,
                        state->nonce, &timeouts) < 0) {
        state->phase_timeout_us = now_us;
    }
}

/* Handle the reply to a cancel, or its timeout if `event` is NULL. A
 * confirmed cancel counts like an attempt that was never sent. */
void
router_on_cancel_done(router_state *r, int handle, const router_event *event,
                      int64_t now_us)
{
    router_call *state = &r->states[handle];
    bool confirmed =
        event != NULL && event->result == RPC_CLIENT_REPLY &&
        event->reply->kind == MSG_CANCELLED &&
        event->reply->cancelled.nonce == state->nonce &&
        event->reply->cancelled.result == DISPATCH_CANCEL_CONFIRMED;
    correlation_remove(r->correlations, state->nonce);
    if (confirmed) {
        call_outcome_set_attempt(&state->outcome, state->attempt,
                                 CALL_OUTCOME_CANCELLED);
        if (state->reason == REASON_REPLY_TIMEOUT) {
            state->reason = REASON_DEADLINE;
        }
    }
    router_handle_failure(r, handle,
                          confirmed ? RETRY_END_NOT_SENT : RETRY_END_UNKNOWN,
                          0, now_us);
}
