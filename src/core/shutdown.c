#include "lav/shutdown.h"

/* Start in SHUTDOWN_RUNNING. */
void
shutdown_init(shutdown_state *s, int64_t linger_us)
{
    *s = (shutdown_state){SHUTDOWN_RUNNING, 0, linger_us};
}

/* A planned stop was asked for; asking again changes nothing. */
void
shutdown_begin(shutdown_state *s, int64_t now_us)
{
    if (s->phase == SHUTDOWN_RUNNING) {
        s->phase = SHUTDOWN_LINGERING;
        s->since_us = now_us;
    }
}

/* Move on as time passes; `in_flight` counts all calls of this node. */
enum shutdown_phase
shutdown_advance(shutdown_state *s, int in_flight, int64_t now_us)
{
    if (s->phase == SHUTDOWN_LINGERING &&
        now_us - s->since_us >= s->linger_us) {
        s->phase = SHUTDOWN_DRAINING;
    }
    if (s->phase == SHUTDOWN_DRAINING && in_flight == 0) {
        s->phase = SHUTDOWN_STOPPED;
    }
    return s->phase;
}

/* Whether new requests of outside callers are still served. */
bool
shutdown_accepts_callers(const shutdown_state *s)
{
    return s->phase == SHUTDOWN_RUNNING || s->phase == SHUTDOWN_LINGERING;
}
