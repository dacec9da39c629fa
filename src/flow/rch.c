#include "rch.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http_async.h"
#include "lav/clock.h"
#include "lav/err.h"
#include "lav/id.h"
#include "lav/log.h"
#include "rec.h"

#define RCH_PERIOD_S 0.1 /* how exactly the times between questions are kept */
#define RCH_ASK_US 500000 /* 0.5 s for an answer */
#define RCH_FORGET_US                                                         \
    (5 * CLOCK_US_PER_S) /* a process that was killed is back within some s */
#define RCH_TURN_US 1000000LL /* 1 s between the turns of the others */
#define RCH_TURNS_MAX 3       /* the entry is gone by then, if they know */

struct rch {
    nod *n;
    ev_timer timer; /* runs while any is lost */
};

typedef struct rch_question {
    rch *r;
    char node[INSTANCE_NAME_SIZE];
} rch_question;

/* How many of the others come before this node to take a lost node's entry
 * away, by a hash that all work out alike. */
static int
rch_turn(const nod *n, const char *lost)
{
    uint64_t own = id_hash(n->self.node) ^ id_hash(lost);
    int turn = 0;
    for (int i = 0; i < instance_count(n->fleet); i++) {
        const instance_record *record = instance_get(n->fleet, i);
        if (record != NULL &&
            instance_unreachable_for_us(n->fleet, i, n->l->now_us) < 0 &&
            (id_hash(record->node) ^ id_hash(lost)) < own) {
            turn++;
        }
    }
    return MIN(turn, RCH_TURNS_MAX);
}

static void
rch_give_up(const nod *n, int member)
{
    const instance_record *record = instance_get(n->fleet, member);
    int64_t lost_us =
        instance_unreachable_for_us(n->fleet, member, n->l->now_us);
    if (n->forget == NULL ||
        lost_us < RCH_FORGET_US + rch_turn(n, record->node) * RCH_TURN_US) {
        return;
    }
    log_event(LOG_WARN, "member_given_up", NULL, "{s:s,s:s,s:I}", "node",
              record->node, "instance", record->instance, "lost_ms",
              (json_int_t)(lost_us / CLOCK_US_PER_MS));
    n->forget(record->node, n->announce_payload);
}

/* What a node at the address says of itself. */
static bool
rch_read(instance_record *out, const http_async_response *answer)
{
    err e = ERR_INIT;
    if (answer->result != HTTP_ASYNC_COMPLETE || answer->status != 200) {
        return false;
    }
    json_t *value = json_loadb(answer->body, answer->length, 0, NULL);
    int result = rec_unpack(out, value, &e);
    if (result < 0) {
        log_write(LOG_WARN, NULL, "a node's own record not taken: %s",
                  e.message);
    }
    json_decref(value);
    return result == 0;
}

static void
rch_on_answer(const http_async_response *answer, void *payload)
{
    rch_question *q = payload;
    nod *n = q->r->n;
    instance_record record;
    int member = instance_find(n->fleet, q->node);
    bool read = rch_read(&record, answer);
    if (read) {
        nod_merge(n, &record, "the node itself");
    }
    if (member != INSTANCE_NONE && read && strcmp(record.node, q->node) == 0) {
        instance_mark_reachable(n->fleet, member);
        log_event(LOG_INFO, "member_found", NULL, "{s:s,s:s}", "node", q->node,
                  "instance", record.instance);
    }
    else if (member != INSTANCE_NONE) {
        rch_give_up(n, member);
    }
    free(q);
}

static void
rch_ask(rch *r, int member)
{
    const instance_record *record = instance_get(r->n->fleet, member);
    struct sockaddr_in to = rec_address(record);
    http_async_options opts = {
        .method = "GET", .path = RCH_NODE_PATH, .timeout_us = RCH_ASK_US};
    rch_question *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        log_write(LOG_ERROR, NULL, "no memory to ask a lost node");
        return;
    }
    q->r = r;
    g_strlcpy(q->node, record->node, sizeof(q->node));
    if (http_async_start(NULL, r->n->pool, r->n->l, &to, &opts, rch_on_answer,
                         q) < 0) {
        log_write(LOG_WARN, NULL, "lost node %s can't be asked", q->node);
        free(q);
    }
}

static void
rch_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    rch *r = watcher->data;
    nod *n = r->n;
    evloop_update_now(n->l);
    int member = INSTANCE_NONE;
    while ((member = instance_next_to_probe(n->fleet, n->l->now_us)) !=
           INSTANCE_NONE) {
        rch_ask(r, member);
    }
    bool any = false;
    for (int i = 0; i < instance_count(n->fleet) && !any; i++) {
        any = instance_unreachable_for_us(n->fleet, i, n->l->now_us) >= 0;
    }
    if (!any) {
        ev_timer_stop(loop, watcher);
    }
}

/* Make the duty; nothing is asked before a node is lost. */
int
rch_new(rch **out, nod *n)
{
    rch *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_NO_MEMORY;
    }
    r->n = n;
    ev_timer_init(&r->timer, rch_on_timer, RCH_PERIOD_S, RCH_PERIOD_S);
    r->timer.data = r;
    *out = r;
    return 0;
}

/* Release it; takes NULL. */
void
rch_free(rch *r)
{
    if (r != NULL) {
        ev_timer_stop(r->n->l->loop, &r->timer);
        free(r);
    }
}

/* A member could not be reached, or another instance answered. */
void
rch_lost(rch *r, int member)
{
    nod *n = r->n;
    const instance_record *record = instance_get(n->fleet, member);
    if (record != NULL &&
        instance_unreachable_for_us(n->fleet, member, n->l->now_us) < 0) {
        log_event(LOG_WARN, "member_lost", NULL, "{s:s,s:s}", "node",
                  record->node, "instance", record->instance);
    }
    instance_mark_unreachable(n->fleet, member, n->l->now_us);
    ev_timer_start(n->l->loop, &r->timer);
}
