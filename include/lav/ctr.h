/*
 * ctr: process-wide counters, one for each outcome and reason, and one for
 * each named event of the control plane.  Any thread may add.
 */
#ifndef LAV_CTR_H
#define LAV_CTR_H

#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ctr_event {
    CTR_CALLS_IN,        /* requests accepted from callers */
    CTR_ATTEMPTS,        /* calls sent to a peer node */
    CTR_DISPATCHED,      /* calls handed to the local target */
    CTR_DONE,            /* answers to callers, by outcome */
    CTR_NOT_RUN,         /* ditto */
    CTR_UNKNOWN,         /* ditto */
    CTR_CANCELS,         /* cancel messages sent */
    CTR_GOSSIP_SENT,     /* gossip exchanges begun */
    CTR_GOSSIP_BYTES,    /* bytes of gossip sent and received */
    CTR_PLATFORM_READS,  /* platform calls that read or watch */
    CTR_PLATFORM_WRITES, /* platform calls that write */
    CTR_PLATFORM_FAILED, /* platform calls without a good answer */
    CTR_STALE_CONFIG,    /* configuration older than the one in force */
    CTR_EVENT_COUNT
};

void ctr_reason(enum reason reason);
void ctr_add(enum ctr_event event, uint64_t amount);
uint64_t ctr_reason_value(enum reason reason);
uint64_t ctr_value(enum ctr_event event);
const char *ctr_name(enum ctr_event event);

#ifdef __cplusplus
}
#endif

#endif
