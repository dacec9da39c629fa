#ifndef LAV_PRS_PRIVATE_H
#define LAV_PRS_PRIVATE_H

#include "hop.h"
#include "lcl.h"
#include "prs.h"
#include "rsp.h"

#define PRS_LATE_US                                                           \
    300000 /* 0.3 s that an attempt may outlast its caller's wait: its node
            * ends it before */

/* An answer that came while the hop was broken. */
typedef struct prs_kept {
    bool begun; /* its head has come */
    bool done;  /* all of it has */
    int status;
    bytebuf fields;
    enum http_conn_framing framing;
    int64_t length;
    bytebuf body;
} prs_kept;

typedef struct prs_request {
    nod *n;
    rsp *s; /* NULL: the hop broke, and the answer may be claimed */
    att_request r;
    hop_ask ask;
    lcl_call *call;
    bool answered; /* the head was written, or is kept */
    prs_kept kept;
    bool failed; /* while the hop was broken */
    att_failure failure;
    ev_timer forget; /* runs while the hop is broken */
} prs_request;

void prs_free(prs_request *q);
void prs_finish(prs_request *q);
void prs_refuse(prs_request *q, const att_failure *failure);
void prs_fail(rsp *s, uint32_t route, const att_failure *failure);
bool prs_keep(prs_request *q);
void prs_keep_body(prs_request *q, const char *bytes, size_t length);
void prs_claim(rsp *s, uint64_t nonce);

#endif
