/*
 * ctr: process-wide counters, one for each outcome and reason, and one for
 * each named event of the control plane.  Any thread may add.
 */
#ifndef LAV_COUNTER_H
#define LAV_COUNTER_H

#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

enum counter_id {
    COUNTER_CALLS_IN,        /* requests accepted from callers */
    COUNTER_ATTEMPTS,        /* calls sent to a peer node */
    COUNTER_DISPATCHED,      /* calls handed to the local target */
    COUNTER_DONE,            /* answers to callers, by outcome */
    COUNTER_NOT_RUN,         /* ditto */
    COUNTER_UNKNOWN,         /* ditto */
    COUNTER_CANCELS,         /* cancel messages sent */
    COUNTER_GOSSIP_SENT,     /* gossip exchanges begun */
    COUNTER_GOSSIP_BYTES,    /* bytes of gossip sent and received */
    COUNTER_PLATFORM_READS,  /* platform calls that read or watch */
    COUNTER_PLATFORM_WRITES, /* platform calls that write */
    COUNTER_PLATFORM_FAILED, /* platform calls without a good answer */
    COUNTER_STALE_CONFIG,    /* configuration older than the one in force */
    COUNTER_COUNT
};

void counter_add_reason(enum reason reason);
void counter_add(enum counter_id event, uint64_t amount);
uint64_t counter_get_reason(enum reason reason);
uint64_t counter_get(enum counter_id event);
const char *counter_get_name(enum counter_id event);

#ifdef __cplusplus
}
#endif

#endif
