/*
 * lcl: the target beside this node.  The node is the only way to it, so the
 * record here of what runs there is complete: a refusal that was not
 * dispatched has not run, a leaving target gets nothing more, and it never
 * gets more calls than it has slots.
 */
#ifndef LAV_LCL_H
#define LAV_LCL_H

#include "att.h"
#include "nod.h"

/* What the target says of itself when it registers. */
typedef struct lcl_beat {
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;  /* Unix time of its start */
    int64_t sequence; /* rises with each beat of one start */
    int slots;
    bool leaving;
} lcl_beat;

typedef struct lcl lcl;
typedef struct lcl_call lcl_call;

int lcl_new(lcl **out, nod *n, err *e);
void lcl_free(lcl *d);
bool lcl_register(lcl *d, const lcl_beat *beat);
void lcl_leave(lcl *d, const char *instance);
void lcl_adopt(lcl *d, const instance_record *record);
void lcl_ask(lcl *d);
int lcl_start(lcl_call **out, lcl *d, att_request *r, uint64_t nonce,
              const att_sink *sink, void *payload, att_failure *refused);
void lcl_body(lcl_call *call);
void lcl_pause(lcl_call *call, bool paused);
void lcl_cancel(lcl_call *call);
bool lcl_never_runs(lcl *d, uint64_t nonce);
instance_load_report lcl_report(const lcl *d);
downstream_overload lcl_strain(lcl *d, uint32_t route);
void lcl_log_refusal(const lcl *d, const att_request *r,
                     const att_failure *failure);
bool lcl_left(const lcl *d);
bool lcl_is(const lcl *d, const char *instance);
int64_t lcl_retry_after_us(const lcl *d);

#endif
