#include "gsp.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "cfs.h"
#include "duty.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/config_version.h"

#define GSP_TICK_US 50000 /* 50 ms */
#define GSP_PROBE_WAIT_MS 400
#define GSP_URGENT_ROUNDS 6 /* quick rounds after urgent news */
#define GSP_URGENT_FANOUT 2 /* members told in a quick round */
#define GSP_SEED_PERIOD_US 1000000

typedef struct gsp_peer {
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t port;
} gsp_peer;

struct gsp {
    node *node;
    pthread_mutex_t lock;
    swim_list *members;
    bool changed;             /* since the view was last published */
    int64_t fleet_changed_us; /* in the own service */
    duty thread;
    uint64_t told_config; /* version that urgent rounds were begun for */
    bool newer;           /* a node has told of a newer configuration */
    gsp_peer newer_at;
    int urgent; /* quick rounds still to go */
    int64_t probed_us;
    int64_t seeded_us;
};

static void
gsp_fill_self(swim_member *out, const node *n)
{
    const nodecfg *s = &n->settings;
    *out = (swim_member){0};
    snprintf(out->name, sizeof(out->name), "%s", s->name);
    snprintf(out->service, sizeof(out->service), "%s", s->service);
    snprintf(out->zone, sizeof(out->zone), "%s", s->zone);
    snprintf(out->address, sizeof(out->address), "%s", s->address);
    out->peer_port = (uint16_t)s->advertised_peer_port;
    out->control_port = (uint16_t)s->advertised_control_port;
    out->callers_port = (uint16_t)s->callers_port;
    out->incarnation = n->incarnation;
    out->state = SWIM_STARTING;
}

/* Make the view of the fleet, with this node alone in it. */
int
gsp_new(gsp **out, node *n, err *e)
{
    swim_member self;
    gsp *g = calloc(1, sizeof(*g));
    gsp_fill_self(&self, n);
    if (g == NULL || swim_new(&g->members, &self) < 0) {
        free(g);
        return ERR_SET(e, ERR_NO_MEMORY, "gossip");
    }
    g->node = n;
    g->changed = true;
    pthread_mutex_init(&g->lock, NULL);
    *out = g;
    return 0;
}

static void
gsp_note_change(gsp *g, const swim_member *entry)
{
    g->changed = true;
    if (strcmp(entry->service, g->node->settings.service) == 0) {
        g->fleet_changed_us = clock_now_us();
    }
}

static void
gsp_merge(gsp *g, const msg_gossip *news)
{
    for (size_t i = 0; i < news->count; i++) {
        if (swim_merge(g->members, &news->news[i], clock_now_us())) {
            gsp_note_change(g, &news->news[i]);
        }
    }
}

static void
gsp_tell(gsp *g, msg_gossip *out, const char *to)
{
    swim_member accused;
    out->config = cfs_version(g->node->configs);
    out->count = swim_collect_updates(out->news, g->members, SWIM_UPDATES_MAX);
    if (to != NULL && swim_collect_accusation(&accused, g->members, to)) {
        out->news[out->count++] = accused;
    }
}

/* A node tells of a newer configuration than ours: remember where, for the
 * gossip's own thread to fetch it. */
static void
gsp_note_newer(gsp *g, const msg_gossip *news)
{
    if (news->count > 0 && news->config > cfs_version(g->node->configs)) {
        const swim_member *teller = &news->news[0];
        g->newer = true;
        snprintf(g->newer_at.address, sizeof(g->newer_at.address), "%s",
                 teller->address);
        g->newer_at.port = teller->control_port;
    }
}

/* Another node tells its news, its own entry first; answer with ours. */
void
gsp_take(gsp *g, const msg_gossip *news, msg_gossip *out_answer)
{
    pthread_mutex_lock(&g->lock);
    gsp_merge(g, news);
    gsp_note_newer(g, news);
    gsp_tell(g, out_answer, news->count > 0 ? news->news[0].name : NULL);
    pthread_mutex_unlock(&g->lock);
}

/* A member that the platform lists. */
void
gsp_meet(gsp *g, const swim_member *entry)
{
    pthread_mutex_lock(&g->lock);
    if (swim_merge(g->members, entry, clock_now_us())) {
        gsp_note_change(g, entry);
    }
    pthread_mutex_unlock(&g->lock);
}

/* This node's own entry. */
void
gsp_self(swim_member *out, gsp *g)
{
    pthread_mutex_lock(&g->lock);
    *out = *swim_self(g->members);
    pthread_mutex_unlock(&g->lock);
}

/* Time since the own service's members last changed. */
int64_t
gsp_quiet_us(gsp *g, int64_t now_us)
{
    pthread_mutex_lock(&g->lock);
    int64_t quiet_us = now_us - g->fleet_changed_us;
    pthread_mutex_unlock(&g->lock);
    return quiet_us;
}

static int
gsp_ask_object(msg *out, const gsp_peer *peer, const char *key, err *e)
{
    msg question = {.kind = MSG_FETCH};
    snprintf(question.fetch.key, sizeof(question.fetch.key), "%s", key);
    int result = ask_exchange(out, peer->address, peer->port, &question,
                              GSP_PROBE_WAIT_MS, e);
    if (result < 0) {
        return result;
    }
    if (out->kind != MSG_OBJECT || out->object.version == 0) {
        msg_clear(out);
        return ERR_SET(e, ERR_NOT_FOUND, "%s does not hold %s", peer->address,
                       key);
    }
    return 0;
}

static int
gsp_fetch_file(char **out, const char *hash, err *e, void *payload)
{
    char key[MSG_KEY_SIZE];
    msg answer;
    snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX, hash);
    int result = gsp_ask_object(&answer, payload, key, e);
    if (result == 0) {
        *out = answer.object.body.bytes;
        answer.object.body.bytes = NULL;
        msg_clear(&answer);
    }
    return result;
}

/* A peer has a newer configuration: get it from there. */
static void
gsp_fetch_config(gsp *g, gsp_peer *peer)
{
    msg head;
    err e = ERR_INIT;
    if (gsp_ask_object(&head, peer, MANIFEST_KEY, &e) < 0) {
        return;
    }
    if (cfs_apply(g->node->configs, head.object.version,
                  head.object.body.bytes, gsp_fetch_file, peer, &e) < 0) {
        log_write(LOG_WARN, NULL, "configuration from a peer: %s", e.message);
    }
    msg_clear(&head);
}

/* Fetch the newer configuration that a node has told of, if there is one. */
static void
gsp_follow_newer(gsp *g)
{
    pthread_mutex_lock(&g->lock);
    bool newer = g->newer;
    gsp_peer peer = g->newer_at;
    g->newer = false;
    pthread_mutex_unlock(&g->lock);
    if (newer) {
        gsp_fetch_config(g, &peer);
    }
}

/* Exchange news with the node at an address; false without an answer. */
static bool
gsp_exchange(gsp *g, const char *address, uint16_t port, const char *name)
{
    msg question = {.kind = MSG_GOSSIP};
    msg answer;
    gsp_peer peer = {.port = port};
    snprintf(peer.address, sizeof(peer.address), "%s", address);
    pthread_mutex_lock(&g->lock);
    gsp_tell(g, &question.gossip, name);
    pthread_mutex_unlock(&g->lock);
    counter_add(COUNTER_GOSSIP_SENT, 1);
    if (ask_exchange(&answer, address, port, &question, GSP_PROBE_WAIT_MS,
                     NULL) < 0) {
        return false;
    }
    bool understood = answer.kind == MSG_GOSSIP;
    uint64_t config = 0;
    if (understood) {
        pthread_mutex_lock(&g->lock);
        gsp_merge(g, &answer.gossip);
        pthread_mutex_unlock(&g->lock);
        config = answer.gossip.config;
    }
    msg_clear(&answer);
    if (config > cfs_version(g->node->configs)) {
        gsp_fetch_config(g, &peer);
    }
    return understood;
}

static void
gsp_probe(gsp *g)
{
    swim_member entry;
    pthread_mutex_lock(&g->lock);
    int picked = swim_pick_probe(g->members);
    if (picked != SWIM_NONE) {
        entry = *swim_get(g->members, (size_t)picked);
    }
    pthread_mutex_unlock(&g->lock);
    if (picked == SWIM_NONE ||
        gsp_exchange(g, entry.address, entry.control_port, entry.name)) {
        return;
    }
    pthread_mutex_lock(&g->lock);
    swim_mark_suspect(g->members, entry.name, entry.incarnation,
                      clock_now_us());
    g->changed = true;
    pthread_mutex_unlock(&g->lock);
}

/* Ask the seeds of the settings while nobody else is known. */
static void
gsp_ask_seeds(gsp *g, int64_t now_us)
{
    const toml_strings *seeds = &g->node->settings.seeds;
    if (now_us - g->seeded_us < GSP_SEED_PERIOD_US) {
        return;
    }
    g->seeded_us = now_us;
    for (size_t i = 0; i < seeds->count; i++) {
        char address[NODECFG_ADDRESS_SIZE];
        unsigned port = 0;
        if (sscanf(seeds->items[i], "%47[^:]:%u", address, &port) == 2) {
            gsp_exchange(g, address, (uint16_t)port, NULL);
        }
    }
}

static void
gsp_follow_self(gsp *g)
{
    const node_load *load = &g->node->load;
    enum swim_state state = SWIM_STARTING;
    if (atomic_load(&load->draining) != 0 ||
        atomic_load(&load->stopping) != 0) {
        state = SWIM_LEAVING;
    }
    else if (atomic_load(&load->ready) != 0) {
        state = SWIM_READY;
    }
    pthread_mutex_lock(&g->lock);
    if (swim_set_self(g->members, state)) {
        gsp_note_change(g, swim_self(g->members));
        g->urgent = GSP_URGENT_ROUNDS;
    }
    if (swim_tick(g->members, clock_now_us())) {
        g->changed = true;
        g->fleet_changed_us = clock_now_us();
    }
    pthread_mutex_unlock(&g->lock);
}

static void
gsp_publish(gsp *g)
{
    pthread_mutex_lock(&g->lock);
    bool changed = g->changed;
    g->changed = false;
    if (changed) {
        view_fleet_set(g->node->view, g->members);
    }
    pthread_mutex_unlock(&g->lock);
}

static void
gsp_round(gsp *g, int64_t now_us)
{
    if (g->urgent > 0) {
        g->urgent--;
        for (int i = 0; i < GSP_URGENT_FANOUT; i++) {
            gsp_probe(g);
        }
        return;
    }
    pthread_mutex_lock(&g->lock);
    bool much = swim_pending_updates(g->members) > SWIM_UPDATES_MAX;
    pthread_mutex_unlock(&g->lock);
    int64_t period_us =
        much ? SWIM_FAST_PROBE_PERIOD_US : SWIM_PROBE_PERIOD_US;
    if (now_us - g->probed_us >= period_us) {
        g->probed_us = now_us;
        gsp_probe(g);
    }
}

static void
gsp_main(void *payload)
{
    gsp *g = payload;
    while (!duty_ended(&g->thread)) {
        int64_t now_us = clock_now_us();
        gsp_follow_newer(g);
        uint64_t config = cfs_version(g->node->configs);
        if (config > g->told_config) {
            g->told_config = config;
            g->urgent = GSP_URGENT_ROUNDS;
        }
        gsp_follow_self(g);
        if (swim_count(g->members) < 2) {
            gsp_ask_seeds(g, now_us);
        }
        gsp_round(g, now_us);
        gsp_publish(g);
        clock_sleep_us(GSP_TICK_US);
    }
}

/* Begin to probe. */
int
gsp_start(gsp *g, err *e)
{
    return duty_start(&g->thread, gsp_main, g, e);
}

/* End the thread. */
void
gsp_stop(gsp *g)
{
    duty_join(&g->thread);
}

/* Release it; takes NULL. */
void
gsp_free(gsp *g)
{
    if (g != NULL) {
        duty_join(&g->thread);
        swim_free(g->members);
        pthread_mutex_destroy(&g->lock);
        free(g);
    }
}
