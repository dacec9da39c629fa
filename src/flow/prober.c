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

#define PROBER_PERIOD_S                                                       \
    0.1 /* how exactly the times between questions are kept */
#define PROBER_ASK_US 500000 /* 0.5 s for an answer */
#define PROBER_FORGET_US                                                      \
    (5 * CLOCK_US_PER_S) /* a process that was killed is back within some s */
#define PROBER_TURN_US 1000000LL /* 1 s between the turns of the others */
#define PROBER_TURNS_MAX 3       /* the entry is gone by then, if they know */

struct prober {
    runtime *n;
    ev_timer timer; /* runs while any is lost */
};

typedef struct prober_question {
    prober *r;
    char node[INSTANCE_NAME_SIZE];
} prober_question;

/* How many of the others come before this node to take a lost node's entry
 * away, by a hash that all work out alike. */
static int
prober_turn(const runtime *n, const char *lost)
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
    return MIN(turn, PROBER_TURNS_MAX);
}

static void
prober_give_up(const runtime *n, int member)
{
    const instance_record *record = instance_get(n->fleet, member);
    int64_t lost_us =
        instance_unreachable_for_us(n->fleet, member, n->l->now_us);
    if (n->forget == NULL ||
        lost_us <
            PROBER_FORGET_US + prober_turn(n, record->node) * PROBER_TURN_US) {
        return;
    }
    log_event(LOG_WARN, "member_given_up", NULL, "{s:s,s:s,s:I}", "node",
              record->node, "instance", record->instance, "lost_ms",
              (json_int_t)(lost_us / CLOCK_US_PER_MS));
    n->forget(record->node, n->callback_payload);
}

/* What a node at the address says of itself. */
static bool
prober_read(instance_record *out, const http_async_response *answer)
{
    err e = ERR_INIT;
    if (answer->result != HTTP_ASYNC_COMPLETE || answer->status != 200) {
        return false;
    }
    json_t *value = json_loadb(answer->body, answer->length, 0, NULL);
    int result = record_json_decode(out, value, &e);
    if (result < 0) {
        log_write(LOG_WARN, NULL, "a node's own record not taken: %s",
                  e.message);
    }
    json_decref(value);
    return result == 0;
}

static void
prober_on_answer(const http_async_response *answer, void *payload)
{
    prober_question *q = payload;
    runtime *n = q->r->n;
    instance_record record;
    int member = instance_find(n->fleet, q->node);
    bool read = prober_read(&record, answer);
    if (read) {
        runtime_merge_member(n, &record, "the node itself");
    }
    if (member != INSTANCE_NONE && read && strcmp(record.node, q->node) == 0) {
        instance_mark_reachable(n->fleet, member);
        log_event(LOG_INFO, "member_found", NULL, "{s:s,s:s}", "node", q->node,
                  "instance", record.instance);
    }
    else if (member != INSTANCE_NONE) {
        prober_give_up(n, member);
    }
    free(q);
}

static void
prober_ask(prober *r, int member)
{
    const instance_record *record = instance_get(r->n->fleet, member);
    struct sockaddr_in to = record_json_address(record);
    http_async_options opts = {.method = "GET",
                               .path = PROBER_NODE_PATH,
                               .timeout_us = PROBER_ASK_US};
    prober_question *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        log_write(LOG_ERROR, NULL, "no memory to ask a lost node");
        return;
    }
    q->r = r;
    g_strlcpy(q->node, record->node, sizeof(q->node));
    if (http_async_start(NULL, r->n->pool, r->n->l, &to, &opts,
                         prober_on_answer, q) < 0) {
        log_write(LOG_WARN, NULL, "lost node %s can't be asked", q->node);
        free(q);
    }
}

static void
prober_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    prober *r = watcher->data;
    runtime *n = r->n;
    evloop_update_now(n->l);
    int member = INSTANCE_NONE;
    while ((member = instance_next_to_probe(n->fleet, n->l->now_us)) !=
           INSTANCE_NONE) {
        prober_ask(r, member);
    }
    bool any = false;
    for (int i = 0; i < instance_count(n->fleet) && !any; i++) {
        any = instance_unreachable_for_us(n->fleet, i, n->l->now_us) >= 0;
    }
    if (!any) {
        ev_timer_stop(loop, watcher);
    }
}

/* Make the worker_thread; nothing is asked before a node is lost. */
int
prober_new(prober **out, runtime *n)
{
    prober *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_NO_MEMORY;
    }
    r->n = n;
    ev_timer_init(&r->timer, prober_on_timer, PROBER_PERIOD_S,
                  PROBER_PERIOD_S);
    r->timer.data = r;
    *out = r;
    return 0;
}

/* Release it; takes NULL. */
void
prober_free(prober *r)
{
    if (r != NULL) {
        ev_timer_stop(r->n->l->loop, &r->timer);
        free(r);
    }
}

/* A member could not be reached, or another instance answered. */
void
prober_mark_unreachable(prober *r, int member)
{
    runtime *n = r->n;
    const instance_record *record = instance_get(n->fleet, member);
    if (record != NULL &&
        instance_unreachable_for_us(n->fleet, member, n->l->now_us) < 0) {
        log_event(LOG_WARN, "member_lost", NULL, "{s:s,s:s}", "node",
                  record->node, "instance", record->instance);
    }
    instance_mark_unreachable(n->fleet, member, n->l->now_us);
    ev_timer_start(n->l->loop, &r->timer);
}
