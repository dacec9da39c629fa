/*
 * shutdown: the graceful shutdown of a node, with the draining of its target.
 * A node that stops informs its peers, lingers to serve those that have not
 * learned of it yet, and ends only when no call is in flight.
 *
 * Guarantees: a target that is leaving receives no new work after a few
 * seconds; a planned shutdown interrupts no request in flight.
 */
#ifndef LAV_SHUTDOWN_H
#define LAV_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum shutdown_phase {
    SHUTDOWN_RUNNING,
    SHUTDOWN_LINGERING, /* peers are informed; still serves new requests */
    SHUTDOWN_DRAINING,  /* accepts nothing new; finishes calls in flight */
    SHUTDOWN_STOPPED
};

typedef struct shutdown_state {
    enum shutdown_phase phase;
    int64_t begun_us;  /* time of shutdown_begin(), monotonic clock */
    int64_t linger_us; /* duration of SHUTDOWN_LINGERING */
} shutdown_state;

void shutdown_init(shutdown_state *state, int64_t linger_us);
void shutdown_begin(shutdown_state *state, int64_t now_us);
enum shutdown_phase shutdown_advance(shutdown_state *state, int in_flight,
                                     int64_t now_us);
bool shutdown_accepts_callers(const shutdown_state *state);

#ifdef __cplusplus
}
#endif

#endif
