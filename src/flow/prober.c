#include "prober.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http_async.h"
#include "lav/clock.h"
#include "lav/err.h"
#include "lav/id.h"
#include "lav/log.h"
#include "record_json.h"

/* Period of the check for due probes, in seconds. */
#define PROBER_PERIOD_S 0.1

#define PROBER_TIMEOUT_US 500000 /* 0.5 s for a response */

/* 5 s; a process that was killed is restarted within some seconds. */
#define PROBER_REMOVE_AFTER_US (5 * CLOCK_US_PER_S)

/* 1 s by which each further rank delays its removal of the entry. */
#define PROBER_REMOVE_STAGGER_US 1000000LL

/* Higher ranks act together: the entry is gone by then, unless the nodes
 * before them have not noticed. */
#define PROBER_REMOVE_RANK_MAX 3

struct prober {
    runtime *n;
    ev_timer timer; /* runs while any is unreachable, or leaving */
};

typedef struct prober_probe {
    prober *p;
    char node[INSTANCE_NAME_SIZE];
} prober_probe;

/* Returns this node's rank among the reachable nodes for removing the entry of
 * an unreachable one, by a hash that all nodes compute alike. */
static int
prober_removal_rank(const runtime *n, const char *unreachable)
{
    uint64_t own = id_hash(n->self.node) ^ id_hash(unreachable);
    int rank = 0;
    for (int i = 0; i < instance_count(n->fleet); i++) {
        const instance_record *record = instance_get(n->fleet, i);
        if (record != NULL &&
            instance_unreachable_for_us(n->fleet, i, n->l->now_us) < 0 &&
            (id_hash(record->node) ^ id_hash(unreachable)) < own) {
            rank++;
        }
    }
    return MIN(rank, PROBER_REMOVE_RANK_MAX);
}

/* Removes the entry of a node that has been unreachable for long enough.
 * Nodes of a higher rank wait longer, so that usually only one acts. */
static void
prober_remove_if_expired(const runtime *n, int member)
{
    const instance_record *record = instance_get(n->fleet, member);
    int64_t unreachable_us =
        instance_unreachable_for_us(n->fleet, member, n->l->now_us);
    if (n->remove_member == NULL ||
        unreachable_us <
            PROBER_REMOVE_AFTER_US + prober_removal_rank(n, record->node) *
                                         PROBER_REMOVE_STAGGER_US) {
        return;
    }
    log_event(LOG_WARN, "member_given_up", NULL, "{s:s,s:s,s:I}", "node",
              record->node, "instance", record->instance, "lost_ms",
              (json_int_t)(unreachable_us / CLOCK_US_PER_MS));
    n->remove_member(record->node, n->callback_payload);
}

/* Decodes the record in a probe's response; false if there is none. */
static bool
prober_decode_response(instance_record *out,
                       const http_async_response *response)
{
    err e = ERR_INIT;
    if (response->result != HTTP_ASYNC_COMPLETE || response->status != 200) {
        return false;
    }
    json_t *value = json_loadb(response->body, response->length, 0, NULL);
    int result = record_json_decode(out, value, &e);
    if (result < 0) {
        log_write(LOG_WARN, NULL, "record in a probe response rejected: %s",
                  e.message);
    }
    json_decref(value);
    return result == 0;
}

/* Marks the probed node as reachable if it responded with its own name. */
static void
prober_on_response(const http_async_response *response, void *payload)
{
    prober_probe *q = payload;
    runtime *n = q->p->n;
    instance_record record;
    int member = instance_find(n->fleet, q->node);
    bool decoded = prober_decode_response(&record, response);
    if (decoded) {
        runtime_merge_member(n, &record, "the node itself");
    }
    if (member != INSTANCE_NONE && decoded &&
        strcmp(record.node, q->node) == 0) {
        bool lost =
            instance_unreachable_for_us(n->fleet, member, n->l->now_us) >= 0;
        instance_mark_reachable(n->fleet, member);
        if (lost) {
            log_event(LOG_INFO, "member_found", NULL, "{s:s,s:s}", "node",
                      q->node, "instance", record.instance);
        }
    }
    else if (member != INSTANCE_NONE) {
        if (response->result != HTTP_ASYNC_COMPLETE) {
            instance_note_silent(n->fleet, member);
        }
        prober_remove_if_expired(n, member);
    }
    free(q);
}

/* Sends a probe to a member of the fleet. */
static void
prober_send_probe(prober *p, int member)
{
    const instance_record *record = instance_get(p->n->fleet, member);
    struct sockaddr_in to = record_json_address(record);
    http_async_options opts = {.method = "GET",
                               .path = PROBER_NODE_PATH,
                               .timeout_us = PROBER_TIMEOUT_US};
    prober_probe *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        log_write(LOG_ERROR, NULL, "out of memory for a probe");
        return;
    }
    q->p = p;
    g_strlcpy(q->node, record->node, sizeof(q->node));
    if (http_async_start(NULL, p->n->pool, p->n->l, &to, &opts,
                         prober_on_response, q) < 0) {
        log_write(LOG_WARN, NULL,
                  "probe of unreachable node %s cannot be sent", q->node);
        free(q);
    }
}

/* Probes the unreachable members that are due. */
static void
prober_probe_unreachable(prober *p)
{
    runtime *n = p->n;
    int member = INSTANCE_NONE;
    while ((member = instance_next_to_probe(n->fleet, n->l->now_us)) !=
           INSTANCE_NONE) {
        prober_send_probe(p, member);
    }
}

/* Probes the members that are due; stops the timer once all are reachable and
 * none is leaving. */
static void
prober_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    prober *p = watcher->data;
    runtime *n = p->n;
    evloop_update_now(n->l);
    int member = INSTANCE_NONE;
    prober_probe_unreachable(p);
    while ((member = instance_next_leaving_to_probe(n->fleet, n->l->now_us)) !=
           INSTANCE_NONE) {
        prober_send_probe(p, member);
    }
    bool any = instance_is_any_leaving(n->fleet);
    for (int i = 0; i < instance_count(n->fleet) && !any; i++) {
        any = instance_unreachable_for_us(n->fleet, i, n->l->now_us) >= 0;
    }
    if (!any) {
        ev_timer_stop(loop, watcher);
    }
}

/* Creates the prober; it is idle until a node becomes unreachable.
 * ERR_NO_MEMORY on failure. */
int
prober_new(prober **out, runtime *n)
{
    prober *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return ERR_NO_MEMORY;
    }
    p->n = n;
    ev_timer_init(&p->timer, prober_on_timer, PROBER_PERIOD_S,
                  PROBER_PERIOD_S);
    p->timer.data = p;
    *out = p;
    return 0;
}

/* Releases the prober; accepts NULL. */
void
prober_free(prober *p)
{
    if (p != NULL) {
        ev_timer_stop(p->n->l->loop, &p->timer);
        free(p);
    }
}

/* Starts to ask the nodes of instances that have said that they leave what
 * stands beside them: these get no requests, whose refusals would tell, and the
 * store may be silent. */
void
prober_watch_leaving(prober *p)
{
    ev_timer_start(p->n->l->loop, &p->timer);
}

/* Logs that an instance gets no calls from now on. */
static void
prober_log_lost(const runtime *n, int member)
{
    const instance_record *record = instance_get(n->fleet, member);
    if (record != NULL &&
        instance_unreachable_for_us(n->fleet, member, n->l->now_us) < 0) {
        log_event(LOG_WARN, "member_lost", NULL, "{s:s,s:s}", "node",
                  record->node, "instance", record->instance);
    }
}

/* Marks a member as unreachable and starts to probe it. */
void
prober_mark_unreachable(prober *p, int member)
{
    prober_log_lost(p->n, member);
    instance_mark_unreachable(p->n->fleet, member, p->n->l->now_us);
    ev_timer_start(p->n->l->loop, &p->timer);
}

/* Marks a member as having another instance than its record says, and asks its
 * node for the record. */
void
prober_mark_replaced(prober *p, int member)
{
    prober_log_lost(p->n, member);
    instance_mark_replaced(p->n->fleet, member, p->n->l->now_us);
    prober_probe_unreachable(p);
    ev_timer_start(p->n->l->loop, &p->timer);
}
