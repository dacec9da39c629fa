#include "lav/ctr.h"

#include <stdatomic.h>

static atomic_ullong ctr_reasons[REASON_COUNT];
static atomic_ullong ctr_events[CTR_EVENT_COUNT];

static const char *const ctr_names[CTR_EVENT_COUNT] = {
    "calls_in",     "attempts",       "dispatched",      "done",
    "not_run",      "unknown",        "cancels",         "gossip_sent",
    "gossip_bytes", "platform_reads", "platform_writes", "platform_failed",
    "stale_config"};

/* Count one refusal, retry or unknown answer. */
void
ctr_reason(enum reason reason)
{
    atomic_fetch_add_explicit(&ctr_reasons[reason], 1, memory_order_relaxed);
}

/* Add `amount` to a named event. */
void
ctr_add(enum ctr_event event, uint64_t amount)
{
    atomic_fetch_add_explicit(&ctr_events[event], amount,
                              memory_order_relaxed);
}

/* Present value of a reason's counter. */
uint64_t
ctr_reason_value(enum reason reason)
{
    return atomic_load(&ctr_reasons[reason]);
}

/* Present value of an event's counter. */
uint64_t
ctr_value(enum ctr_event event)
{
    return atomic_load(&ctr_events[event]);
}

/* Name of an event in status output. */
const char *
ctr_name(enum ctr_event event)
{
    return ctr_names[event];
}
