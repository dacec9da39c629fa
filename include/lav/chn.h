/*
 * chn: what the calls below a route suffer, as the node beside the calling
 * target can tell it: which routes are calls of targets rather than of
 * outside callers, which routes fail when a service below is overloaded, and
 * the worst overload below.  It is handed up with each answer.
 *
 * Load pattern answered: a deep service slows and the requests at the top,
 * which make many calls down to it, nearly all lose one of them.
 */
#ifndef LAV_CHN_H
#define LAV_CHN_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/org.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CHN_HEARD_US 1000000    /* 1 s; older news of a route is not used */
#define CHN_HEARD_STEP 0.2      /* weight of one answer: instances differ */
#define CHN_INNER_HALF 0.5      /* more verdicts than this: inner calls */
#define CHN_FAILING 0.05        /* share of failed runs that is no accident */
#define CHN_FAIL_STEP 0.05      /* weight of one run */
#define CHN_OVERLOADED 1.02     /* demand over what is served */
#define CHN_DEPENDS_US 60000000 /* 60 s that a found dependence is kept */

/* An overloaded service, and by how much. */
typedef struct chn_strain {
    uint32_t service; /* hash of its name; 0: none */
    double factor;    /* demand for each call served */
} chn_strain;

typedef struct chn chn;

int chn_new(chn **out);
void chn_free(chn *c);
void chn_arrived(chn *c, uint32_t route, uint32_t origin,
                 org_share_cb node_share, void *payload);
enum org_verdict chn_origin_of(const chn *c, uint32_t route);
void chn_ended(chn *c, uint32_t route, bool failed, int64_t now_us);
void chn_heard(chn *c, uint32_t route, enum org_verdict origin,
               const chn_strain *strain, int64_t now_us);
bool chn_is_inner(const chn *c, uint32_t route);
chn_strain chn_strain_of(const chn *c, uint32_t route, const chn_strain *own,
                         int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
