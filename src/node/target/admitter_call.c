/* Calls at the local target's node: arrival, dispatch, answer, cancel. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admitter_private.h"
#include "lav/correlation.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/call_context.h"

#define ADMITTER_TIMEOUT_GRACE_S                                              \
    2 /* after the deadline, for the target's answer */

static int
admitter_level(const admitter_state *a, const admitter_call *call)
{
    int own = admission_get_level(a->admission);
    if (call->operation < 0) {
        return own;
    }
    int below = atomic_load(&a->node->load.callee_levels[call->operation]);
    return below < own ? below : own;
}

static int
admitter_load_permille(const admitter_state *a)
{
    int limit = admission_get_limit(a->admission);
    int calls = admission_in_flight_count(a->admission) +
                admission_queued_count(a->admission);
    return limit == 0 ? 0 : calls * 1000 / limit;
}

/* Send a reply and free the slot.  Takes the reply's body over. */
static void
admitter_reply(admitter_state *a, int slot, msg_reply *reply, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    msg m = {.kind = MSG_REPLY, .reply = *reply};
    m.reply.nonce = call->request->call.nonce;
    m.reply.level = admitter_level(a, call);
    m.reply.load_permille = admitter_load_permille(a);
    m.reply.service_time_us = now_us - call->arrived_us;
    m.reply.config = a->policy_version;
    m.reply.checksum =
        correlation_checksum(m.reply.body.bytes, m.reply.body.length);
    msg_clear(call->request);
    free(call->request);
    memset(call, 0, sizeof(*call));
    rpc_server_reply(a->node->receiver, slot, &m);
    msg_clear(&m);
}

static void
admitter_note(admitter_state *a, const admitter_call *call, const char *what,
              enum reason reason)
{
    const msg_call *m = &call->request->call;
    decision_log_add(a->node->decisions, m->root, m->request, "%s, reason %s",
                     what, reason_name(reason));
}

/* Refuse a call that was never handed to the target. */
static void
admitter_refuse(admitter_state *a, int slot, enum reason reason,
                uint64_t owner, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    msg_reply reply = {.outcome = OUTCOME_NOT_RUN,
                       .reason = reason,
                       .budget = m->budget,
                       .owner = owner};
    dispatch_mark_refused(a->attempts, m->nonce);
    if (call->recorded) {
        dedup_mark_refused(a->record, &call->request_id, !m->first);
        reply.settled = !m->first;
    }
    counter_add_reason(reason);
    admitter_note(a, call, "refused before dispatch", reason);
    admitter_reply(a, slot, &reply, now_us);
}

static void
admitter_unknown(admitter_state *a, int slot, enum reason reason,
                 int64_t now_us)
{
    msg_reply reply = {.outcome = OUTCOME_UNKNOWN, .reason = reason};
    counter_add_reason(reason);
    admitter_note(a, &a->calls[slot], "unknown", reason);
    admitter_reply(a, slot, &reply, now_us);
}

static void
admitter_replay(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const dedup_answer *kept = dedup_find_answer(a->record, &call->request_id);
    msg_reply reply = {.outcome = OUTCOME_DONE,
                       .reason = REASON_REPLAYED,
                       .status = kept->status,
                       .budget = call->request->call.budget};
    memcpy(reply.content_type, kept->content_type, sizeof(reply.content_type));
    if (msg_body_copy(&reply.body, kept->body, kept->length) < 0) {
        admitter_unknown(a, slot, REASON_ALREADY_RAN, now_us);
        return;
    }
    counter_add_reason(REASON_REPLAYED);
    admitter_note(a, call, "answered from the record", REASON_REPLAYED);
    admitter_reply(a, slot, &reply, now_us);
}

/* Ask the record about a call that is not idempotent; true where it may be
 * queued, else it has been answered. */
static bool
admitter_consult_record(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const id *request = &call->request_id;
    uint64_t owner = 0;
    enum reason reason = REASON_NONE;
    switch (dedup_decide(a->record, request, clock_wall_ms())) {
    case DEDUP_RUN:
        call->recorded = true;
        return true;
    case DEDUP_IN_PROGRESS:
        admitter_unknown(a, slot, REASON_IN_PROGRESS, now_us);
        return false;
    case DEDUP_ANSWERED:
        admitter_replay(a, slot, now_us);
        return false;
    case DEDUP_ALREADY_RAN:
        admitter_unknown(a, slot, REASON_ALREADY_RAN, now_us);
        return false;
    case DEDUP_REFUSED: {
        msg_reply reply = {.outcome = OUTCOME_NOT_RUN,
                           .reason = REASON_CANCELLED,
                           .settled = true};
        counter_add_reason(REASON_CANCELLED);
        admitter_reply(a, slot, &reply, now_us);
        return false;
    }
    case DEDUP_WRONG_OWNER:
        reason = REASON_WRONG_OWNER;
        owner = dedup_find_owner(a->record, request);
        owner = owner == a->node->incarnation ? 0 : owner;
        break;
    case DEDUP_NO_HORIZON:
        reason = REASON_NO_HORIZON;
        break;
    case DEDUP_TOO_OLD:
        reason = REASON_ID_TOO_OLD;
        break;
    case DEDUP_IN_FUTURE:
        reason = REASON_ID_IN_FUTURE;
        break;
    case DEDUP_RECORD_FULL:
        reason = REASON_RECORD_FULL;
        break;
    }
    admitter_refuse(a, slot, reason, owner, now_us);
    return false;
}

/* Find the operation; a reason where the call can't be for this target. */
static enum reason
admitter_find_operation(admitter_state *a, admitter_call *call)
{
    const msg_call *m = &call->request->call;
    enum reason reason = REASON_UNKNOWN_OPERATION;
    snapshot_read_lock();
    const catalog *l = snapshot_get_config(a->node->snapshot)->landscape;
    int own =
        l == NULL ? CATALOG_NOT_FOUND : catalog_find_service(l, m->service);
    if (l == NULL) {
        reason = REASON_NO_CONFIG;
    }
    else if (own != CATALOG_NOT_FOUND &&
             strcmp(m->service, a->node->settings.service) == 0) {
        const svc_operation *operation =
            svc_find_operation(l->services[own], m->operation);
        if (operation != NULL) {
            call->operation = (int)(operation - l->services[own]->operations);
            call->idempotent = operation->idempotent;
            reason = REASON_NONE;
        }
    }
    snapshot_read_unlock();
    return reason;
}

static enum reason
admitter_check_attempt(admitter_state *a, const admitter_call *call,
                       int64_t now_us)
{
    const msg_call *m = &call->request->call;
    int64_t age_ms = clock_wall_ms() - m->sent_wall_ms;
    switch (dispatch_add(a->attempts, m->nonce, age_ms, now_us)) {
    case DISPATCH_NEW:
        return REASON_NONE;
    case DISPATCH_DUPLICATE:
        return REASON_IN_PROGRESS;
    case DISPATCH_ALREADY_CANCELLED:
        return REASON_CANCELLED;
    case DISPATCH_TOO_OLD:
        return REASON_ID_TOO_OLD;
    case DISPATCH_TABLE_FULL:
        return REASON_TABLE_FULL;
    }
    return REASON_BAD_REQUEST;
}

/* What forbids the call before admission looks at it. */
static enum reason
admitter_check(admitter_state *a, admitter_call *call, int64_t now_us)
{
    const msg_call *m = &call->request->call;
    id root;
    if (call->request->kind != MSG_CALL ||
        id_parse(&call->request_id, m->request) < 0 ||
        id_parse(&root, m->root) < 0) {
        return REASON_BAD_REQUEST;
    }
    if (correlation_checksum(m->body.bytes, m->body.length) != m->checksum) {
        return REASON_BAD_MESSAGE;
    }
    enum reason reason = admitter_find_operation(a, call);
    if (reason != REASON_NONE) {
        return reason;
    }
    if (!admitter_target_is_up(a, now_us)) {
        return REASON_TARGET_DOWN;
    }
    if (a->target.draining &&
        (call->idempotent || !admitter_target_in_drain_grace(a, now_us))) {
        return REASON_DRAINING;
    }
    return admitter_check_attempt(a, call, now_us);
}

/* Hand a call to the target.  From here on nobody may say "not run". */
static void
admitter_dispatch(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    target_http_job job = {.handle = slot,
                           .call = m,
                           .idempotent = call->idempotent,
                           .may_resend = call->idempotent && m->budget > 0};
    served_call_context context = {.klass = m->klass,
                                   .depth = m->depth,
                                   .first = m->first,
                                   .deadline_us = call->deadline_us};
    call_context sent = {.klass = m->klass,
                         .depth = m->depth,
                         .time_left_us = call->deadline_us - now_us,
                         .budget = m->budget,
                         .token = m->nonce,
                         .first = m->first};
    (void)id_parse(&context.root, m->root);
    sent.root = context.root;
    snprintf(context.operation, sizeof(context.operation), "%s.%s", m->service,
             m->operation);
    call_context_format(job.context, &sent);
    memcpy(job.url, a->target.said.url, sizeof(job.url));
    job.timeout_s =
        (int)(sent.time_left_us / CLOCK_US_PER_S) + ADMITTER_TIMEOUT_GRACE_S;
    call->phase = ADMITTER_AT_TARGET;
    call->dispatched_us = now_us;
    if (dispatch_start(a->attempts, m->nonce) < 0) {
        abort(); /* a call that is not queued is never dispatched */
    }
    if (call->recorded) {
        dedup_mark_dispatched(a->record, &call->request_id);
    }
    (void)served_call_open(a->node->served_calls, m->nonce, &context,
                           m->budget);
    counter_add(COUNTER_DISPATCHED, 1);
    if (target_http_submit(a->node->target_pool, &job) < 0) {
        target_http_result result = {.handle = slot,
                                     .end = TARGET_HTTP_NOT_SENT};
        admitter_call_handle_result(a, &result, now_us);
    }
}

/* Fill free slots of the target from the queue. */
void
admitter_call_dispatch_next(admitter_state *a, int64_t now_us)
{
    int slot;
    while (admission_pop(&slot, a->admission, now_us)) {
        admitter_dispatch(a, slot, now_us);
    }
}

static void
admitter_admit(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    admission_call asked = {.handle = slot,
                            .klass = m->klass,
                            .rank = id_rank(m->root),
                            .depth = m->depth,
                            .deadline_us = call->deadline_us,
                            .arrived_us = now_us};
    admission_result verdict = admission_decide(a->admission, &asked, now_us);
    call->phase = ADMITTER_QUEUED;
    if (verdict.displaced != ADMISSION_NONE) {
        admitter_refuse(a, verdict.displaced, REASON_QUEUE_DISPLACED, 0,
                        now_us);
    }
    switch (verdict.decision) {
    case ADMISSION_DISPATCHED:
        admitter_dispatch(a, slot, now_us);
        return;
    case ADMISSION_QUEUED:
        return;
    case ADMISSION_REFUSED:
        admitter_refuse(a, slot, verdict.reason, 0, now_us);
        return;
    }
}

/* A call has arrived in a slot of the receiver; takes the request over. */
void
admitter_call_handle_request(admitter_state *a, int slot, msg *request,
                             int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    memset(call, 0, sizeof(*call));
    call->request = request;
    call->operation = -1;
    call->arrived_us = now_us;
    if (request->kind == MSG_CALL) {
        call->deadline_us = now_us + request->call.time_left_us;
    }
    enum reason reason = admitter_check(a, call, now_us);
    if (reason == REASON_IN_PROGRESS) {
        admitter_unknown(a, slot, reason, now_us);
        return;
    }
    if (reason != REASON_NONE) {
        admitter_refuse(a, slot, reason, 0, now_us);
        return;
    }
    if (!call->idempotent && !admitter_consult_record(a, slot, now_us)) {
        return;
    }
    admitter_admit(a, slot, now_us);
}

static void
admitter_done(admitter_state *a, int slot, target_http_result *result,
              int budget, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    msg_reply reply = {.outcome = OUTCOME_DONE,
                       .reason = REASON_NONE,
                       .status = result->status,
                       .budget = budget,
                       .body = result->body};
    memcpy(reply.content_type, result->content_type,
           sizeof(reply.content_type));
    if (call->recorded) {
        dedup_store_answer(a->record, &call->request_id, result->status,
                           result->content_type, result->body.bytes,
                           result->body.length);
    }
    result->body = (msg_body){0, NULL};
    admitter_reply(a, slot, &reply, now_us);
}

static void
admitter_not_delivered(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    msg_reply reply = {.outcome = OUTCOME_NOT_RUN,
                       .reason = REASON_TARGET_DOWN,
                       .budget = m->budget};
    if (call->recorded) {
        dedup_mark_unsent(a->record, &call->request_id, !m->first);
        reply.settled = !m->first;
    }
    counter_add_reason(REASON_TARGET_DOWN);
    admitter_note(a, call, "the target can't be reached", REASON_TARGET_DOWN);
    admitter_target_mark_down(a);
    admitter_reply(a, slot, &reply, now_us);
}

/* A call is over at the target.  Takes the result's body over. */
void
admitter_call_handle_result(admitter_state *a, target_http_result *result,
                            int64_t now_us)
{
    int slot = result->handle;
    admitter_call *call = &a->calls[slot];
    int64_t calls_us = 0;
    int budget = served_call_close(&calls_us, a->node->served_calls,
                                   call->request->call.nonce, now_us);
    int64_t own_us = now_us - call->dispatched_us - calls_us;
    bool answered = result->end == TARGET_HTTP_DONE;
    admission_release_slot(a->admission, answered && own_us > 0 ? own_us : -1,
                           now_us);
    if (result->resent) {
        counter_add_reason(REASON_RETRY_HIDDEN_RESEND);
        budget = budget > 0 ? budget - 1 : 0;
    }
    switch (result->end) {
    case TARGET_HTTP_DONE:
        admitter_done(a, slot, result, budget, now_us);
        return;
    case TARGET_HTTP_NOT_SENT:
        admitter_not_delivered(a, slot, now_us);
        return;
    case TARGET_HTTP_ANSWER_LOST:
    case TARGET_HTTP_ANSWER_TOO_LARGE:
        if (call->recorded) {
            dedup_mark_lost(a->record, &call->request_id);
        }
        admitter_unknown(a, slot,
                         result->end == TARGET_HTTP_ANSWER_LOST
                             ? REASON_REPLY_TRUNCATED
                             : REASON_REPLY_TOO_LARGE,
                         now_us);
        return;
    }
}

static int
admitter_find_nonce(const admitter_state *a, uint64_t nonce)
{
    for (int i = 0; i < NODE_PEER_CALLS_MAX; i++) {
        const admitter_call *call = &a->calls[i];
        if (call->phase != ADMITTER_FREE &&
            call->request->call.nonce == nonce) {
            return i;
        }
    }
    return ADMISSION_NONE;
}

static void
admitter_tell_target(admitter_state *a, admitter_call *call)
{
    if (!call->cancel_sent) {
        call->cancel_sent = true;
        target_http_cancel(a->node->target_pool, a->target.said.url,
                           call->request->call.request);
    }
}

/* Cancel an attempt: out of the queue, or at the target. */
enum dispatch_cancel
admitter_call_cancel(admitter_state *a, uint64_t nonce, int64_t now_us)
{
    int slot = admitter_find_nonce(a, nonce);
    if (slot != ADMISSION_NONE && a->calls[slot].phase == ADMITTER_QUEUED &&
        admission_remove(a->admission, slot)) {
        admitter_refuse(a, slot, REASON_CANCELLED, 0, now_us);
    }
    else if (slot != ADMISSION_NONE &&
             a->calls[slot].phase == ADMITTER_AT_TARGET) {
        admitter_tell_target(a, &a->calls[slot]);
    }
    return dispatch_cancel(a->attempts, nonce, now_us);
}

/* Drop queued calls that have waited too long, and tell the target of calls
 * whose deadline has passed. */
void
admitter_call_expire(admitter_state *a, int64_t now_us)
{
    admission_refusal refusal;
    while (admission_pop_expired(&refusal, a->admission, now_us)) {
        admitter_refuse(a, refusal.handle, refusal.reason, 0, now_us);
    }
    for (int i = 0; i < NODE_PEER_CALLS_MAX; i++) {
        admitter_call *call = &a->calls[i];
        if (call->phase == ADMITTER_AT_TARGET && a->policy.deadline_drop &&
            now_us > call->deadline_us) {
            admitter_tell_target(a, call);
        }
    }
    dispatch_expire(a->attempts, now_us);
}
