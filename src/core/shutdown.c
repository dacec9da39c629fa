#include "lav/shutdown.h"

/* Start in SHUTDOWN_RUNNING; `linger_us`: duration of SHUTDOWN_LINGERING. */
void
shutdown_init(shutdown_state *state, int64_t linger_us)
{
    *state = (shutdown_state){SHUTDOWN_RUNNING, 0, linger_us};
}

/* Begin a planned shutdown; no effect if it has begun already. */
void
shutdown_begin(shutdown_state *state, int64_t now_us)
{
    if (state->phase == SHUTDOWN_RUNNING) {
        state->phase = SHUTDOWN_LINGERING;
        state->begun_us = now_us;
    }
}

/* Advance the phase and return it; `in_flight` counts all calls of this
 * node. */
enum shutdown_phase
shutdown_advance(shutdown_state *state, int in_flight, int64_t now_us)
{
    if (state->phase == SHUTDOWN_LINGERING &&
        now_us - state->begun_us >= state->linger_us) {
        state->phase = SHUTDOWN_DRAINING;
    }
    if (state->phase == SHUTDOWN_DRAINING && in_flight == 0) {
        state->phase = SHUTDOWN_STOPPED;
    }
    return state->phase;
}

/* Whether new external requests are still accepted. */
bool
shutdown_accepts_callers(const shutdown_state *state)
{
    return state->phase == SHUTDOWN_RUNNING ||
           state->phase == SHUTDOWN_LINGERING;
}
