#ifndef LAV_ENT_PRIVATE_H
#define LAV_ENT_PRIVATE_H

#include "ent.h"
#include <http_parser.h>

#include "fwd.h"
#include "hop.h"
#include "lcl.h"
#include "rsp.h"

#define ENT_HOLD_MAX 65536 /* bytes of an answer kept back until it is whole */

enum ent_attempt_kind {
    ENT_ATTEMPT_NONE,
    ENT_ATTEMPT_PEER,
    ENT_ATTEMPT_LOCAL
};

typedef struct ent_attempt {
    enum ent_attempt_kind kind;
    union {
        fwd *peer;
        lcl_call *local;
    } of;
} ent_attempt;

typedef struct ent_request {
    nod *n;
    rsp *s;
    att_request r;
    char service[SVC_NAME_SIZE];
    instance_query choice;
    ent_attempt attempt;
    int attempts_left; /* more targets that it may be sent to */
    int reroutes;
    int sheds;     /* times that it was sent again to a target that shed it */
    int resend_to; /* such a target; INSTANCE_NONE: any */
    bool may_have_run; /* an attempt may have reached a target */
    int last_member;   /* of the fleet, where the last attempt went */
    att_failure last;  /* how the last attempt failed; none yet: no target */
    ev_timer deadline;
    /* the answer that is coming in */
    int status;
    bytebuf fields;
    bytebuf held;
    enum http_conn_framing framing;
    int64_t length;
    bool no_body;
    bool committed; /* its head has been written */
} ent_request;

void ent_try(ent_request *q);
void ent_cancel_attempt(ent_request *q);
void ent_own(ent_request *q, int status, enum reason reason);
void ent_finish(ent_request *q);

extern const att_sink ent_sink;

#endif
