#ifndef LAV_FRONTEND_PRIVATE_H
#define LAV_FRONTEND_PRIVATE_H

#include "frontend.h"
#include <http_parser.h>

#include "forward.h"
#include "hop.h"
#include "local_target.h"
#include "server_conn.h"

#define FRONTEND_RESPONSE_BUFFER_BYTES_MAX                                    \
    65536 /* bytes of an answer kept back until it is whole */

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
    } of;
} frontend_attempt;

typedef struct frontend_request {
    runtime *n;
    server_conn *s;
    attempt_request r;
    char service[SVC_NAME_SIZE];
    instance_query choice;
    frontend_attempt attempt;
    int attempts_left; /* more targets that it may be sent to */
    int reroutes;
    int sheds;     /* times that it was sent again to a target that shed it */
    int resend_to; /* such a target; INSTANCE_NONE: any */
    bool may_have_run; /* an attempt may have reached a target */
    int last_member;   /* of the fleet, where the last attempt went */
    attempt_failure
        last; /* how the last attempt failed; none yet: no target */
    ev_timer deadline;
    /* the answer that is coming in */
    int status;
    bytebuf fields;
    bytebuf held;
    enum http_conn_framing framing;
    int64_t length;
    bool no_body;
    bool committed; /* its head has been written */
} frontend_request;

void frontend_start_attempt(frontend_request *q);
void frontend_cancel_attempt(frontend_request *q);
void frontend_respond_error(frontend_request *q, int status,
                            enum reason reason);
void frontend_finish_request(frontend_request *q);

extern const attempt_callbacks frontend_attempt_callbacks;

#endif
