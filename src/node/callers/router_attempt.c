/* Instances and attempts: pick one, send, judge what became of it. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/dispatch.h"
#include "lav/retry.h"
#include "router_private.h"

#define ROUTER_REPLY_GRACE_MS                                                 \
    30 /* a far node answers by the deadline itself */

typedef struct router_choice {
    size_t count;
    lb_candidate candidates[ROUTER_CANDIDATES_MAX];
    const swim_member *entries[ROUTER_CANDIDATES_MAX]; /* valid while read */
} router_choice;

static bool
router_was_tried(const router_call *state, uint64_t incarnation)
{
    for (size_t i = 0; i < state->tried_count; i++) {
        if (state->tried[i] == incarnation) {
            return true;
        }
    }
    return false;
}

static bool
router_takes_work(const swim_member *entry, bool desperate)
{
    return entry->state == SWIM_READY || entry->state == SWIM_SUSPECT ||
           (desperate && entry->state == SWIM_DEAD);
}

static void
router_gather_from(router_choice *out, router_state *r, const char *service,
                   const char *operation, const router_call *state,
                   bool desperate, int64_t now_us)
{
    const snapshot_fleet *fleet = snapshot_get_fleet(r->node->snapshot);
    out->count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        if (strcmp(entry->service, service) != 0 ||
            !router_takes_work(entry, desperate) ||
            out->count == ROUTER_CANDIDATES_MAX) {
            continue;
        }
        const endpoint *instance =
            endpoint_get(r->instances, entry->incarnation, now_us);
        lb_candidate *c = &out->candidates[out->count];
        c->incarnation = entry->incarnation;
        c->usable = now_us >= instance->backoff_until_us;
        c->usable =
            c->usable &&
            (state == NULL || !router_was_tried(state, entry->incarnation));
        c->same_zone = strcmp(entry->zone, r->node->settings.zone) == 0;
        c->level = admission_cache_get(r->levels, operation,
                                       entry->incarnation, now_us);
        c->outstanding = instance->outstanding;
        c->load_permille = endpoint_load_permille(instance, now_us);
        out->entries[out->count++] = entry;
    }
}

/* The instances of a call's service, within a read of the fleet.  Where
 * gossip says that all are dead, they are asked all the same: it may be the
 * gossip that is cut off. */
static void
router_gather(router_choice *out, router_state *r, const char *service,
              const char *operation, const router_call *state, int64_t now_us)
{
    router_gather_from(out, r, service, operation, state, false, now_us);
    if (out->count == 0) {
        router_gather_from(out, r, service, operation, state, true, now_us);
    }
}

static int
router_priority(const router_call *state)
{
    return admission_priority_of(state->klass,
                                 state->policy.rank ? state->rank : 0);
}

/* Whether the call is known to be refused: by every instance, or by the one
 * that owns its id. */
bool
router_is_refused_early(router_state *r, int handle, int64_t now_us)
{
    const router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    router_choice choice;
    snapshot_read_lock();
    router_gather(&choice, r, call->service, state->operation, NULL, now_us);
    snapshot_read_unlock();
    if (!state->idempotent) {
        int owner = lb_pick_owner(choice.candidates, choice.count,
                                  id_hash(call->request.text));
        return owner != LB_NONE &&
               router_priority(state) >= choice.candidates[owner].level;
    }
    return lb_all_refuse(choice.candidates, choice.count,
                         router_priority(state));
}

/* Level below which calls of an operation are taken: by at least one
 * instance, or on average by the one that owns the id. */
int
router_get_operation_level(router_state *r, const char *service,
                           const char *operation, bool idempotent,
                           int64_t now_us)
{
    router_choice choice;
    int level = 0;
    snapshot_read_lock();
    router_gather(&choice, r, service, operation, NULL, now_us);
    snapshot_read_unlock();
    if (!idempotent) {
        return lb_mean_level(choice.candidates, choice.count);
    }
    for (size_t i = 0; i < choice.count; i++) {
        if (choice.candidates[i].level > level) {
            level = choice.candidates[i].level;
        }
    }
    return choice.count == 0 ? ADMISSION_LEVEL_MAX : level;
}

static int
router_choose(const router_choice *choice, const router_call *state,
              const pending_call *call)
{
    if (state->idempotent) {
        int priority =
            state->policy.early_refusal ? router_priority(state) : 0;
        return lb_pick(choice->candidates, choice->count, priority,
                       id_random());
    }
    return lb_pick_owner(choice->candidates, choice->count,
                         id_hash(call->request.text));
}

/* Units of the budget that go along with an attempt. */
static int
router_lend(router_call *state)
{
    int share = state->has_callees ? state->budget / 2 : 0;
    state->budget -= share;
    return share;
}

static void
router_fill(msg *out, const router_state *r, const router_call *state,
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
    m->budget = state->lent;
    m->first = none_ran;
    const endpoint *instance =
        endpoint_get(r->instances, state->instance, now_us);
    m->time_left_us = state->deadline_us - now_us - instance->one_way_us;
    m->sent_wall_ms = clock_wall_ms();
    m->checksum = correlation_checksum(call->body.bytes, call->body.length);
    m->body = call->body;
}

static void router_not_sent(router_state *r, int handle, int64_t now_us);

static void
router_send(router_state *r, int handle, const swim_member *entry,
            int64_t now_us)
{
    router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    msg m;
    bool none_ran = call_outcome_get(&state->truth) == OUTCOME_NOT_RUN;
    state->instance = entry->incarnation;
    state->nonce = id_random();
    state->attempt = call_outcome_add_attempt(&state->truth);
    state->lent = router_lend(state);
    state->sent_us = now_us;
    state->phase = ROUTER_WAITING;
    state->phase_timeout_us = state->deadline_us;
    router_fill(&m, r, state, call, none_ran, now_us);
    int64_t wait_ms = (state->deadline_us - now_us) / CLOCK_US_PER_MS +
                      ROUTER_REPLY_GRACE_MS;
    counter_add(COUNTER_ATTEMPTS, 1);
    endpoint_get(r->instances, state->instance, now_us)->outstanding++;
    if (correlation_add(r->answers, state->nonce, handle, state->attempt) <
            0 ||
        rpc_client_send(r->attempts, entry->address, entry->peer_port, &m,
                        state->nonce, wait_ms) < 0) {
        router_not_sent(r, handle, now_us);
    }
}

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

/* The instance to send the next attempt to; false where there is none, and
 * then `out_reason` says why. */
static bool
router_next_instance(swim_member *out, enum reason *out_reason,
                     router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    const pending_call *call = pending_get(r->calls, handle);
    router_choice choice;
    if (state->owner != 0) {
        *out_reason = REASON_OWNER_GONE;
        return router_find_member(out, r, state->owner);
    }
    snapshot_read_lock();
    router_gather(&choice, r, call->service, state->operation, state, now_us);
    int picked = router_choose(&choice, state, call);
    if (picked != LB_NONE) {
        *out = *choice.entries[picked];
    }
    snapshot_read_unlock();
    *out_reason = choice.count > 0 ? REASON_EARLY_REFUSAL : REASON_NO_TARGET;
    if (state->reason != REASON_NONE) {
        *out_reason = state->reason;
    }
    return picked != LB_NONE;
}

/* Send an attempt of a call, or answer it where there is nobody to ask. */
void
router_send_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    enum reason reason = REASON_NONE;
    if (!router_next_instance(&entry, &reason, r, handle, now_us) ||
        state->truth.count == CALL_OUTCOME_ATTEMPTS_MAX) {
        router_answer_call(r, handle, reason, NULL, now_us);
        return;
    }
    decision_log_add(r->node->decisions, state->root.text,
                     pending_get(r->calls, handle)->request.text,
                     "attempt %zu of %s to %s", state->truth.count + 1,
                     state->operation, entry.name);
    router_send(r, handle, &entry, now_us);
}

static void
router_pass_over(router_call *state)
{
    if (state->tried_count < CALL_OUTCOME_ATTEMPTS_MAX) {
        state->tried[state->tried_count++] = state->instance;
    }
}

/* Count and take one unit of the budget; false where there is none. */
static bool
router_spend(router_state *r, router_call *state, enum reason counted)
{
    if (state->policy.retries == SVC_RETRIES_CHAIN &&
        retry_bucket_take(&r->bucket) < 0) {
        return false;
    }
    state->budget--;
    counter_add_reason(counted);
    return true;
}

/* Make another attempt, or answer. */
static void
router_after_failure(router_state *r, int handle, enum retry_end end,
                     uint64_t owner, int64_t now_us)
{
    router_call *state = &r->states[handle];
    retry_failure c = {end,
                       state->reason,
                       state->idempotent,
                       state->budget,
                       state->reroutes,
                       state->caller_gone ? 0 : state->deadline_us - now_us};
    switch (retry_decide(&c)) {
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
        router_pass_over(state);
        if (state->idempotent || state->reroutes == 1) {
            router_send_attempt(r, handle, now_us);
            return;
        }
        /* Owners are changing: give the news a moment. */
        state->phase = ROUTER_BACKING_OFF;
        state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
        return;
    case RETRY_RESEND:
        if (router_spend(r, state,
                         end == RETRY_END_LOST ? REASON_RETRY_AFTER_UNKNOWN
                                               : REASON_RETRY_AFTER_REFUSAL)) {
            router_pass_over(state);
            router_send_attempt(r, handle, now_us);
            return;
        }
        break;
    case RETRY_ASK_OWNER:
        if (router_spend(r, state, REASON_RETRY_AFTER_UNKNOWN)) {
            state->owner = state->instance;
            state->phase = ROUTER_BACKING_OFF;
            state->phase_timeout_us = now_us + ROUTER_OWNER_RETRY_DELAY_US;
            return;
        }
        break;
    }
    router_answer_call(r, handle, state->reason, NULL, now_us);
}

static void
router_not_sent(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *instance = endpoint_get(r->instances, state->instance, now_us);
    instance->outstanding--;
    instance->backoff_until_us = now_us + ENDPOINT_BACKOFF_US;
    correlation_remove(r->answers, state->nonce);
    call_outcome_set_attempt(&state->truth, state->attempt,
                             CALL_OUTCOME_NOT_SENT);
    state->budget += state->lent;
    state->lent = 0;
    state->reason =
        state->idempotent ? REASON_PEER_UNREACHABLE : REASON_OWNER_UNREACHABLE;
    if (state->owner != 0) {
        /* Nobody else may run it, so there is nowhere to reroute it to. */
        router_answer_call(r, handle, state->reason, NULL, now_us);
        return;
    }
    router_after_failure(r, handle, RETRY_END_NOT_SENT, 0, now_us);
}

static void
router_replied(router_state *r, int handle, msg_reply *reply, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint *instance = endpoint_get(r->instances, state->instance, now_us);
    endpoint_record_reply(instance, reply, now_us - state->sent_us, now_us);
    admission_cache_put(r->levels, state->operation, state->instance,
                        reply->level, now_us);
    state->budget += reply->budget < state->lent ? reply->budget : state->lent;
    state->lent = 0;
    state->reason = (enum reason)reply->reason;
    switch ((enum outcome)reply->outcome) {
    case OUTCOME_DONE:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_DONE);
        router_answer_call(r, handle, state->reason, reply, now_us);
        return;
    case OUTCOME_NOT_RUN:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_REFUSED);
        if (reply->settled) {
            call_outcome_refuse_for_good(&state->truth);
        }
        router_after_failure(r, handle, RETRY_END_REFUSED, reply->owner,
                             now_us);
        return;
    case OUTCOME_UNKNOWN:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_LOST);
        router_after_failure(r, handle, RETRY_END_LOST, 0, now_us);
        return;
    }
}

static bool
router_reply_whole(const router_call *state, const msg *reply)
{
    return reply->kind == MSG_REPLY && reply->reply.nonce == state->nonce &&
           correlation_checksum(reply->reply.body.bytes,
                                reply->reply.body.length) ==
               reply->reply.checksum;
}

/* An attempt is over: replied to, never sent, or lost. */
void
router_on_attempt_done(router_state *r, int handle, const router_event *event,
                       int64_t now_us)
{
    router_call *state = &r->states[handle];
    if (event->result == RPC_CLIENT_NOT_SENT) {
        router_not_sent(r, handle, now_us);
        return;
    }
    if (state->phase == ROUTER_WAITING) {
        endpoint_get(r->instances, state->instance, now_us)->outstanding--;
    }
    if (event->result == RPC_CLIENT_REPLY &&
        router_reply_whole(state, event->reply)) {
        correlation_remove(r->answers, state->nonce);
        router_replied(r, handle, &event->reply->reply, now_us);
        return;
    }
    state->reason = REASON_REPLY_LOST;
    if (event->result == RPC_CLIENT_REPLY) {
        counter_add_reason(REASON_REPLY_MISMATCH);
        state->reason = REASON_REPLY_MISMATCH;
    }
    state->lent = 0;
    router_cancel_attempt(r, handle, now_us);
}

/* Ask the far node not to dispatch the present attempt, or to stop it. */
void
router_cancel_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    swim_member entry;
    msg m = {.kind = MSG_CANCEL};
    m.cancel.nonce = state->nonce;
    call_outcome_set_attempt(&state->truth, state->attempt, CALL_OUTCOME_LOST);
    state->phase = ROUTER_CANCELLING;
    state->phase_timeout_us = now_us + ROUTER_CANCEL_TIMEOUT_US;
    counter_add(COUNTER_CANCELS, 1);
    if (!router_find_member(&entry, r, state->instance) ||
        rpc_client_send(r->cancels, entry.address, entry.control_port, &m,
                        state->nonce,
                        ROUTER_CANCEL_TIMEOUT_US / CLOCK_US_PER_MS) < 0) {
        state->phase_timeout_us = now_us;
    }
}

/* A cancel is answered, or `event` is NULL and it is not.  A confirmed one
 * is as good as an attempt that was never sent. */
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
    correlation_remove(r->answers, state->nonce);
    if (confirmed) {
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_CANCELLED);
        if (state->reason == REASON_REPLY_TIMEOUT) {
            state->reason = REASON_DEADLINE;
        }
    }
    router_after_failure(
        r, handle, confirmed ? RETRY_END_NOT_SENT : RETRY_END_LOST, 0, now_us);
}
