/* Instances and attempts: pick one, send, judge what became of it. */
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/dispatch.h"
#include "lav/retry.h"
#include "rtr_private.h"

#define RTR_REPLY_GRACE_MS 30 /* a far node answers by the deadline itself */

typedef struct rtr_choice {
    size_t count;
    lb_candidate candidates[RTR_CANDIDATES_MAX];
    const swim_member *entries[RTR_CANDIDATES_MAX]; /* valid while read */
} rtr_choice;

static bool
rtr_was_tried(const rtr_call *state, uint64_t incarnation)
{
    for (size_t i = 0; i < state->tried_count; i++) {
        if (state->tried[i] == incarnation) {
            return true;
        }
    }
    return false;
}

static bool
rtr_takes_work(const swim_member *entry, bool desperate)
{
    return entry->state == SWIM_READY || entry->state == SWIM_SUSPECT ||
           (desperate && entry->state == SWIM_DEAD);
}

static void
rtr_gather_from(rtr_choice *out, rtr *r, const char *service,
                const char *operation, const rtr_call *state, bool desperate,
                int64_t now_us)
{
    const view_fleet *fleet = view_fleet_get(r->node->view);
    out->count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        if (strcmp(entry->service, service) != 0 ||
            !rtr_takes_work(entry, desperate) ||
            out->count == RTR_CANDIDATES_MAX) {
            continue;
        }
        const ins_instance *instance =
            ins_get(r->instances, entry->incarnation, now_us);
        lb_candidate *c = &out->candidates[out->count];
        c->incarnation = entry->incarnation;
        c->usable = now_us >= instance->down_until_us;
        c->usable = c->usable && (state == NULL ||
                                  !rtr_was_tried(state, entry->incarnation));
        c->same_zone = strcmp(entry->zone, r->node->settings.zone) == 0;
        c->level = admission_cache_get(r->levels, operation,
                                       entry->incarnation, now_us);
        c->outstanding = instance->outstanding;
        c->load_permille = ins_load(instance, now_us);
        out->entries[out->count++] = entry;
    }
}

/* The instances of a call's service, within a read of the fleet.  Where
 * gossip says that all are dead, they are asked all the same: it may be the
 * gossip that is cut off. */
static void
rtr_gather(rtr_choice *out, rtr *r, const char *service, const char *operation,
           const rtr_call *state, int64_t now_us)
{
    rtr_gather_from(out, r, service, operation, state, false, now_us);
    if (out->count == 0) {
        rtr_gather_from(out, r, service, operation, state, true, now_us);
    }
}

static int
rtr_priority(const rtr_call *state)
{
    return admission_priority_of(state->klass,
                                 state->policy.rank ? state->rank : 0);
}

/* Whether the call is known to be refused: by every instance, or by the one
 * that owns its id. */
bool
rtr_refused_early(rtr *r, int handle, int64_t now_us)
{
    const rtr_call *state = &r->states[handle];
    const cal_call *call = cal_get(r->calls, handle);
    rtr_choice choice;
    view_read_begin();
    rtr_gather(&choice, r, call->service, state->operation, NULL, now_us);
    view_read_end();
    if (!state->idempotent) {
        int owner = lb_pick_owner(choice.candidates, choice.count,
                                  id_hash(call->request.text));
        return owner != LB_NONE &&
               rtr_priority(state) >= choice.candidates[owner].level;
    }
    return lb_all_refuse(choice.candidates, choice.count, rtr_priority(state));
}

/* Level below which calls of an operation are taken: by at least one
 * instance, or on average by the one that owns the id. */
int
rtr_operation_level(rtr *r, const char *service, const char *operation,
                    bool idempotent, int64_t now_us)
{
    rtr_choice choice;
    int level = 0;
    view_read_begin();
    rtr_gather(&choice, r, service, operation, NULL, now_us);
    view_read_end();
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
rtr_choose(const rtr_choice *choice, const rtr_call *state,
           const cal_call *call)
{
    if (state->idempotent) {
        int priority = state->policy.early_refusal ? rtr_priority(state) : 0;
        return lb_pick(choice->candidates, choice->count, priority,
                       id_random());
    }
    return lb_pick_owner(choice->candidates, choice->count,
                         id_hash(call->request.text));
}

/* Units of the budget that go along with an attempt. */
static int
rtr_lend(rtr_call *state)
{
    int share = state->has_callees ? state->budget / 2 : 0;
    state->budget -= share;
    return share;
}

static void
rtr_fill(msg *out, const rtr *r, const rtr_call *state, const cal_call *call,
         bool none_ran, int64_t now_us)
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
    const ins_instance *instance =
        ins_get(r->instances, state->instance, now_us);
    m->time_left_us = state->deadline_us - now_us - instance->transit_us;
    m->sent_wall_ms = clock_wall_ms();
    m->checksum = correlation_checksum(call->body.bytes, call->body.length);
    m->body = call->body;
}

static void rtr_not_sent(rtr *r, int handle, int64_t now_us);

static void
rtr_send(rtr *r, int handle, const swim_member *entry, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    const cal_call *call = cal_get(r->calls, handle);
    msg m;
    bool none_ran = call_outcome_get(&state->truth) == OUTCOME_NOT_RUN;
    state->instance = entry->incarnation;
    state->nonce = id_random();
    state->attempt = call_outcome_add_attempt(&state->truth);
    state->lent = rtr_lend(state);
    state->sent_us = now_us;
    state->phase = RTR_WAITING;
    state->wake_us = state->deadline_us;
    rtr_fill(&m, r, state, call, none_ran, now_us);
    int64_t wait_ms =
        (state->deadline_us - now_us) / CLOCK_US_PER_MS + RTR_REPLY_GRACE_MS;
    counter_add(COUNTER_ATTEMPTS, 1);
    ins_get(r->instances, state->instance, now_us)->outstanding++;
    if (correlation_add(r->answers, state->nonce, handle, state->attempt) <
            0 ||
        per_send(r->attempts, entry->address, entry->peer_port, &m,
                 state->nonce, wait_ms) < 0) {
        rtr_not_sent(r, handle, now_us);
    }
}

static bool
rtr_find_member(swim_member *out, rtr *r, uint64_t incarnation)
{
    bool found = false;
    view_read_begin();
    const view_fleet *fleet = view_fleet_get(r->node->view);
    for (size_t i = 0; i < fleet->count && !found; i++) {
        found = fleet->entries[i].incarnation == incarnation;
        *out = fleet->entries[i];
    }
    view_read_end();
    return found;
}

/* The instance to send the next attempt to; false where there is none, and
 * then `out_reason` says why. */
static bool
rtr_next_instance(swim_member *out, enum reason *out_reason, rtr *r,
                  int handle, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    const cal_call *call = cal_get(r->calls, handle);
    rtr_choice choice;
    if (state->owner != 0) {
        *out_reason = REASON_OWNER_GONE;
        return rtr_find_member(out, r, state->owner);
    }
    view_read_begin();
    rtr_gather(&choice, r, call->service, state->operation, state, now_us);
    int picked = rtr_choose(&choice, state, call);
    if (picked != LB_NONE) {
        *out = *choice.entries[picked];
    }
    view_read_end();
    *out_reason = choice.count > 0 ? REASON_EARLY_REFUSAL : REASON_NO_TARGET;
    if (state->reason != REASON_NONE) {
        *out_reason = state->reason;
    }
    return picked != LB_NONE;
}

/* Send an attempt of a call, or answer it where there is nobody to ask. */
void
rtr_try(rtr *r, int handle, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    swim_member entry;
    enum reason reason = REASON_NONE;
    if (!rtr_next_instance(&entry, &reason, r, handle, now_us) ||
        state->truth.count == CALL_OUTCOME_ATTEMPTS_MAX) {
        rtr_finish(r, handle, reason, NULL, now_us);
        return;
    }
    xpl_note(r->node->decisions, state->root.text,
             cal_get(r->calls, handle)->request.text,
             "attempt %zu of %s to %s", state->truth.count + 1,
             state->operation, entry.name);
    rtr_send(r, handle, &entry, now_us);
}

static void
rtr_pass_over(rtr_call *state)
{
    if (state->tried_count < CALL_OUTCOME_ATTEMPTS_MAX) {
        state->tried[state->tried_count++] = state->instance;
    }
}

/* Count and take one unit of the budget; false where there is none. */
static bool
rtr_spend(rtr *r, rtr_call *state, enum reason counted)
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
rtr_after_failure(rtr *r, int handle, enum retry_end end, uint64_t owner,
                  int64_t now_us)
{
    rtr_call *state = &r->states[handle];
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
        rtr_pass_over(state);
        if (state->idempotent || state->reroutes == 1) {
            rtr_try(r, handle, now_us);
            return;
        }
        /* Owners are changing: give the news a moment. */
        state->phase = RTR_PAUSING;
        state->wake_us = now_us + RTR_ASK_PAUSE_US;
        return;
    case RETRY_RESEND:
        if (rtr_spend(r, state,
                      end == RETRY_END_LOST ? REASON_RETRY_AFTER_UNKNOWN
                                            : REASON_RETRY_AFTER_REFUSAL)) {
            rtr_pass_over(state);
            rtr_try(r, handle, now_us);
            return;
        }
        break;
    case RETRY_ASK_OWNER:
        if (rtr_spend(r, state, REASON_RETRY_AFTER_UNKNOWN)) {
            state->owner = state->instance;
            state->phase = RTR_PAUSING;
            state->wake_us = now_us + RTR_ASK_PAUSE_US;
            return;
        }
        break;
    }
    rtr_finish(r, handle, state->reason, NULL, now_us);
}

static void
rtr_not_sent(rtr *r, int handle, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    ins_instance *instance = ins_get(r->instances, state->instance, now_us);
    instance->outstanding--;
    instance->down_until_us = now_us + INS_DOWN_US;
    correlation_remove(r->answers, state->nonce);
    call_outcome_set_attempt(&state->truth, state->attempt,
                             CALL_OUTCOME_NOT_SENT);
    state->budget += state->lent;
    state->lent = 0;
    state->reason =
        state->idempotent ? REASON_PEER_UNREACHABLE : REASON_OWNER_UNREACHABLE;
    if (state->owner != 0) {
        /* Nobody else may run it, so there is nowhere to reroute it to. */
        rtr_finish(r, handle, state->reason, NULL, now_us);
        return;
    }
    rtr_after_failure(r, handle, RETRY_END_NOT_SENT, 0, now_us);
}

static void
rtr_replied(rtr *r, int handle, msg_reply *reply, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    ins_instance *instance = ins_get(r->instances, state->instance, now_us);
    ins_heard(instance, reply, now_us - state->sent_us, now_us);
    admission_cache_put(r->levels, state->operation, state->instance,
                        reply->level, now_us);
    state->budget += reply->budget < state->lent ? reply->budget : state->lent;
    state->lent = 0;
    state->reason = (enum reason)reply->reason;
    switch ((enum outcome)reply->outcome) {
    case OUTCOME_DONE:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_DONE);
        rtr_finish(r, handle, state->reason, reply, now_us);
        return;
    case OUTCOME_NOT_RUN:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_REFUSED);
        if (reply->settled) {
            call_outcome_refuse_for_good(&state->truth);
        }
        rtr_after_failure(r, handle, RETRY_END_REFUSED, reply->owner, now_us);
        return;
    case OUTCOME_UNKNOWN:
        call_outcome_set_attempt(&state->truth, state->attempt,
                                 CALL_OUTCOME_LOST);
        rtr_after_failure(r, handle, RETRY_END_LOST, 0, now_us);
        return;
    }
}

static bool
rtr_reply_whole(const rtr_call *state, const msg *reply)
{
    return reply->kind == MSG_REPLY && reply->reply.nonce == state->nonce &&
           correlation_checksum(reply->reply.body.bytes,
                                reply->reply.body.length) ==
               reply->reply.checksum;
}

/* An attempt is over: replied to, never sent, or lost. */
void
rtr_attempt_over(rtr *r, int handle, const rtr_event *event, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    if (event->result == PER_NOT_SENT) {
        rtr_not_sent(r, handle, now_us);
        return;
    }
    if (state->phase == RTR_WAITING) {
        ins_get(r->instances, state->instance, now_us)->outstanding--;
    }
    if (event->result == PER_REPLY && rtr_reply_whole(state, event->reply)) {
        correlation_remove(r->answers, state->nonce);
        rtr_replied(r, handle, &event->reply->reply, now_us);
        return;
    }
    state->reason = REASON_REPLY_LOST;
    if (event->result == PER_REPLY) {
        counter_add_reason(REASON_REPLY_MISMATCH);
        state->reason = REASON_REPLY_MISMATCH;
    }
    state->lent = 0;
    rtr_cancel(r, handle, now_us);
}

/* Ask the far node not to dispatch the present attempt, or to stop it. */
void
rtr_cancel(rtr *r, int handle, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    swim_member entry;
    msg m = {.kind = MSG_CANCEL};
    m.cancel.nonce = state->nonce;
    call_outcome_set_attempt(&state->truth, state->attempt, CALL_OUTCOME_LOST);
    state->phase = RTR_CANCELLING;
    state->wake_us = now_us + RTR_CANCEL_WAIT_US;
    counter_add(COUNTER_CANCELS, 1);
    if (!rtr_find_member(&entry, r, state->instance) ||
        per_send(r->cancels, entry.address, entry.control_port, &m,
                 state->nonce, RTR_CANCEL_WAIT_US / CLOCK_US_PER_MS) < 0) {
        state->wake_us = now_us;
    }
}

/* A cancel is answered, or `event` is NULL and it is not.  A confirmed one
 * is as good as an attempt that was never sent. */
void
rtr_cancel_over(rtr *r, int handle, const rtr_event *event, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    bool confirmed =
        event != NULL && event->result == PER_REPLY &&
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
    rtr_after_failure(
        r, handle, confirmed ? RETRY_END_NOT_SENT : RETRY_END_LOST, 0, now_us);
}
