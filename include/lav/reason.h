/*
 * reason: the three possible outcomes of a request and the list of reasons for
 * refusals, retries and unknown outcomes.  Each reason has a counter; the
 * texts are part of the wire format.
 */
#ifndef LAV_REASON_H
#define LAV_REASON_H

#ifdef __cplusplus
extern "C" {
#endif

enum outcome {
    OUTCOME_DONE,    /* the target responded in full */
    OUTCOME_NOT_RUN, /* never dispatched to a target, and never will be */
    OUTCOME_UNKNOWN  /* may have run; there is no trustworthy response */
};

/* REASON_LIST(X) expands to X(identifier, text on the wire and in metrics)
 * for each reason. */
#define REASON_LIST(X)                                                        \
    X(NONE, "none")                                                           \
    X(BAD_REQUEST, "bad_request")                                             \
    X(BAD_REQUEST_ID, "bad_request_id")                                       \
    X(BODY_TOO_LARGE, "body_too_large")                                       \
    X(UNKNOWN_OPERATION, "unknown_operation")                                 \
    X(CALL_NOT_ALLOWED, "call_not_allowed")                                   \
    X(TOO_DEEP, "too_deep")                                                   \
    X(NO_CONFIG, "no_config")                                                 \
    X(NO_TARGET, "no_target")                                                 \
    X(TABLE_FULL, "table_full")                                               \
    X(RING_FULL, "ring_full")                                                 \
    X(EARLY_REFUSAL, "early_refusal")                                         \
    X(LEVEL_REFUSAL, "level_refusal")                                         \
    X(QUEUE_FULL, "queue_full")                                               \
    X(QUEUE_DISPLACED, "queue_displaced")                                     \
    X(QUEUE_TIMEOUT, "queue_timeout")                                         \
    X(DEADLINE, "deadline")                                                   \
    X(CANCELLED, "cancelled")                                                 \
    X(DRAINING, "draining")                                                   \
    X(TARGET_DOWN, "target_down")                                             \
    X(PEER_UNREACHABLE, "peer_unreachable")                                   \
    X(WRONG_OWNER, "wrong_owner")                                             \
    X(OWNER_UNREACHABLE, "owner_unreachable")                                 \
    X(OWNER_GONE, "owner_gone")                                               \
    X(NO_HORIZON, "no_horizon")                                               \
    X(ID_TOO_OLD, "id_too_old")                                               \
    X(ID_IN_FUTURE, "id_in_future")                                           \
    X(RECORD_FULL, "record_full")                                             \
    X(IN_PROGRESS, "in_progress")                                             \
    X(ALREADY_RAN, "already_ran")                                             \
    X(REPLAYED, "replayed")                                                   \
    X(REPLY_LOST, "reply_lost")                                               \
    X(REPLY_CLAIMED, "reply_claimed")                                         \
    X(REPLY_TIMEOUT, "reply_timeout")                                         \
    X(REPLY_TRUNCATED, "reply_truncated")                                     \
    X(REPLY_TOO_LARGE, "reply_too_large")                                     \
    X(REPLY_MISMATCH, "reply_mismatch")                                       \
    X(BAD_MESSAGE, "bad_message")                                             \
    X(CALLER_GONE, "caller_gone")                                             \
    X(TARGET_SHED, "target_shed")                                             \
    X(WRONG_TARGET, "wrong_target")                                           \
    X(TARGET_FAILED, "target_failed")                                         \
    X(TIMEOUT, "timeout")                                                     \
    X(STOPPING, "stopping")                                                   \
    X(HEAD_TOO_LARGE, "head_too_large")                                       \
    X(HEAD_TIMEOUT, "head_timeout")                                           \
    X(RETRY_BUDGET_SPENT, "retry_budget_spent")                               \
    X(RETRY_AFTER_REFUSAL, "retry_after_refusal")                             \
    X(RETRY_AFTER_UNKNOWN, "retry_after_unknown")                             \
    X(RETRY_REROUTED, "retry_rerouted")                                       \
    X(RETRY_HIDDEN_RESEND, "retry_hidden_resend")                             \
    X(RATE_LIMITED, "rate_limited")                                           \
    X(UNKNOWN_KEY, "unknown_key")                                             \
    X(KEY_NOT_CONFIRMED, "key_not_confirmed")                                 \
    X(OVER_CAP, "over_cap")                                                   \
    X(CAP_UNCHECKED, "cap_unchecked")

#define REASON_ENUM(identifier, text) REASON_##identifier,
enum reason {
    REASON_LIST(REASON_ENUM) REASON_COUNT
};
#undef REASON_ENUM

const char *reason_name(enum reason reason);
const char *outcome_name(enum outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
