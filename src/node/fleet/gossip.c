#include "gossip.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rpc_sync.h"
#include "config_store.h"
#include "worker.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/config_version.h"

#define GOSSIP_TICK_US 50000 /* 50 ms */
#define GOSSIP_PROBE_WAIT_MS 400
#define GOSSIP_URGENT_ROUNDS 6 /* quick rounds after urgent news */
#define GOSSIP_URGENT_FANOUT 2 /* members told in a quick round */
#define GOSSIP_SEED_PERIOD_US 1000000

typedef struct gossip_peer {
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t port;
} gossip_peer;

struct gossip_agent {
    node *node;
    pthread_mutex_t lock;
    swim_list *members;
    bool changed;             /* since the snapshot was last published */
    int64_t fleet_changed_us; /* in the own service */
    worker_thread thread;
    uint64_t told_config; /* version that urgent rounds were begun for */
    bool newer;           /* a node has told of a newer configuration */
    gossip_peer newer_at;
    int urgent; /* quick rounds still to go */
    int64_t probed_us;
    int64_t seeded_us;
};

static void
gossip_fill_self(swim_member *out, const node *n)
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

/* Make the snapshot of the fleet, with this node alone in it. */
int
gossip_new(gossip_agent **out, node *n, err *e)
{
    swim_member self;
    gossip_agent *g = calloc(1, sizeof(*g));
    gossip_fill_self(&self, n);
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
gossip_note_change(gossip_agent *g, const swim_member *entry)
{
    g->changed = true;
    if (strcmp(entry->service, g->node->settings.service) == 0) {
        g->fleet_changed_us = clock_now_us();
    }
}

static void
gossip_merge(gossip_agent *g, const msg_gossip *news)
{
    for (size_t i = 0; i < news->count; i++) {
        if (swim_merge(g->members, &news->news[i], clock_now_us())) {
            gossip_note_change(g, &news->news[i]);
        }
    }
}

static void
gossip_tell(gossip_agent *g, msg_gossip *out, const char *to)
{
    swim_member accused;
    out->config = config_store_version(g->node->configs);
    out->count = swim_collect_updates(out->news, g->members, SWIM_UPDATES_MAX);
    if (to != NULL && swim_collect_accusation(&accused, g->members, to)) {
        out->news[out->count++] = accused;
    }
}

/* A node tells of a newer configuration than ours: remember where, for the
 * gossip's own thread to fetch it. */
static void
gossip_note_newer(gossip_agent *g, const msg_gossip *news)
{
    if (news->count > 0 &&
        news->config > config_store_version(g->node->configs)) {
        const swim_member *teller = &news->news[0];
        g->newer = true;
        snprintf(g->newer_at.address, sizeof(g->newer_at.address), "%s",
                 teller->address);
        g->newer_at.port = teller->control_port;
    }
}

/* Another node tells its news, its own entry first; answer with ours. */
void
gossip_handle_exchange(gossip_agent *g, const msg_gossip *news,
                       msg_gossip *out_answer)
{
    pthread_mutex_lock(&g->lock);
    gossip_merge(g, news);
    gossip_note_newer(g, news);
    gossip_tell(g, out_answer, news->count > 0 ? news->news[0].name : NULL);
    pthread_mutex_unlock(&g->lock);
}

/* A member that the platform lists. */
void
gossip_add_member(gossip_agent *g, const swim_member *entry)
{
    pthread_mutex_lock(&g->lock);
    if (swim_merge(g->members, entry, clock_now_us())) {
        gossip_note_change(g, entry);
    }
    pthread_mutex_unlock(&g->lock);
}

/* This node's own entry. */
void
gossip_get_self(swim_member *out, gossip_agent *g)
{
    pthread_mutex_lock(&g->lock);
    *out = *swim_self(g->members);
    pthread_mutex_unlock(&g->lock);
}

/* Time since the own service's members last changed. */
int64_t
gossip_service_unchanged_us(gossip_agent *g, int64_t now_us)
{
    pthread_mutex_lock(&g->lock);
    int64_t quiet_us = now_us - g->fleet_changed_us;
    pthread_mutex_unlock(&g->lock);
    return quiet_us;
}

static int
gossip_ask_object(msg *out, const gossip_peer *peer, const char *key, err *e)
{
    msg question = {.kind = MSG_FETCH};
    snprintf(question.fetch.key, sizeof(question.fetch.key), "%s", key);
    int result = rpc_sync_request(out, peer->address, peer->port, &question,
                                  GOSSIP_PROBE_WAIT_MS, e);
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
gossip_fetch_file(char **out, const char *hash, err *e, void *payload)
{
    char key[MSG_KEY_SIZE];
    msg answer;
    snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX, hash);
    int result = gossip_ask_object(&answer, payload, key, e);
    if (result == 0) {
        *out = answer.object.body.bytes;
        answer.object.body.bytes = NULL;
        msg_clear(&answer);
    }
    return result;
}

/* A peer has a newer configuration: get it from there. */
static void
gossip_fetch_config(gossip_agent *g, gossip_peer *peer)
{
    msg head;
    err e = ERR_INIT;
    if (gossip_ask_object(&head, peer, MANIFEST_KEY, &e) < 0) {
        return;
    }
    if (config_store_apply(g->node->configs, head.object.version,
                           head.object.body.bytes, gossip_fetch_file, peer,
                           &e) < 0) {
        log_write(LOG_WARN, NULL, "configuration from a peer: %s", e.message);
    }
    msg_clear(&head);
}

/* Fetch the newer configuration that a node has told of, if there is one. */
static void
gossip_follow_newer(gossip_agent *g)
{
    pthread_mutex_lock(&g->lock);
    bool newer = g->newer;
    gossip_peer peer = g->newer_at;
    g->newer = false;
    pthread_mutex_unlock(&g->lock);
    if (newer) {
        gossip_fetch_config(g, &peer);
    }
}

/* Exchange news with the node at an address; false without an answer. */
static bool
gossip_exchange(gossip_agent *g, const char *address, uint16_t port,
                const char *name)
{
    msg question = {.kind = MSG_GOSSIP};
    msg answer;
    gossip_peer peer = {.port = port};
    snprintf(peer.address, sizeof(peer.address), "%s", address);
    pthread_mutex_lock(&g->lock);
    gossip_tell(g, &question.gossip, name);
    pthread_mutex_unlock(&g->lock);
    counter_add(COUNTER_GOSSIP_SENT, 1);
    if (rpc_sync_request(&answer, address, port, &question,
                         GOSSIP_PROBE_WAIT_MS, NULL) < 0) {
        return false;
    }
    bool understood = answer.kind == MSG_GOSSIP;
    uint64_t config = 0;
    if (understood) {
        pthread_mutex_lock(&g->lock);
        gossip_merge(g, &answer.gossip);
        pthread_mutex_unlock(&g->lock);
        config = answer.gossip.config;
    }
    msg_clear(&answer);
    if (config > config_store_version(g->node->configs)) {
        gossip_fetch_config(g, &peer);
    }
    return understood;
}

static void
gossip_probe(gossip_agent *g)
{
    swim_member entry;
    pthread_mutex_lock(&g->lock);
    int picked = swim_pick_probe(g->members);
    if (picked != SWIM_NONE) {
        entry = *swim_get(g->members, (size_t)picked);
    }
    pthread_mutex_unlock(&g->lock);
    if (picked == SWIM_NONE ||
        gossip_exchange(g, entry.address, entry.control_port, entry.name)) {
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
gossip_ask_seeds(gossip_agent *g, int64_t now_us)
{
    const toml_strings *seeds = &g->node->settings.seeds;
    if (now_us - g->seeded_us < GOSSIP_SEED_PERIOD_US) {
        return;
    }
    g->seeded_us = now_us;
    for (size_t i = 0; i < seeds->count; i++) {
        char address[NODECFG_ADDRESS_SIZE];
        unsigned port = 0;
        if (sscanf(seeds->items[i], "%47[^:]:%u", address, &port) == 2) {
            gossip_exchange(g, address, (uint16_t)port, NULL);
        }
    }
}

static void
gossip_follow_self(gossip_agent *g)
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
        gossip_note_change(g, swim_self(g->members));
        g->urgent = GOSSIP_URGENT_ROUNDS;
    }
    if (swim_tick(g->members, clock_now_us())) {
        g->changed = true;
        g->fleet_changed_us = clock_now_us();
    }
    pthread_mutex_unlock(&g->lock);
}

static void
gossip_publish(gossip_agent *g)
{
    pthread_mutex_lock(&g->lock);
    bool changed = g->changed;
    g->changed = false;
    if (changed) {
        snapshot_set_fleet(g->node->snapshot, g->members);
    }
    pthread_mutex_unlock(&g->lock);
}

static void
gossip_round(gossip_agent *g, int64_t now_us)
{
    if (g->urgent > 0) {
        g->urgent--;
        for (int i = 0; i < GOSSIP_URGENT_FANOUT; i++) {
            gossip_probe(g);
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
        gossip_probe(g);
    }
}

static void
gossip_main(void *payload)
{
    gossip_agent *g = payload;
    while (!worker_stop_requested(&g->thread)) {
        int64_t now_us = clock_now_us();
        gossip_follow_newer(g);
        uint64_t config = config_store_version(g->node->configs);
        if (config > g->told_config) {
            g->told_config = config;
            g->urgent = GOSSIP_URGENT_ROUNDS;
        }
        gossip_follow_self(g);
        if (swim_count(g->members) < 2) {
            gossip_ask_seeds(g, now_us);
        }
        gossip_round(g, now_us);
        gossip_publish(g);
        clock_sleep_us(GOSSIP_TICK_US);
    }
}

/* Begin to probe. */
int
gossip_start(gossip_agent *g, err *e)
{
    return worker_start(&g->thread, gossip_main, g, e);
}

/* End the thread. */
void
gossip_stop(gossip_agent *g)
{
    worker_join(&g->thread);
}

/* Release it; takes NULL. */
void
gossip_free(gossip_agent *g)
{
    if (g != NULL) {
        worker_join(&g->thread);
        swim_free(g->members);
        pthread_mutex_destroy(&g->lock);
        free(g);
    }
}
