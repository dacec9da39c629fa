/* Calls for the local target: arrival, dispatch, result, cancellation. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admitter_private.h"
#include "lav/correlation.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/call_context.h"

/* Time past the deadline that the target has to respond, in seconds. */
#define ADMITTER_TIMEOUT_GRACE_S 2

/* Admission level reported to the calling node: the lower of the target's own
 * level and that of the services which the operation calls. */
static int
admitter_effective_level(const admitter_state *a, const admitter_call *call)
{
    int own = admission_get_level(a->admission);
    if (call->operation < 0) {
        return own;
    }
    int callees = atomic_load(&a->node->load.callee_levels[call->operation]);
    return callees < own ? callees : own;
}

/* Calls in flight and queued, in thousandths of the concurrency limit; 0
 * while the limit is 0. */
static int
admitter_load_permille(const admitter_state *a)
{
    int limit = admission_get_limit(a->admission);
    int calls = admission_in_flight_count(a->admission) +
                admission_queued_count(a->admission);
    return limit == 0 ? 0 : calls * 1000 / limit;
}

/* Completes and sends the reply to a call and frees its slot.  Takes
 * ownership of the reply's body. */
static void
admitter_reply(admitter_state *a, int slot, msg_reply *reply, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    msg m = {.kind = MSG_REPLY, .reply = *reply};
    m.reply.nonce = call->request->call.nonce;
    m.reply.level = admitter_effective_level(a, call);
    m.reply.load_permille = admitter_load_permille(a);
    m.reply.service_time_us = now_us - call->arrived_us;
    m.reply.config = a->policy_version;
    m.reply.checksum =
        correlation_checksum(m.reply.body.bytes, m.reply.body.length);
    msg_clear(call->request);
    free(call->request);
    memset(call, 0, sizeof(*call));
    rpc_server_reply(a->node->call_server, slot, &m);
    msg_clear(&m);
}

/* Records a decision on a call in the decision log. */
static void
admitter_log_decision(admitter_state *a, const admitter_call *call,
                      const char *what, enum reason reason)
{
    const msg_call *m = &call->request->call;
    decision_log_add(a->node->decisions, m->root, m->request, "%s, reason %s",
                     what, reason_name(reason));
}

/* Refuses a call that was never handed to the target.  `owner` is the
 * incarnation that owns the request id, or 0. Unless this is the first
 * attempt of the request, another attempt may be under way, so the record
 * then refuses the id for good. */
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
    admitter_log_decision(a, call, "refused before dispatch", reason);
    admitter_reply(a, slot, &reply, now_us);
}

/* Replies that it is not known whether the call has run or will run. */
static void
admitter_reply_unknown(admitter_state *a, int slot, enum reason reason,
                       int64_t now_us)
{
    msg_reply reply = {.outcome = OUTCOME_UNKNOWN, .reason = reason};
    counter_add_reason(reason);
    admitter_log_decision(a, &a->calls[slot], "outcome unknown", reason);
    admitter_reply(a, slot, &reply, now_us);
}

/* Replies with the recorded response of a request that has run already. */
static void
admitter_reply_recorded(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const dedup_response *recorded =
        dedup_find_response(a->record, &call->request_id);
    msg_reply reply = {.outcome = OUTCOME_DONE,
                       .reason = REASON_REPLAYED,
                       .status = recorded->status,
                       .budget = call->request->call.budget};
    memcpy(reply.content_type, recorded->content_type,
           sizeof(reply.content_type));
    if (msg_body_copy(&reply.body, recorded->body, recorded->length) < 0) {
        admitter_reply_unknown(a, slot, REASON_ALREADY_RAN, now_us);
        return;
    }
    counter_add_reason(REASON_REPLAYED);
    admitter_log_decision(a, call,
                          "response taken from the deduplication record",
                          REASON_REPLAYED);
    admitter_reply(a, slot, &reply, now_us);
}

/* Checks a call that is not idempotent against the deduplication record.
 * True if it may be queued; otherwise it has been replied to. */
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
        admitter_reply_unknown(a, slot, REASON_IN_PROGRESS, now_us);
        return false;
    case DEDUP_RESPONSE_STORED:
        admitter_reply_recorded(a, slot, now_us);
        return false;
    case DEDUP_ALREADY_RAN:
        admitter_reply_unknown(a, slot, REASON_ALREADY_RAN, now_us);
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

/* Looks up the operation and sets `operation` and `idempotent` of the call.
 * Returns a reason to refuse it if there is no configuration or the operation
 * is not one of this node's service. */
static enum reason
admitter_find_operation(admitter_state *a, admitter_call *call)
{
    const msg_call *m = &call->request->call;
    enum reason reason = REASON_UNKNOWN_OPERATION;
    snapshot_read_lock();
    const catalog *l = snapshot_get_config(a->node->snapshot)->catalog;
    int service =
        l == NULL ? CATALOG_NOT_FOUND : catalog_find_service(l, m->service);
    if (l == NULL) {
        reason = REASON_NO_CONFIG;
    }
    else if (service != CATALOG_NOT_FOUND &&
             strcmp(m->service, a->node->settings.service) == 0) {
        const svc_operation *operation =
            svc_find_operation(l->services[service], m->operation);
        if (operation != NULL) {
            call->operation =
                (int)(operation - l->services[service]->operations);
            call->idempotent = operation->idempotent;
            reason = REASON_NONE;
        }
    }
    snapshot_read_unlock();
    return reason;
}

/* Registers the attempt in the dispatch table.  Returns a reason to refuse it
 * if it is a duplicate, cancelled or too old, or if the table is full. */
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

/* Checks that come before admission: ids, operation, state of the target,
 * duplicate attempts.  Returns REASON_NONE or a reason to refuse the call.  A
 * draining target takes only calls that are not idempotent, and those only
 * during the grace period, since no other node may run them. */
static enum reason
admitter_check(admitter_state *a, admitter_call *call, int64_t now_us)
{
    const msg_call *m = &call->request->call;
    id root;
    if (id_parse(&call->request_id, m->request) < 0 ||
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

/* Hands a call to the target.  After this it must not be reported as "not
 * run" unless target_http proves that nothing was sent. */
static void
admitter_dispatch(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    target_http_job job = {.handle = slot,
                           .call = m,
                           .idempotent = call->idempotent,
                           .may_resend = call->idempotent && m->budget > 0};
    served_call_context served = {.klass = m->klass,
                                  .depth = m->depth,
                                  .first = m->first,
                                  .deadline_us = call->deadline_us};
    call_context context = {.klass = m->klass,
                            .depth = m->depth,
                            .time_left_us = call->deadline_us - now_us,
                            .budget = m->budget,
                            .token = m->nonce,
                            .first = m->first};
    (void)id_parse(&served.root, m->root);
    context.root = served.root;
    snprintf(served.operation, sizeof(served.operation), "%s.%s", m->service,
             m->operation);
    call_context_format(job.context, &context);
    memcpy(job.url, a->target.info.url, sizeof(job.url));
    job.timeout_s = (int)(context.time_left_us / CLOCK_US_PER_S) +
                    ADMITTER_TIMEOUT_GRACE_S;
    call->phase = ADMITTER_DISPATCHED;
    call->dispatched_us = now_us;
    if (dispatch_start(a->attempts, m->nonce) < 0) {
        abort(); /* only queued calls are dispatched */
    }
    if (call->recorded) {
        dedup_mark_dispatched(a->record, &call->request_id);
    }
    (void)served_call_open(a->node->served_calls, m->nonce, &served,
                           m->budget);
    counter_add(COUNTER_DISPATCHED, 1);
    if (target_http_submit(a->node->target_pool, &job) < 0) {
        target_http_result result = {.handle = slot,
                                     .outcome = TARGET_HTTP_NOT_SENT};
        admitter_call_handle_result(a, &result, now_us);
    }
}

/* Dispatches queued calls while the target has free slots. */
void
admitter_call_dispatch_next(admitter_state *a, int64_t now_us)
{
    int slot;
    while (admission_pop(&slot, a->admission, now_us)) {
        admitter_dispatch(a, slot, now_us);
    }
}

/* Passes a call to admission and dispatches, queues or refuses it.  A call
 * displaced from the full queue is refused. */
static void
admitter_admit(admitter_state *a, int slot, int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    const msg_call *m = &call->request->call;
    admission_call candidate = {.handle = slot,
                                .klass = m->klass,
                                .rank = id_rank(m->root),
                                .depth = m->depth,
                                .deadline_us = call->deadline_us,
                                .arrived_us = now_us};
    admission_result result =
        admission_decide(a->admission, &candidate, now_us);
    call->phase = ADMITTER_QUEUED;
    if (result.displaced != ADMISSION_NONE) {
        admitter_refuse(a, result.displaced, REASON_QUEUE_DISPLACED, 0,
                        now_us);
    }
    switch (result.decision) {
    case ADMISSION_DISPATCHED:
        admitter_dispatch(a, slot, now_us);
        return;
    case ADMISSION_QUEUED:
        return;
    case ADMISSION_REFUSED:
        admitter_refuse(a, slot, result.reason, 0, now_us);
        return;
    }
}

/* Handles a call that has arrived in a slot of the call server.  Takes
 * ownership of the request. */
void
admitter_call_handle_request(admitter_state *a, int slot, msg *request,
                             int64_t now_us)
{
    admitter_call *call = &a->calls[slot];
    memset(call, 0, sizeof(*call));
    call->request = request;
    call->operation = -1;
    call->arrived_us = now_us;
    call->deadline_us = now_us + request->call.time_left_us;
    enum reason reason = admitter_check(a, call, now_us);
    if (reason == REASON_IN_PROGRESS) {
        admitter_reply_unknown(a, slot, reason, now_us);
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

/* Replies with the response of the target and records it where the request is
 * not idempotent.  Takes ownership of the result's body. */
static void
admitter_reply_done(admitter_state *a, int slot, target_http_result *result,
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
        dedup_store_response(a->record, &call->request_id, result->status,
                             result->content_type, result->body.bytes,
                             result->body.length);
    }
    result->body = (msg_body){0, NULL};
    admitter_reply(a, slot, &reply, now_us);
}

/* Replies "not run" to a call for which no connection to the target could be
 * made, and marks the target down. */
static void
admitter_reply_not_sent(admitter_state *a, int slot, int64_t now_us)
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
    admitter_log_decision(a, call, "target is unreachable",
                          REASON_TARGET_DOWN);
    admitter_target_mark_down(a);
    admitter_reply(a, slot, &reply, now_us);
}

/* Handles the result of a call at the target.  Takes ownership of its body.
 * Only a complete response counts as a service time for the concurrency
 * limit; the time of the target's own calls is subtracted. */
void
admitter_call_handle_result(admitter_state *a, target_http_result *result,
                            int64_t now_us)
{
    int slot = result->handle;
    admitter_call *call = &a->calls[slot];
    int64_t subcalls_us = 0;
    int budget = served_call_close(&subcalls_us, a->node->served_calls,
                                   call->request->call.nonce, now_us);
    int64_t own_us = now_us - call->dispatched_us - subcalls_us;
    bool complete = result->outcome == TARGET_HTTP_DONE;
    admission_release_slot(a->admission, complete && own_us > 0 ? own_us : -1,
                           now_us);
    if (result->resent) {
        counter_add_reason(REASON_RETRY_HIDDEN_RESEND);
        budget = budget > 0 ? budget - 1 : 0;
    }
    switch (result->outcome) {
    case TARGET_HTTP_DONE:
        admitter_reply_done(a, slot, result, budget, now_us);
        return;
    case TARGET_HTTP_NOT_SENT:
        admitter_reply_not_sent(a, slot, now_us);
        return;
    case TARGET_HTTP_RESPONSE_LOST:
    case TARGET_HTTP_RESPONSE_TOO_LARGE:
        if (call->recorded) {
            dedup_mark_lost(a->record, &call->request_id);
        }
        admitter_reply_unknown(a, slot,
                               result->outcome == TARGET_HTTP_RESPONSE_LOST
                                   ? REASON_REPLY_TRUNCATED
                                   : REASON_REPLY_TOO_LARGE,
                               now_us);
        return;
    }
}

/* Slot of the call with this nonce, or ADMISSION_NONE. */
static int
admitter_find_call(const admitter_state *a, uint64_t nonce)
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

/* Tells the target, once, that a call was cancelled or has expired. */
static void
admitter_cancel_at_target(admitter_state *a, admitter_call *call)
{
    if (!call->cancel_sent) {
        call->cancel_sent = true;
        target_http_cancel(a->node->target_pool, a->target.info.url,
                           call->request->call.request);
    }
}

/* Cancels an attempt: removes it from the queue, or tells the target.
 * Returns whether the attempt can still run. */
enum dispatch_cancel
admitter_call_cancel(admitter_state *a, uint64_t nonce, int64_t now_us)
{
    int slot = admitter_find_call(a, nonce);
    if (slot != ADMISSION_NONE && a->calls[slot].phase == ADMITTER_QUEUED &&
        admission_remove(a->admission, slot)) {
        admitter_refuse(a, slot, REASON_CANCELLED, 0, now_us);
    }
    else if (slot != ADMISSION_NONE &&
             a->calls[slot].phase == ADMITTER_DISPATCHED) {
        admitter_cancel_at_target(a, &a->calls[slot]);
    }
    return dispatch_cancel(a->attempts, nonce, now_us);
}

/* Refuses queued calls that have waited too long, and cancels dispatched
 * calls whose deadline has passed where the policy says so. */
void
admitter_call_expire(admitter_state *a, int64_t now_us)
{
    admission_refusal refusal;
    while (admission_pop_expired(&refusal, a->admission, now_us)) {
        admitter_refuse(a, refusal.handle, refusal.reason, 0, now_us);
    }
    for (int i = 0; i < NODE_PEER_CALLS_MAX; i++) {
        admitter_call *call = &a->calls[i];
        if (call->phase == ADMITTER_DISPATCHED && a->policy.deadline_drop &&
            now_us > call->deadline_us) {
            admitter_cancel_at_target(a, call);
        }
    }
    dispatch_expire(a->attempts, now_us);
}
