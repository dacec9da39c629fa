#ifndef LAV_LCL_PRIVATE_H
#define LAV_LCL_PRIVATE_H

#include "lav/admission.h"
#include "lav/target_queue.h"
#include "lav/departed_targets.h"
#include "lav/dispatch.h"
#include "lav/overload.h"
#include "http_async.h"
#include "lav/orphan_calls.h"
#include "lcl.h"

#define LCL_CALLS_MAX 4096 /* calls waiting and running at one target */

struct lcl {
    nod *n;
    struct sockaddr_in at;
    char instance[INSTANCE_NAME_SIZE]; /* empty: none has registered */
    int64_t born_ms;
    int64_t sequence;
    int slots;
    uint64_t start; /* counts the starts of targets here */
    bool heard;     /* it has registered with this start of the node */
    instance_record candidate; /* may still be here; no instance: none */
    http_async_call *question; /* to it; NULL: none */
    orphan_calls residue;      /* calls of an earlier start of the node */
    departed_targets
        departed; /* targets here that have said that they leave */
    bool leaving;
    int64_t closes_us; /* no new work from then on, while it leaves */
    bool down;         /* could not be reached since it last registered */
    double failures;   /* of recent calls, 0 to 1 */
    double call_us;    /* mean time of recent calls in the target */
    admission_queue *admission;
    overload_meter overload;
    dispatch_table *record; /* of the attempts that must not run twice */
    lcl_call *calls[LCL_CALLS_MAX];
    int free_handles[LCL_CALLS_MAX];
    int free_count;
    ev_timer expiry; /* runs while calls wait */
};

struct lcl_call {
    lcl *d;
    att_request *r;
    const att_sink *sink;
    void *payload;
    uint64_t nonce;
    uint64_t start; /* of the target that it was dispatched to */
    int handle;
    bool running;
    http_conn *c;
    bool kept_connection; /* it has carried another request before */
    size_t sent;
    bool ended;          /* all of the body is queued */
    bool answered;       /* the answer's head was handed over */
    enum reason refusal; /* the target's, or REASON_NONE */
    int status;          /* of the answer */
    int64_t keep_us;     /* the connection may stay open so long */
    int64_t started_us;
};

enum instance_state lcl_state(const lcl *d);
void lcl_announce(lcl *d);
void lcl_set_limit(lcl *d);
void lcl_new_start(lcl *d, const char *instance, int64_t born_ms);
void lcl_told_load(lcl *d, const http_head *head);
void lcl_log_cancel(const lcl_call *call);
int lcl_dispatch(lcl_call *call, enum reason *reason);
void lcl_finish(lcl_call *call, bool failed);
void lcl_fail(lcl_call *call, enum outcome outcome, enum reason reason,
              bool reached);
void lcl_call_down(const lcl_call *call, const char *why);

#endif
