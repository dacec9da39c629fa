/*
 * runtime: what all parts of a running node share: the loop, the settings, the
 * names of header fields, the desired state in force and the fleet.  All of
 * it belongs to the one thread of the loop.
 */
#ifndef LAV_RUNTIME_H
#define LAV_RUNTIME_H

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

struct local_target;
struct prober;

/* Names of header fields as callers and targets have them. */
typedef struct runtime_header_names {
    const char *request_id;     /* new for each request of a caller */
    const char *time_left_ms;   /* how long the caller will wait */
    const char *caller_service; /* service at the host of origin */
    const char *instance;       /* that alone may run the request */
    const char *not_executed;   /* in an answer: the target did not run it */
    const char *seal;           /* the target's proof of its answer */
    const char *instance_id;    /* the target's name, where it is well */
    const char *load;           /* running, waiting and slots of the target */
} runtime_header_names;

/* Reads a desired state out of its text; the new set, or a negative code. */
typedef int (*runtime_decode_cb)(routing_table **out, const char *text,
                                 size_t length, err *e);

/* The record of this node has changed and is to be made known. */
typedef void (*runtime_announce_cb)(const instance_record *record, bool leave,
                                    void *payload);

/* The entry of a node that is gone for good is to be taken away. */
typedef void (*runtime_remove_member_cb)(const char *node, void *payload);

typedef struct runtime {
    evloop *l;
    proxycfg settings;
    const runtime_header_names *fields;
    runtime_decode_cb decode;
    runtime_announce_cb announce;
    runtime_remove_member_cb forget; /* NULL: entries are not kept anywhere */
    void *callback_payload;          /* of both */
    conn_pool *pool;                 /* to peers, the target and the store */
    routing_table *routes;           /* in force; NULL: none is known yet */
    char *config_text;
    size_t config_length;
    instance_table *fleet;
    downstream_table *chains;   /* what is below each route */
    retry_share_table *repeats; /* among the runs at the target */
    shedder_state *gate;        /* which requests of callers are begun */
    instance_record self;
    uint32_t service;    /* hash of the name of the service beside this node */
    int self_member;     /* in the fleet, or INSTANCE_NONE */
    GHashTable *budgets; /* service -> retry_budget_window */
    GHashTable *claims;  /* nonce -> attempt of another node that runs here */
    struct local_target *local; /* the target beside this node */
    struct prober *reach;       /* nodes that could not be reached */
    bool state_fetch_pending;   /* a peer has been asked for its state */
    int64_t heard_us;           /* when another node last told its version */
    int requests;               /* of callers and peers, under way */
    bool stopping;              /* told to stop: not ready, and still serves */
    bool closed;                /* takes nothing new any more */
    int64_t stop_us;            /* since when */
} runtime;

int runtime_new(runtime **out, const proxycfg *settings,
                const runtime_header_names *fields, runtime_decode_cb decode,
                err *e);
void runtime_free(runtime *n);
int runtime_apply_config(runtime *n, const char *text, size_t length,
                         const char *source);
uint64_t runtime_config_version(const runtime *n);
retry_budget_window *runtime_retry_budget(runtime *n, const char *service);
void runtime_merge_member(runtime *n, const instance_record *record,
                          const char *source);
void runtime_advance_incarnation(runtime *n, uint64_t incarnation);
void runtime_update_self(runtime *n, const instance_record *record);
void runtime_record_overload(runtime *n, uint32_t route,
                             enum origin_kind origin,
                             const downstream_overload *chain_overload);
double runtime_service_share(uint32_t service, void *payload);
bool runtime_is_ready(const runtime *n);
uint64_t runtime_random(void);

#endif
