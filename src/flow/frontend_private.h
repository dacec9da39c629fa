/*
 * frontend_private: the state of a request in the frontend, shared by its
 * sources.  Each calls only those before it: log, request, identity, attempt,
 * admission, usage, frontend and, beside that, stop.
 */
#ifndef LAV_FRONTEND_PRIVATE_H
#define LAV_FRONTEND_PRIVATE_H

#include "frontend.h"
#include <http_parser.h>

#include "forward.h"
#include "hop.h"
#include "local_target.h"
#include "server_conn.h"
#include "usage_gate.h"

/* Response body bytes that are buffered before the response is committed; a
 * larger response is streamed. */
#define FRONTEND_RESPONSE_BUFFER_BYTES_MAX 65536

enum frontend_attempt_kind {
    FRONTEND_ATTEMPT_NONE,
    FRONTEND_ATTEMPT_PEER,
    FRONTEND_ATTEMPT_LOCAL
};

typedef struct frontend_attempt {
    enum frontend_attempt_kind kind;
    union {
        forward_attempt *peer;
        local_target_call *local;
    } handle;
} frontend_attempt;

/* Whose request it is, see frontend_identity. */
typedef struct frontend_identity {
    char *key;              /* that it bears; NULL: none, or not asked for */
    const workspace *entry; /* found, until it has been applied */
    uint64_t version;       /* of the desired state that it was found in */
    bool checked;           /* that desired state holds workspaces */
    bool exempt;            /* the route needs no key */
    int route_priority;
    size_t fields_end; /* where the workspace's name begins; 0: none set */
} frontend_identity;

typedef struct frontend_request {
    runtime *n;
    server_conn *s;
    GList link; /* in runtime.caller_requests */
    attempt_request r;
    frontend_identity identity;
    usage_gate_request usage;
    uint64_t routed_by; /* version of the desired state; 0: not routed */
    char service[SVC_NAME_SIZE];
    instance_query query;
    frontend_attempt attempt;
    int attempts_left; /* further targets that it may be sent to */
    int reroutes;
    int shed_retries;  /* resends to a target that shed the request */
    int resend_to;     /* member that shed it, or INSTANCE_NONE for any */
    bool may_have_run; /* an attempt may have reached a target */
    int last_member;   /* member of the last attempt, or INSTANCE_NONE */
    attempt_failure last_failure; /* initially: no target */
    ev_timer deadline;
    /* The response being received. */
    int status;
    bytebuf fields;
    bytebuf buffered; /* body received before the response is committed */
    enum http_conn_framing framing;
    int64_t length;
    bool no_body;
    bool committed; /* the response head was written to the caller */
} frontend_request;

frontend_request *frontend_request_new(server_conn *s, const http_head *head);
void frontend_free(frontend_request *q);
void frontend_cancel_attempt(frontend_request *q);
void frontend_respond_error(frontend_request *q, int status,
                            enum reason reason);
void frontend_count_end(const frontend_request *q,
                        enum workspace_outcome outcome);
void frontend_finish_request(frontend_request *q);
void frontend_start_attempt(frontend_request *q);
void frontend_admit_request(frontend_request *q);

extern const attempt_callbacks frontend_attempt_callbacks;

#endif
