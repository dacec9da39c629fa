#include "usage_gate.h"

#include <http_parser.h>
#include <jansson.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/err.h"
#include "lav/id.h"
#include "lav/log.h"
#include "usage_gate_private.h"

/* Period of the timer, and the number of periods between two readings of the
 * members. */
#define USAGE_GATE_PERIOD_S 0.05
#define USAGE_GATE_MEMBERS_PERIODS 5

/* Time for which any request waits, and longest time for which one does whose
 * caller can wait longer. */
#define USAGE_GATE_WAIT_US 500000
#define USAGE_GATE_WAIT_MAX_US USAGE_CAP_LEASE_MAX_US

/* Requests that wait for one slot, at most. */
#define USAGE_GATE_WAITING_MAX 1024

/* A gap in the clock's count of this length means that the host stood. */
#define USAGE_GATE_SUSPENDED_US 20000

/* Bits of the sequence numbers below the start of the node in ms. */
#define USAGE_GATE_SEQUENCE_SHIFT 20

/* Looks up a workspace in the desired state in force. */
const workspace *
usage_gate_find(uint32_t id, void *payload)
{
    const usage_gate *gate = payload;
    const routing_table *routes = gate->n->routes;
    const workspace_table *table =
        routes == NULL ? NULL : routing_get_workspaces(routes);
    return table == NULL ? NULL : workspace_get(table, id);
}

/* Returns the epoch of a new owner's state: random, positive in JSON. */
static uint64_t
usage_gate_epoch(void)
{
    return runtime_random() >> 2U | 1U;
}

/* Completes a decision with what a refusal says. */
static void
usage_gate_complete(usage_gate *gate, uint32_t workspace,
                    usage_gate_result *result)
{
    switch (result->decision) {
    case USAGE_GRANTED:
        gate->granted++;
        return;
    case USAGE_WAIT:
        return;
    case USAGE_OVER_CAP:
        result->status = HTTP_STATUS_TOO_MANY_REQUESTS;
        result->reason = REASON_OVER_CAP;
        break;
    case USAGE_UNCHECKED:
        result->status = HTTP_STATUS_SERVICE_UNAVAILABLE;
        result->reason = REASON_CAP_UNCHECKED;
        break;
    }
    usage_gate_log_refusal(gate, workspace, result);
}

/* Takes a request out of its queue. */
static void
usage_gate_unlink(usage_gate_request *request)
{
    g_queue_unlink(request->queue, &request->link);
    request->queue = NULL;
    request->waiting = false;
}

/* Decides on the requests that wait for a slot; those that have waited for too
 * long are refused.  Their owners are called last: they may come back here. */
void
usage_gate_settle(usage_gate *gate, int slot)
{
    int64_t now_us = gate->n->l->now_us;
    GQueue decided = G_QUEUE_INIT;
    GList *next = NULL;
    for (GList *link = gate->waiting[slot].head; link != NULL; link = next) {
        usage_gate_request *request = link->data;
        usage_gate_result *result = &request->result;
        next = link->next;
        *result = (usage_gate_result){.retry_after_us = CLOCK_US_PER_S};
        result->decision = usage_share_settle(
            &request->token, &result->retry_after_us, gate->share,
            request->workspace, request->patient_until_us - now_us, now_us);
        if (result->decision == USAGE_WAIT &&
            now_us >= MAX(request->since_us + USAGE_GATE_WAIT_US,
                          request->patient_until_us)) {
            usage_share_cancel(gate->share, request->workspace);
            result->decision = USAGE_UNCHECKED;
        }
        if (result->decision != USAGE_WAIT) {
            request->taken = result->decision == USAGE_GRANTED;
            g_queue_unlink(&gate->waiting[slot], link);
            g_queue_push_tail_link(&decided, link);
            request->queue = &decided;
        }
    }
    while (!g_queue_is_empty(&decided)) {
        usage_gate_request *request = g_queue_peek_head(&decided);
        usage_gate_result result = request->result;
        usage_gate_unlink(request);
        usage_gate_complete(gate, request->workspace, &result);
        if (request->immediate != NULL) {
            *request->immediate = result;
        }
        else {
            request->done(&result, request->payload);
        }
    }
}

/* Whether this node knows the members that the caps are divided among, and
 * they know it. */
static bool
usage_gate_knows_members(const usage_gate *gate)
{
    const runtime *n = gate->n;
    return n->routes != NULL && member_view_is_mutual(&n->view, n->l->now_us);
}

/* Hands the members to the node's side. */
static void
usage_gate_read_members(usage_gate *gate)
{
    runtime *n = gate->n;
    uint64_t self = id_hash(n->self.node);
    GArray *members = g_array_new(FALSE, FALSE, sizeof(usage_member));
    bool self_known = false;
    g_hash_table_remove_all(gate->addresses);
    for (int i = 0;
         usage_gate_knows_members(gate) && i < instance_count(n->fleet); i++) {
        const instance_record *record = instance_get(n->fleet, i);
        if (record == NULL) {
            continue;
        }
        usage_member member = {id_hash(record->node),
                               !instance_is_node_silent(n->fleet, i)};
        self_known = self_known || member.id == self;
        g_array_append_val(members, member);
        g_hash_table_insert(gate->addresses,
                            g_memdup2(&member.id, sizeof(member.id)),
                            g_strdup(record->node));
    }
    if (!self_known && usage_gate_knows_members(gate)) {
        usage_member member = {self, true};
        g_array_append_val(members, member);
    }
    usage_share_set_members(gate->share, (const usage_member *)members->data,
                            members->len, n->l->now_us);
    g_array_free(members, TRUE);
}

/* Drops everything that depends on the clock if it stood while the host was
 * suspended. */
void
usage_gate_check_clock(usage_gate *gate)
{
    int64_t suspended_us = clock_suspended_us();
    if (suspended_us - gate->suspended_us > USAGE_GATE_SUSPENDED_US) {
        log_event(LOG_WARN, "usage_clock_stood", NULL, "{s:I}", "us",
                  (json_int_t)(suspended_us - gate->suspended_us));
        usage_share_reset(gate->share, gate->n->l->now_us);
        usage_owner_reset(gate->owner, usage_gate_epoch());
    }
    gate->suspended_us = suspended_us;
}

/* Timer: renews what is lent and ends what waits for too long. */
static void
usage_gate_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    usage_gate *gate = watcher->data;
    evloop_update_now(gate->n->l);
    usage_gate_check_clock(gate);
    if (gate->n->stopping) {
        usage_owner_leave(gate->owner);
    }
    if (gate->n->closed) {
        usage_share_stop(gate->share);
    }
    if (gate->periods++ % USAGE_GATE_MEMBERS_PERIODS == 0) {
        usage_gate_read_members(gate);
    }
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        usage_gate_settle(gate, i);
        usage_gate_send(gate, i);
    }
}

/* Creates the gate.  ERR_NO_MEMORY if memory is exhausted. */
int
usage_gate_new(usage_gate **out, runtime *n)
{
    usage_gate *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        return ERR_NO_MEMORY;
    }
    gate->n = n;
    gate->suspended_us = clock_suspended_us();
    gate->addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    ev_timer_init(&gate->timer, usage_gate_on_timer, 0., USAGE_GATE_PERIOD_S);
    gate->timer.data = gate;
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        g_queue_init(&gate->waiting[i]);
    }
    if (usage_share_new(&gate->share, id_hash(n->self.node),
                        n->self.incarnation << USAGE_GATE_SEQUENCE_SHIFT,
                        n->started_us) < 0 ||
        usage_owner_new(&gate->owner, usage_gate_epoch(), usage_gate_find,
                        gate) < 0) {
        usage_gate_free(gate);
        return ERR_NO_MEMORY;
    }
    *out = gate;
    return 0;
}

/* Frees the gate; NULL is allowed.  Nothing may wait at it. */
void
usage_gate_free(usage_gate *gate)
{
    if (gate == NULL) {
        return;
    }
    ev_timer_stop(gate->n->l->loop, &gate->timer);
    usage_share_free(gate->share);
    usage_owner_free(gate->owner);
    g_hash_table_destroy(gate->addresses);
    free(gate);
}

/* A desired state came into force: if it has a cap, the timer runs from now
 * on. */
void
usage_gate_configure(usage_gate *gate)
{
    runtime *n = gate->n;
    if (workspace_any_capped(routing_get_workspaces(n->routes))) {
        if (!ev_is_active(&gate->timer)) {
            ev_timer_start(n->l->loop, &gate->timer);
        }
    }
}

/* Takes one request of a workspace's cap.  USAGE_WAIT: `done` is called with
 * the decision, once and not from here, unless it is cancelled before.
 * `patience_us` is the time for which a wait is of use to its caller. */
usage_gate_result
usage_gate_take(usage_gate *gate, usage_gate_request *request,
                uint32_t workspace, int64_t patience_us,
                usage_gate_done_cb done, void *payload)
{
    usage_gate_result result = {.decision = USAGE_GRANTED};
    const struct workspace *entry = usage_gate_find(workspace, gate);
    int slot = usage_cap_slot(workspace);
    int64_t now_us = gate->n->l->now_us;
    if (entry == NULL || entry->rate_per_s <= 0) {
        return result;
    }
    usage_gate_check_clock(gate);
    patience_us = MIN(patience_us, USAGE_GATE_WAIT_MAX_US);
    result.decision =
        usage_share_take(&request->token, &result.retry_after_us, gate->share,
                         workspace, patience_us, now_us);
    if (result.decision == USAGE_WAIT &&
        g_queue_get_length(&gate->waiting[slot]) >= USAGE_GATE_WAITING_MAX) {
        usage_share_cancel(gate->share, workspace);
        result.decision = USAGE_UNCHECKED;
    }
    request->gate = gate;
    request->workspace = workspace;
    request->taken = result.decision == USAGE_GRANTED;
    if (result.decision != USAGE_WAIT) {
        usage_gate_complete(gate, workspace, &result);
        return result;
    }
    gate->waited++;
    request->waiting = true;
    request->since_us = now_us;
    request->patient_until_us = now_us + patience_us;
    request->done = done;
    request->payload = payload;
    request->immediate = &result;
    request->link.data = request;
    request->queue = &gate->waiting[slot];
    g_queue_push_tail_link(request->queue, &request->link);
    usage_gate_send(gate, slot);
    request->immediate = NULL;
    return result;
}

/* Gives up a request that waits; no effect on others. */
void
usage_gate_cancel(usage_gate_request *request)
{
    if (!request->waiting) {
        return;
    }
    if (request->queue ==
        &request->gate->waiting[usage_cap_slot(request->workspace)]) {
        usage_share_cancel(request->gate->share, request->workspace);
    }
    usage_gate_unlink(request);
    usage_gate_return(request);
}

/* Gives back a request that was granted and has not run and never will; no
 * effect if none was taken. */
void
usage_gate_return(usage_gate_request *request)
{
    if (request->taken) {
        request->taken = false;
        usage_share_return(request->gate->share, &request->token,
                           request->gate->n->l->now_us);
    }
}
