#include "lav/stp.h"

/* Start in STP_RUNNING. */
void
stp_init(stp *s, int64_t linger_us)
{
    *s = (stp){STP_RUNNING, 0, linger_us};
}

/* A planned stop was asked for; asking again changes nothing. */
void
stp_request(stp *s, int64_t now_us)
{
    if (s->phase == STP_RUNNING) {
        s->phase = STP_LINGERING;
        s->since_us = now_us;
    }
}

/* Move on as time passes; `in_flight` counts all calls of this node. */
enum stp_phase
stp_step(stp *s, int in_flight, int64_t now_us)
{
    if (s->phase == STP_LINGERING && now_us - s->since_us >= s->linger_us) {
        s->phase = STP_DRAINING;
    }
    if (s->phase == STP_DRAINING && in_flight == 0) {
        s->phase = STP_STOPPED;
    }
    return s->phase;
}

/* Whether new requests of outside callers are still served. */
bool
stp_takes_callers(const stp *s)
{
    return s->phase == STP_RUNNING || s->phase == STP_LINGERING;
}
