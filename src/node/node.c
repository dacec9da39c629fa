#include "node.h"

#include <signal.h>
#include <stdlib.h>

#include "atr.h"
#include "cal.h"
#include "cfs.h"
#include "ctl.h"
#include "dlv.h"
#include "gsp.h"
#include "inb.h"
#include "lav/admission.h"
#include "lav/clock.h"
#include "lav/log.h"
#include "lav/shutdown.h"
#include "rtr.h"
#include "srv.h"
#include "syn.h"

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
    if (view_new(&n->view) < 0 || tok_new(&n->tokens, NODE_RECEIVE_MAX) < 0 ||
        xpl_new(&n->decisions, NODE_DECISIONS_MAX) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "node");
    }
    int result = cfs_new(&n->configs, n, e);
    if (result == 0) {
        result = gsp_new(&n->gossip, n, e);
    }
    return result;
}

/* The router has answered a call. */
static void
node_answered(int handle, void *payload)
{
    node *n = payload;
    inb_answer(n->inbound, handle);
}

/* The admitter has dealt with another node's cancel. */
static void
node_cancelled(int slot, uint64_t nonce, enum dispatch_cancel result,
               void *payload)
{
    node *n = payload;
    ctl_cancelled(n->control, slot, nonce, result);
}

static int
node_make_calls(node *n, err *e)
{
    int result = cal_new(&n->calls, (size_t)n->settings.calls_max);
    if (result < 0) {
        return ERR_SET(e, result, "calls");
    }
    result = dlv_new(&n->deliverer, atr_delivered, n, e);
    if (result == 0) {
        result = atr_new(&n->admitter, n, node_cancelled, n, e);
    }
    if (result == 0) {
        result = rtr_new(&n->router, n, n->calls, node_answered, n, e);
    }
    return result;
}

static int
node_open(node *n, err *e)
{
    const nodecfg *s = &n->settings;
    int result = ctl_new(&n->control, n, e);
    if (result == 0) {
        result = srv_new(&n->receiver, s->address, s->peer_port,
                         NODE_RECEIVE_MAX, atr_arrive, n, e);
    }
    if (result == 0) {
        result = inb_new(&n->inbound, n, n->calls, e);
    }
    if (result == 0) {
        result = gsp_start(n->gossip, e);
    }
    if (result == 0) {
        result = syn_new(&n->sync, n, e);
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
    syn_free(n->sync);
    if (n->gossip != NULL) {
        gsp_stop(n->gossip);
    }
    inb_free(n->inbound);
    if (n->router != NULL) {
        rtr_stop(n->router);
    }
    dlv_free(n->deliverer);
    if (n->admitter != NULL) {
        atr_stop(n->admitter);
    }
    srv_free(n->receiver);
    ctl_free(n->control);
    rtr_free(n->router);
    atr_free(n->admitter);
    gsp_free(n->gossip);
    cfs_free(n->configs);
    cal_free(n->calls);
    tok_free(n->tokens);
    xpl_free(n->decisions);

    view_free(n->view);
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
            inb_quiesce(n->inbound);
        }
        clock_sleep_us(NODE_STEP_US);
    }
    log_write(LOG_INFO, NULL, "stopped: nothing is in flight");
    return 0;
}
