/*
 * att: one attempt to have a request run: through the node beside another
 * instance (forward_attempt) or at the target beside this node (local_target).  The attempt
 * reports to a sink; it is over with `done` or `failed`, which come once.
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

#define ATTEMPT_REQUEST_ID_BYTES 128 /* bytes of a request id, with the NUL */
#define ATTEMPT_REQUEST_TARGET_BYTES 2048 /* ditto, of a request target kept */
#define ATTEMPT_BODY_REPLAY_BYTES_MAX                                         \
    131072 /* bytes kept to send a request again */
#define ATTEMPT_BODY_BUFFERED_BYTES_MAX                                       \
    262144 /* ... at which its source is paused */

/* A request as its attempts need it; its owner keeps it until they end. */
typedef struct attempt_request {
    char id[ATTEMPT_REQUEST_ID_BYTES];
    const char *method;
    bytebuf target; /* request target, as it came */
    bytebuf fields; /* header fields to pass on, whole lines */
    enum http_conn_framing framing;
    int64_t length; /* of the body, where framed by length */
    bytebuf body;
    size_t body_start; /* offset of the first byte that is still kept */
    bool body_complete;
    bool idempotent;
    int priority;
    int depth;       /* 0: of an outside caller, 1: a call of a target */
    uint32_t route;  /* key of its route */
    uint32_t origin; /* hash of the service beside the node it came from */
    bool moved;      /* another node has refused it before */
    double repeat;   /* probability that this attempt is a repeat */
    int64_t arrived_us;
    int64_t deadline_us; /* the caller stops waiting */
    int64_t objective_us;
    int64_t retry_after_us; /* filled in with a refusal */
} attempt_request;

typedef struct attempt_failure {
    enum outcome outcome; /* not run, or unknown */
    enum reason reason;
    bool reached;  /* sent to a target */
    bool answered; /* a part of the answer was handed over already */
    int member;    /* instance in the fleet, or INSTANCE_NONE */
} attempt_failure;

typedef struct attempt_callbacks {
    void (*head)(const http_head *head, void *payload);
    void (*body)(const char *bytes, size_t length, void *payload);
    void (*done)(void *payload);
    void (*failed)(const attempt_failure *failure, void *payload);
    void (*resume_body)(void *payload); /* its source may go on */
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
