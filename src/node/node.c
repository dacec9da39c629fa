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

#define NODE_POLL_US 20000 /* 20 ms, poll interval of node_run() */

static atomic_int node_stop_requested;

/* Requests a planned stop of the running node; safe in a signal handler. */
void
node_request_stop(void)
{
    atomic_store(&node_stop_requested, 1);
}

/* Sets all admission levels to "everything is admitted". */
static void
node_init_load(node_load *load)
{
    atomic_store(&load->level, ADMISSION_LEVEL_MAX);
    for (int i = 0; i < SVC_OPERATIONS_MAX; i++) {
        atomic_store(&load->callee_levels[i], ADMISSION_LEVEL_MAX);
    }
}

/* Creates the state that the modules share, the configuration store and
 * gossip, which is started later. */
static int
node_init_state(node *n, err *e)
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

/* Callback of the router: a call has its response. */
static void
node_on_response(int handle, void *payload)
{
    node *n = payload;
    ingress_send_response(n->ingress, handle);
}

/* Callback of the admitter: the outcome of a cancel request. */
static void
node_on_cancel_result(int slot, uint64_t nonce, enum dispatch_cancel result,
                      void *payload)
{
    node *n = payload;
    control_send_cancel_result(n->control, slot, nonce, result);
}

/* Creates the modules that handle calls. */
static int
node_init_calls(node *n, err *e)
{
    int result = pending_new(&n->calls, (size_t)n->settings.calls_max);
    if (result < 0) {
        return ERR_SET(e, result, "calls");
    }
    result = target_http_new(&n->target_pool, admitter_submit_result, n, e);
    if (result == 0) {
        result = admitter_new(&n->admitter, n, node_on_cancel_result, n, e);
    }
    if (result == 0) {
        result = router_new(&n->router, n, n->calls, node_on_response, n, e);
    }
    return result;
}

/* Opens the servers, then starts gossip and the synchronisation with the
 * platform. */
static int
node_start_servers(node *n, err *e)
{
    const nodecfg *s = &n->settings;
    int result = control_new(&n->control, n, e);
    if (result == 0) {
        result =
            rpc_server_new(&n->call_server, s->address, s->peer_port,
                           NODE_PEER_CALLS_MAX, admitter_submit_call, n, e);
    }
    if (result == 0) {
        result = ingress_new(&n->ingress, n, n->calls, e);
    }
    if (result == 0) {
        result = gossip_start(n->gossip, e);
    }
    if (result == 0) {
        result = store_sync_new(&n->sync, n, e);
    }
    return result;
}

/* Creates a node and starts to serve.  0, or a negative code with the reason
 * in `e`. */
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

    int result = node_init_state(n, e);
    if (result == 0) {
        result = node_init_calls(n, e);
    }
    if (result == 0) {
        result = node_start_servers(n, e);
    }
    if (result < 0) {
        node_free(n);
        return result;
    }
    *out = n;
    return 0;
}

/* Closes and frees everything, producers of events before their consumers;
 * takes NULL. */
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
    ingress_free(n->ingress);
    if (n->router != NULL) {
        router_stop(n->router);
    }
    target_http_free(n->target_pool);
    if (n->admitter != NULL) {
        admitter_stop(n->admitter);
    }
    rpc_server_free(n->call_server);
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

/* Serves until a planned stop is complete; returns 0. */
int
node_run(node *n)
{
    shutdown_state stop;
    bool ingress_stopped = false;
    shutdown_init(&stop, n->settings.linger_ms * CLOCK_US_PER_MS);
    while (stop.phase != SHUTDOWN_STOPPED) {
        int64_t now_us = clock_now_us();
        if (atomic_load(&node_stop_requested) != 0 &&
            stop.phase == SHUTDOWN_RUNNING) {
            log_write(LOG_INFO, NULL, "stopping: peers are being notified");
            atomic_store(&n->load.stopping, 1);
            shutdown_begin(&stop, now_us);
        }
        int in_flight =
            atomic_load(&n->load.callers) + atomic_load(&n->load.serving);
        shutdown_advance(&stop, in_flight, now_us);
        if (!shutdown_accepts_callers(&stop) && !ingress_stopped) {
            ingress_stopped = true;
            ingress_stop_accepting(n->ingress);
        }
        clock_sleep_us(NODE_POLL_US);
    }
    log_write(LOG_INFO, NULL, "stopped: no call is in flight");
    return 0;
}
