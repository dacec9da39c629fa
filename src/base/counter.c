#include "lav/counter.h"

#include <stdatomic.h>

static atomic_ullong counter_reasons[REASON_COUNT];
static atomic_ullong counter_events[COUNTER_COUNT];

static const char *const counter_names[COUNTER_COUNT] = {
    "calls_in",          "attempts",
    "dispatched",        "done",
    "not_run",           "unknown",
    "cancels",           "gossip_sent",
    "gossip_bytes",      "platform_reads",
    "platform_writes",   "platform_failed",
    "platform_restored", "platform_outdated",
    "stale_config"};

/* Increment the counter of a reason (a refusal, retry or unknown outcome). */
void
counter_add_reason(enum reason reason)
{
    atomic_fetch_add_explicit(&counter_reasons[reason], 1,
                              memory_order_relaxed);
}

/* Add `amount` to the counter of an event. */
void
counter_add(enum counter_id event, uint64_t amount)
{
    atomic_fetch_add_explicit(&counter_events[event], amount,
                              memory_order_relaxed);
}

/* Return the current count of a reason. */
uint64_t
counter_get_reason(enum reason reason)
{
    return atomic_load(&counter_reasons[reason]);
}

/* Return the current count of an event. */
uint64_t
counter_get(enum counter_id event)
{
    return atomic_load(&counter_events[event]);
}

/* Return the name of an event as status output shows it. */
const char *
counter_get_name(enum counter_id event)
{
    return counter_names[event];
}
