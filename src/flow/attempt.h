/*
 * attempt: one attempt to run a request, either forwarded to the node of
 * another instance (forward_attempt) or sent to this node's own target
 * (local_target_call).  An attempt reports to its callbacks; it ends with
 * exactly one call of `done` or `failed`, unless it is cancelled.
 */
#ifndef LAV_ATTEMPT_H
#define LAV_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http_conn.h"
#include "http_head.h"
#include "lav/instance.h"
#include "lav/reason.h"
#include "lav/workspace.h"

/* Size of a request id buffer, including the terminating NUL. */
#define ATTEMPT_REQUEST_ID_BYTES 128

/* Size of a buffer for a request target, including the terminating NUL. */
#define ATTEMPT_REQUEST_TARGET_BYTES 2048

/* Largest body, in bytes, that is retained so that a request can be resent. */
#define ATTEMPT_BODY_REPLAY_BYTES_MAX 131072

/* Number of buffered body bytes above which reading from the source pauses. */
#define ATTEMPT_BODY_BUFFERED_BYTES_MAX 262144

/* A request shared by its attempts.  The owner keeps it alive until they have
 * ended. */
typedef struct attempt_request {
    char id[ATTEMPT_REQUEST_ID_BYTES];
    const char *method;
    bytebuf target; /* request target, as received */
    bytebuf fields; /* header fields to forward, as complete lines */
    enum http_conn_framing framing;
    int64_t length;    /* body length, with HTTP_CONN_BODY_LENGTH framing */
    bytebuf body;      /* bytes from body_start on */
    size_t body_start; /* offset of the first byte that is still retained */
    bool body_complete;
    bool idempotent;
    int priority;
    uint32_t workspace; /* id, or WORKSPACE_NONE */
    int depth;          /* 0: external request, 1: internal request */
    uint32_t route;     /* key of the route */
    uint32_t origin; /* hash of the service of the node that it entered by */
    bool rerouted;   /* another node refused it before */
    bool resent;     /* the same target refused it before */
    double retry_probability; /* probability that this attempt is a retry */
    double weight;            /* the demand that it stands for */
    int64_t arrived_us;
    int64_t deadline_us; /* when the caller stops waiting */
    int64_t objective_us;
    int64_t retry_after_us; /* set when an attempt is refused */
} attempt_request;

typedef struct attempt_failure {
    enum outcome outcome; /* OUTCOME_NOT_RUN or OUTCOME_UNKNOWN */
    enum reason reason;
    bool reached;          /* the request was sent to a target */
    bool response_started; /* the response head was already delivered */
    int member;            /* index in the fleet, or INSTANCE_NONE */
} attempt_failure;

typedef struct attempt_callbacks {
    void (*head)(const http_head *head, void *payload);
    void (*body)(const char *bytes, size_t length, void *payload);
    void (*done)(void *payload);
    void (*failed)(const attempt_failure *failure, void *payload);
    void (*resume_body)(void *payload); /* more request body can be taken */
} attempt_callbacks;

void attempt_request_init(attempt_request *r, const http_head *head,
                          http_head_skip_cb skip, void *payload);
size_t attempt_body_end_offset(const attempt_request *r);
void attempt_body_append(attempt_request *r, const char *bytes, size_t length);
size_t attempt_body_send(attempt_request *r, size_t sent, http_conn *to);
void attempt_write_framing(bytebuf *out, enum http_conn_framing framing,
                           int64_t length);
bool attempt_is_resendable(const attempt_request *r);
void attempt_request_clear(attempt_request *r);

#endif
