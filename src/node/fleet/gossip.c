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

#define GOSSIP_TICK_US 50000        /* 50 ms */
#define GOSSIP_REPLY_TIMEOUT_MS 400 /* for a reply of a peer */
#define GOSSIP_FAST_ROUNDS 6        /* fast rounds after an urgent change */
#define GOSSIP_FAST_FANOUT 2        /* members probed in a fast round */
#define GOSSIP_SEED_PERIOD_US 1000000

typedef struct gossip_peer {
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t port;
} gossip_peer;

struct gossip_agent {
    node *node;
    pthread_mutex_t lock;
    swim_list *members;
    bool changed;               /* since the fleet was last published */
    int64_t service_changed_us; /* last change in the own service */
    worker_thread thread;
    uint64_t spread_config; /* version last spread in fast rounds */
    bool has_newer_config;  /* a peer has reported a newer configuration */
    gossip_peer newer_config_peer;
    int fast_rounds; /* fast rounds left */
    int64_t last_probe_us;
    int64_t last_seed_us;
};

/* Fill in this node's own member entry. */
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

/* Create the member list with this node as its only member. */
int
gossip_new(gossip_agent **out, node *n, err *e)
{
    swim_member self;
    gossip_agent *g = calloc(1, sizeof(*g));
    gossip_fill_self(&self, n);
    if (g == NULL || swim_new(&g->members, &self) < 0) {
        free(g);
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for gossip");
    }
    g->node = n;
    g->changed = true;
    pthread_mutex_init(&g->lock, NULL);
    *out = g;
    return 0;
}

/* Record that a member has changed. */
static void
gossip_mark_changed(gossip_agent *g, const swim_member *entry)
{
    g->changed = true;
    if (strcmp(entry->service, g->node->settings.service) == 0) {
        g->service_changed_us = clock_now_us();
    }
}

/* Merge the updates of a message into the member list. */
static void
gossip_merge(gossip_agent *g, const msg_gossip *message)
{
    for (size_t i = 0; i < message->count; i++) {
        if (swim_merge(g->members, &message->news[i], clock_now_us())) {
            gossip_mark_changed(g, &message->news[i]);
        }
    }
}

/* Fill in a message: version of the active configuration, own entry and
 * pending updates. Member `to` is also sent a suspicion of itself, so that it
 * can refute it; `to` may be NULL. */
static void
gossip_fill_message(gossip_agent *g, msg_gossip *out, const char *to)
{
    swim_member suspicion;
    out->config = config_store_version(g->node->configs);
    out->count = swim_collect_updates(out->news, g->members, SWIM_UPDATES_MAX);
    if (to != NULL && swim_get_suspicion(&suspicion, g->members, to)) {
        out->news[out->count++] = suspicion;
    }
}

/* If the sender has a newer configuration than this node, remember the
 * sender; the gossip thread fetches it from there. */
static void
gossip_record_newer_config(gossip_agent *g, const msg_gossip *message)
{
    if (message->count > 0 &&
        message->config > config_store_version(g->node->configs)) {
        const swim_member *sender = &message->news[0];
        g->has_newer_config = true;
        snprintf(g->newer_config_peer.address,
                 sizeof(g->newer_config_peer.address), "%s", sender->address);
        g->newer_config_peer.port = sender->control_port;
    }
}

/* Handle a gossip message of another node, whose own entry comes first, and
 * fill in the reply. */
void
gossip_handle_exchange(gossip_agent *g, const msg_gossip *message,
                       msg_gossip *out_reply)
{
    pthread_mutex_lock(&g->lock);
    gossip_merge(g, message);
    gossip_record_newer_config(g, message);
    gossip_fill_message(g, out_reply,
                        message->count > 0 ? message->news[0].name : NULL);
    pthread_mutex_unlock(&g->lock);
}

/* Merge a member that is listed on the platform. */
void
gossip_add_member(gossip_agent *g, const swim_member *entry)
{
    pthread_mutex_lock(&g->lock);
    if (swim_merge(g->members, entry, clock_now_us())) {
        gossip_mark_changed(g, entry);
    }
    pthread_mutex_unlock(&g->lock);
}

/* Copy this node's own entry. */
void
gossip_get_self(swim_member *out, gossip_agent *g)
{
    pthread_mutex_lock(&g->lock);
    *out = *swim_self(g->members);
    pthread_mutex_unlock(&g->lock);
}

/* Time in microseconds since the members of the own service last changed. */
int64_t
gossip_service_unchanged_us(gossip_agent *g, int64_t now_us)
{
    pthread_mutex_lock(&g->lock);
    int64_t unchanged_us = now_us - g->service_changed_us;
    pthread_mutex_unlock(&g->lock);
    return unchanged_us;
}

/* Fetch an object of the configuration from a peer; ERR_NOT_FOUND if the peer
 * does not have it. msg_clear(out) after success. */
static int
gossip_fetch_object(msg *out, const gossip_peer *peer, const char *key, err *e)
{
    msg request = {.kind = MSG_FETCH};
    snprintf(request.fetch.key, sizeof(request.fetch.key), "%s", key);
    int result = rpc_sync_request(out, peer->address, peer->port, &request,
                                  GOSSIP_REPLY_TIMEOUT_MS, e);
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

/* manifest_fetch_cb: fetch a configuration file from the peer in `payload`. */
static int
gossip_fetch_file(char **out, const char *hash, err *e, void *payload)
{
    char key[MSG_KEY_SIZE];
    msg reply;
    snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX, hash);
    int result = gossip_fetch_object(&reply, payload, key, e);
    if (result == 0) {
        *out = reply.object.body.bytes;
        reply.object.body.bytes = NULL;
        msg_clear(&reply);
    }
    return result;
}

/* Fetch and apply the configuration of a peer. */
static void
gossip_fetch_config(gossip_agent *g, gossip_peer *peer)
{
    msg head;
    err e = ERR_INIT;
    if (gossip_fetch_object(&head, peer, MANIFEST_KEY, &e) < 0) {
        return;
    }
    if (config_store_apply(g->node->configs, head.object.version,
                           head.object.body.bytes, gossip_fetch_file, peer,
                           &e) < 0) {
        log_write(LOG_WARN, NULL,
                  "cannot apply a configuration from a peer: %s", e.message);
    }
    msg_clear(&head);
}

/* Fetch the newer configuration that a peer has reported, if any. */
static void
gossip_fetch_newer_config(gossip_agent *g)
{
    pthread_mutex_lock(&g->lock);
    bool newer = g->has_newer_config;
    gossip_peer peer = g->newer_config_peer;
    g->has_newer_config = false;
    pthread_mutex_unlock(&g->lock);
    if (newer) {
        gossip_fetch_config(g, &peer);
    }
}

/* Exchange updates with the node at an address, and fetch its configuration
 * if that is newer; false if it does not reply. */
static bool
gossip_exchange(gossip_agent *g, const char *address, uint16_t port,
                const char *name)
{
    msg request = {.kind = MSG_GOSSIP};
    msg reply;
    gossip_peer peer = {.port = port};
    snprintf(peer.address, sizeof(peer.address), "%s", address);
    pthread_mutex_lock(&g->lock);
    gossip_fill_message(g, &request.gossip, name);
    pthread_mutex_unlock(&g->lock);
    counter_add(COUNTER_GOSSIP_SENT, 1);
    if (rpc_sync_request(&reply, address, port, &request,
                         GOSSIP_REPLY_TIMEOUT_MS, NULL) < 0) {
        return false;
    }
    bool valid = reply.kind == MSG_GOSSIP;
    uint64_t config = 0;
    if (valid) {
        pthread_mutex_lock(&g->lock);
        gossip_merge(g, &reply.gossip);
        pthread_mutex_unlock(&g->lock);
        config = reply.gossip.config;
    }
    msg_clear(&reply);
    if (config > config_store_version(g->node->configs)) {
        gossip_fetch_config(g, &peer);
    }
    return valid;
}

/* Probe one member; without a reply it becomes suspect. */
static void
gossip_probe(gossip_agent *g)
{
    swim_member entry;
    pthread_mutex_lock(&g->lock);
    int index = swim_pick_probe(g->members);
    if (index != SWIM_NONE) {
        entry = *swim_get(g->members, (size_t)index);
    }
    pthread_mutex_unlock(&g->lock);
    if (index == SWIM_NONE ||
        gossip_exchange(g, entry.address, entry.control_port, entry.name)) {
        return;
    }
    pthread_mutex_lock(&g->lock);
    swim_mark_suspect(g->members, entry.name, entry.incarnation,
                      clock_now_us());
    g->changed = true;
    pthread_mutex_unlock(&g->lock);
}

/* Contact the configured seeds, at most once per period. */
static void
gossip_contact_seeds(gossip_agent *g, int64_t now_us)
{
    const toml_strings *seeds = &g->node->settings.seeds;
    if (now_us - g->last_seed_us < GOSSIP_SEED_PERIOD_US) {
        return;
    }
    g->last_seed_us = now_us;
    for (size_t i = 0; i < seeds->count; i++) {
        char address[NODECFG_ADDRESS_SIZE];
        unsigned port = 0;
        if (sscanf(seeds->items[i], "%47[^:]:%u", address, &port) == 2) {
            gossip_exchange(g, address, (uint16_t)port, NULL);
        }
    }
}

/* Update this node's own state from its load flags, and run the timeouts of
 * suspect and dead members. */
static void
gossip_update_self(gossip_agent *g)
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
        gossip_mark_changed(g, swim_self(g->members));
        g->fast_rounds = GOSSIP_FAST_ROUNDS;
    }
    if (swim_tick(g->members, clock_now_us())) {
        g->changed = true;
        g->service_changed_us = clock_now_us();
    }
    pthread_mutex_unlock(&g->lock);
}

/* Publish the fleet if it has changed. */
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

/* Probe members: several at once in a fast round, else one per period, which
 * is shorter while many updates are pending. */
static void
gossip_round(gossip_agent *g, int64_t now_us)
{
    if (g->fast_rounds > 0) {
        g->fast_rounds--;
        for (int i = 0; i < GOSSIP_FAST_FANOUT; i++) {
            gossip_probe(g);
        }
        return;
    }
    pthread_mutex_lock(&g->lock);
    bool backlogged = swim_pending_updates(g->members) > SWIM_UPDATES_MAX;
    pthread_mutex_unlock(&g->lock);
    int64_t period_us =
        backlogged ? SWIM_FAST_PROBE_PERIOD_US : SWIM_PROBE_PERIOD_US;
    if (now_us - g->last_probe_us >= period_us) {
        g->last_probe_us = now_us;
        gossip_probe(g);
    }
}

/* Thread of the gossip agent. */
static void
gossip_main(void *payload)
{
    gossip_agent *g = payload;
    while (!worker_stop_requested(&g->thread)) {
        int64_t now_us = clock_now_us();
        gossip_fetch_newer_config(g);
        uint64_t config = config_store_version(g->node->configs);
        if (config > g->spread_config) {
            g->spread_config = config;
            g->fast_rounds = GOSSIP_FAST_ROUNDS;
        }
        gossip_update_self(g);
        if (swim_count(g->members) < 2) {
            gossip_contact_seeds(g, now_us);
        }
        gossip_round(g, now_us);
        gossip_publish(g);
        clock_sleep_us(GOSSIP_TICK_US);
    }
}

/* Start the thread. */
int
gossip_start(gossip_agent *g, err *e)
{
    return worker_start(&g->thread, gossip_main, g, e);
}

/* Stop the thread. */
void
gossip_stop(gossip_agent *g)
{
    worker_join(&g->thread);
}

/* Stop the thread and free the agent; NULL is allowed. */
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
