#include "node.h"

#include <signal.h>
#include <stdlib.h>

#include "admitter.h"
#include "pending.h"
#include "config_store.h"
#include "control.h"
#include "target_http.h"
#include "gossip.h"
#include "ingress.h"
#include "lav/admission.h"
#include "lav/clock.h"
#include "lav/log.h"
#include "lav/shutdown.h"
#include "router.h"
#include "rpc_server.h"
#include "store_sync.h"

#define NODE_STEP_US 20000 /* of the main thread */

static atomic_int node_stop_requested;

/* Ask the running node for a planned stop; safe in a signal handler. */
void
node_request_stop(void)
{
    atomic_store(&node_stop_requested, 1);
}

static void
node_init_load(node_load *load)
{
    atomic_store(&load->level, ADMISSION_LEVEL_MAX);
    for (int i = 0; i < SVC_OPERATIONS_MAX; i++) {
        atomic_store(&load->callee_levels[i], ADMISSION_LEVEL_MAX);
    }
}

static int
node_make_state(node *n, err *e)
{
    if (snapshot_new(&n->snapshot) < 0 ||
        served_call_new(&n->served_calls, NODE_PEER_CALLS_MAX) < 0 ||
        decision_log_new(&n->decisions, NODE_DECISIONS_MAX) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "node");
    }
    int result = config_store_new(&n->configs, n, e);
    if (result == 0) {
        result = gossip_new(&n->gossip, n, e);
    }
    return result;
}

/* The router has answered a call. */
static void
node_answered(int handle, void *payload)
{
    node *n = payload;
    ingress_send_answer(n->caller_http, handle);
}

/* The admitter has dealt with another node's cancel. */
static void
node_cancelled(int slot, uint64_t nonce, enum dispatch_cancel result,
               void *payload)
{
    node *n = payload;
    control_send_cancel_result(n->control, slot, nonce, result);
}

static int
node_make_calls(node *n, err *e)
{
    int result = pending_new(&n->calls, (size_t)n->settings.calls_max);
    if (result < 0) {
        return ERR_SET(e, result, "calls");
    }
    result = target_http_new(&n->target_pool, admitter_submit_result, n, e);
    if (result == 0) {
        result = admitter_new(&n->admitter, n, node_cancelled, n, e);
    }
    if (result == 0) {
        result = router_new(&n->router, n, n->calls, node_answered, n, e);
    }
    return result;
}

static int
node_open(node *n, err *e)
{
    const nodecfg *s = &n->settings;
    int result = control_new(&n->control, n, e);
    if (result == 0) {
        result =
            rpc_server_new(&n->receiver, s->address, s->peer_port,
                           NODE_PEER_CALLS_MAX, admitter_submit_call, n, e);
    }
    if (result == 0) {
        result = ingress_new(&n->caller_http, n, n->calls, e);
    }
    if (result == 0) {
        result = gossip_start(n->gossip, e);
    }
    if (result == 0) {
        result = store_sync_new(&n->sync, n, e);
    }
    return result;
}

/* Make a node and begin to serve. */
int
node_new(node **out, const nodecfg *settings, err *e)
{
    node *n = calloc(1, sizeof(*n));
    if (n == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "node");
    }
    n->settings = *settings;
    n->incarnation = swim_make_incarnation(clock_wall_ms());
    node_init_load(&n->load);

    int result = node_make_state(n, e);
    if (result == 0) {
        result = node_make_calls(n, e);
    }
    if (result == 0) {
        result = node_open(n, e);
    }
    if (result < 0) {
        node_free(n);
        return result;
    }
    *out = n;
    return 0;
}

/* Close and release everything, in the order in which the duties speak to
 * each other; takes NULL. */
void
node_free(node *n)
{
    if (n == NULL) {
        return;
    }
    store_sync_free(n->sync);
    if (n->gossip != NULL) {
        gossip_stop(n->gossip);
    }
    ingress_free(n->caller_http);
    if (n->router != NULL) {
        router_stop(n->router);
    }
    target_http_free(n->target_pool);
    if (n->admitter != NULL) {
        admitter_stop(n->admitter);
    }
    rpc_server_free(n->receiver);
    control_free(n->control);
    router_free(n->router);
    admitter_free(n->admitter);
    gossip_free(n->gossip);
    config_store_free(n->configs);
    pending_free(n->calls);
    served_call_free(n->served_calls);
    decision_log_free(n->decisions);

    snapshot_free(n->snapshot);
    free(n);
}

/* Serve until a planned stop is over; returns 0. */
int
node_run(node *n)
{
    shutdown_state stop;
    bool quiesced = false;
    shutdown_init(&stop, n->settings.linger_ms * CLOCK_US_PER_MS);
    while (stop.phase != SHUTDOWN_STOPPED) {
        int64_t now_us = clock_now_us();
        if (atomic_load(&node_stop_requested) != 0 &&
            stop.phase == SHUTDOWN_RUNNING) {
            log_write(LOG_INFO, NULL, "stopping: told the peers");
            atomic_store(&n->load.stopping, 1);
            shutdown_begin(&stop, now_us);
        }
        int in_flight =
            atomic_load(&n->load.callers) + atomic_load(&n->load.serving);
        shutdown_advance(&stop, in_flight, now_us);
        if (!shutdown_accepts_callers(&stop) && !quiesced) {
            quiesced = true;
            ingress_stop_accepting(n->caller_http);
        }
        clock_sleep_us(NODE_STEP_US);
    }
    log_write(LOG_INFO, NULL, "stopped: nothing is in flight");
    return 0;
}
