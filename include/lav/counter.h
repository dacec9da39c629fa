/*
 * counter: process-wide event counters, one for each outcome and reason and
 * one for each named event of the control plane.  Safe to use from any thread.
 */
#ifndef LAV_COUNTER_H
#define LAV_COUNTER_H

#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

enum counter_id {
    COUNTER_CALLS_IN,          /* requests received from callers */
    COUNTER_ATTEMPTS,          /* calls sent to a peer node */
    COUNTER_DISPATCHED,        /* calls handed to the local target */
    COUNTER_DONE,              /* responses to callers: outcome done */
    COUNTER_NOT_RUN,           /* responses to callers: outcome not-run */
    COUNTER_UNKNOWN,           /* responses to callers: outcome unknown */
    COUNTER_CANCELS,           /* cancel messages sent */
    COUNTER_GOSSIP_SENT,       /* gossip exchanges started */
    COUNTER_GOSSIP_BYTES,      /* bytes of gossip sent and received */
    COUNTER_PLATFORM_READS,    /* platform requests that read or watch */
    COUNTER_PLATFORM_WRITES,   /* platform requests that write */
    COUNTER_PLATFORM_FAILED,   /* platform requests without a valid response */
    COUNTER_PLATFORM_RESTORED, /* restores of the platform's store */
    COUNTER_PLATFORM_OUTDATED, /* its answers from before a restore */
    COUNTER_STALE_CONFIG,      /* configurations older than the active one */
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
