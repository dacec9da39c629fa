#include "node_stop.h"

#include <jansson.h>

#include "frontend.h"
#include "lav/clock.h"
#include "lav/log.h"
#include "local_target.h"

/* New requests are accepted for 2.5 s, in which the platform probes readiness
 * at least twice, but not in the second half of the grace time: those that
 * take longer than what is left would be cut off. */
#define NODE_STOP_LINGER_MAX_US 2500000
#define NODE_STOP_LINGER_DIVISOR 2

/* 2 s; a leaving target that was still there at the beginning may have ended,
 * and there is time left to delete the entry. */
#define NODE_STOP_RECHECK_US 2000000

/* Before the end of the grace time, open requests are ended: half a second, or
 * this part of a short grace time. */
#define NODE_STOP_MARGIN_MAX_US 500000
#define NODE_STOP_MARGIN_DIVISOR 12

/* Parts of the margin left when peers have had their time to say whether a
 * request has run, and when the process ends whatever is not written yet. */
#define NODE_STOP_QUERY_DIVISOR 2
#define NODE_STOP_EXIT_DIVISOR 5

/* Begins a planned stop; no effect if it has begun already.  The node serves on
 * meanwhile.  Its entry is deleted if the target has ended; that of a target
 * that is leaving stays for the next start of the node, which must not take the
 * target for a new one. */
void
node_stop_begin(runtime *n)
{
    if (n->stopping) {
        return;
    }
    bool unavailable = local_target_is_unavailable(n->local);
    log_event(LOG_INFO, "stopping", NULL, "{s:i,s:b}", "requests", n->requests,
              "target_left", unavailable);
    n->stopping = true;
    n->stop_us = n->l->now_us;
    if (unavailable) {
        local_target_check_end(n->local);
    }
}

/* Advances a planned stop; called periodically.  Returns whether the process
 * should end now. */
bool
node_stop_advance(runtime *n)
{
    int64_t grace_us = n->settings.stop_grace_ms * CLOCK_US_PER_MS;
    int64_t margin_us =
        MIN(NODE_STOP_MARGIN_MAX_US, grace_us / NODE_STOP_MARGIN_DIVISOR);
    int64_t linger_us =
        MIN(NODE_STOP_LINGER_MAX_US, grace_us / NODE_STOP_LINGER_DIVISOR);
    int64_t left_us = grace_us - (n->l->now_us - n->stop_us);
    if (!n->stop_rechecked &&
        n->l->now_us - n->stop_us >= NODE_STOP_RECHECK_US &&
        local_target_is_unavailable(n->local)) {
        n->stop_rechecked = true;
        local_target_check_end(n->local);
    }
    n->closed = n->closed || left_us <= margin_us ||
                n->l->now_us - n->stop_us >= linger_us;
    if (left_us <= margin_us && !n->ending) {
        n->ending = true;
        local_target_end_calls(n->local);
        frontend_end_attempts(n);
    }
    if (left_us <= margin_us / NODE_STOP_QUERY_DIVISOR) {
        frontend_end_requests(n);
    }
    bool done = n->closed && n->requests == 0 &&
                !http_conn_is_any_response_queued(n->l);
    if (done || left_us <= margin_us / NODE_STOP_EXIT_DIVISOR) {
        log_event(LOG_INFO, "stopped", NULL, "{s:i}", "requests", n->requests);
        return true;
    }
    return false;
}
