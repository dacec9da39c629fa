/*
 * nod: what all parts of a running node share: the loop, the settings, the
 * names of header fields, the desired state in force and the fleet.  All of
 * it belongs to the one thread of the loop.
 */
#ifndef LAV_NOD_H
#define LAV_NOD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http_conn.h"
#include "conn_pool.h"
#include "lav/proxycfg.h"
#include "lav/downstream.h"
#include "lav/instance.h"
#include "lav/shedder.h"
#include "lav/retry_budget.h"
#include "lav/retry_share.h"
#include "lav/routing.h"

struct lcl;
struct rch;

/* Names of header fields as callers and targets have them. */
typedef struct nod_fields {
    const char *request_id;     /* new for each request of a caller */
    const char *time_left_ms;   /* how long the caller will wait */
    const char *caller_service; /* service at the host of origin */
    const char *instance;       /* that alone may run the request */
    const char *not_executed;   /* in an answer: the target did not run it */
    const char *seal;           /* the target's proof of its answer */
    const char *instance_id;    /* the target's name, where it is well */
    const char *load;           /* running, waiting and slots of the target */
} nod_fields;

/* Reads a desired state out of its text; the new set, or a negative code. */
typedef int (*nod_decode_cb)(routing_table **out, const char *text,
                             size_t length, err *e);

/* The record of this node has changed and is to be made known. */
typedef void (*nod_announce_cb)(const instance_record *record, bool leave,
                                void *payload);

/* The entry of a node that is gone for good is to be taken away. */
typedef void (*nod_forget_cb)(const char *node, void *payload);

typedef struct nod {
    evloop *l;
    proxycfg settings;
    const nod_fields *fields;
    nod_decode_cb decode;
    nod_announce_cb announce;
    nod_forget_cb forget;   /* NULL: entries are not kept anywhere */
    void *announce_payload; /* of both */
    conn_pool *pool;        /* to peers, the target and the store */
    routing_table *routes;  /* in force; NULL: none is known yet */
    char *routes_text;
    size_t routes_length;
    instance_table *fleet;
    downstream_table *chains;   /* what is below each route */
    retry_share_table *repeats; /* among the runs at the target */
    shedder_state *gate;        /* which requests of callers are begun */
    instance_record self;
    uint32_t service;    /* hash of the name of the service beside this node */
    int self_handle;     /* in the fleet, or INSTANCE_NONE */
    GHashTable *budgets; /* service -> retry_budget_window */
    GHashTable *claims;  /* nonce -> attempt of another node that runs here */
    struct lcl *local;   /* the target beside this node */
    struct rch *reach;   /* nodes that could not be reached */
    bool fetching;       /* a peer has been asked for its state */
    int64_t heard_us;    /* when another node last told its version */
    int requests;        /* of callers and peers, under way */
    bool stopping;       /* told to stop: not ready, and still serves */
    bool closed;         /* takes nothing new any more */
    int64_t stop_us;     /* since when */
} nod;

int nod_new(nod **out, const proxycfg *settings, const nod_fields *fields,
            nod_decode_cb decode, err *e);
void nod_free(nod *n);
int nod_apply(nod *n, const char *text, size_t length, const char *source);
uint64_t nod_version(const nod *n);
retry_budget_window *nod_budget(nod *n, const char *service);
void nod_merge(nod *n, const instance_record *record, const char *source);
void nod_outlive(nod *n, uint64_t incarnation);
void nod_set_self(nod *n, const instance_record *record);
void nod_heard(nod *n, uint32_t route, enum origin_kind origin,
               const downstream_overload *chain_overload);
double nod_share(uint32_t service, void *payload);
bool nod_ready(const nod *n);
uint64_t nod_random(void);

#endif
