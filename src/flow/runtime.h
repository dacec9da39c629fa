/*
 * runtime: the state that all parts of a running node share: the event loop,
 * the settings, the header field names, the desired state in force and the
 * fleet.  All of it is confined to the event loop's thread.
 */
#ifndef LAV_RUNTIME_H
#define LAV_RUNTIME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http_conn.h"
#include "conn_pool.h"
#include "hop.h"
#include "lav/config_contact.h"
#include "lav/proxycfg.h"
#include "lav/downstream.h"
#include "lav/instance.h"
#include "lav/member_view.h"
#include "lav/shedder.h"
#include "lav/retry_budget.h"
#include "lav/retry_share.h"
#include "lav/routing.h"
#include "lav/store_news.h"
#include "lav/workspace_counts.h"

struct local_target;
struct prober;
struct usage_gate;
struct news_sync;

/* Names of the header fields that callers and targets use. */
typedef struct runtime_header_names {
    const char *request_id;     /* unique for each request of a caller */
    const char *time_left_ms;   /* how long the caller will wait */
    const char *caller_service; /* service of the calling host */
    const char *instance;       /* the only one that may run the request */
    const char *not_executed;   /* response: the target did not run it */
    const char *seal;           /* response: the target's proof of origin */
    const char *instance_id;    /* health response: the target's name */
    const char *load;           /* running, queued and slots of the target */
    const char *rate_limit;     /* requests a second that the target takes */
    const char *leaving;        /* response: "1" if the target leaves */
    const char *authorization;  /* the API key of a caller */
    const char *workspace;      /* name of the caller's workspace */
} runtime_header_names;

/* Decodes a desired state from text.  Returns 0 and a new routing table, or a
 * negative error code. */
typedef int (*runtime_decode_cb)(routing_table **out, const char *text,
                                 size_t length, err *e);

/* Publishes this node's record after a change. */
typedef void (*runtime_announce_cb)(const instance_record *record, bool leave,
                                    void *payload);

/* Removes the entry of a node that is permanently gone. */
typedef void (*runtime_remove_member_cb)(const char *node, void *payload);

/* Whether this node follows the desired state at the store. */
typedef bool (*runtime_reads_store_cb)(void *payload);

/* Another desired state has come into force. */
struct runtime;
typedef void (*runtime_config_cb)(struct runtime *n);

typedef struct runtime {
    evloop *l;
    proxycfg settings;
    const runtime_header_names *header_names;
    runtime_decode_cb decode;
    runtime_config_cb on_config; /* NULL: nobody is told */
    runtime_announce_cb announce;
    runtime_remove_member_cb remove_member; /* NULL: entries are not stored */
    runtime_reads_store_cb reads_store;     /* NULL: there is no store */
    void *callback_payload;                 /* of the three above */
    conn_pool *pool;       /* to peers, the target and the store */
    routing_table *routes; /* in force; NULL: none is known yet */
    char *config_text;     /* of the desired state in force */
    size_t config_length;
    const char *config_source; /* that it was received from */
    int64_t config_since_us;   /* when it came into force */
    config_contact contact;    /* what is known of newer ones */
    store_news news;           /* who reads them from the store */
    instance_table *fleet;
    member_view view;             /* whether the fleet knows of each other */
    downstream_table *downstream; /* overload below each route */
    retry_share_table
        *retry_shares;          /* share of retries in the target's runs */
    shedder_state *shedder;     /* load shedding of external requests */
    service_level_table levels; /* admission levels that it follows */
    bool whole; /* requests are admitted by what their chains need */
    instance_record self;
    uint32_t service_hash; /* of the name of the local target's service */
    int self_member;       /* in the fleet, or INSTANCE_NONE */
    int64_t started_us;
    bool first_start;           /* the whole fleet starts for the first time */
    GHashTable *retry_budgets;  /* service -> retry_budget_window */
    GHashTable *peer_requests;  /* nonce -> peer_server_request */
    struct local_target *local; /* the target of this node */
    struct prober *prober;      /* probes unreachable nodes */
    struct usage_gate *usage;   /* usage caps of workspaces */
    workspace_counts *ended;    /* requests by workspace; NULL: none yet */
    struct news_sync *news_sync;  /* asks readers of the store */
    bool state_fetch_pending;     /* a peer's state is being fetched */
    int64_t last_peer_contact_us; /* when a peer last reported its version */
    int requests;                 /* of callers and peers, in progress */
    GQueue caller_requests;       /* frontend_request, without a response */
    bool stopping;                /* not ready, but still serves */
    bool closed;                  /* accepts no new requests */
    bool ending;                  /* starts no further attempts */
    int64_t stop_us;              /* when stopping began */
    bool stop_rechecked;          /* whether the target has ended */
} runtime;

int runtime_new(runtime **out, const proxycfg *settings,
                const runtime_header_names *header_names,
                runtime_decode_cb decode, err *e);
void runtime_free(runtime *n);
int runtime_apply_config(runtime *n, const char *text, size_t length,
                         const char *source);
void runtime_update_whole(runtime *n);
uint64_t runtime_config_version(const runtime *n);
retry_budget_window *runtime_retry_budget(runtime *n, const char *service);
void runtime_merge_member(runtime *n, const instance_record *record,
                          const char *source);
void runtime_advance_incarnation(runtime *n, uint64_t incarnation);
void runtime_update_self(runtime *n, const instance_record *record);
void runtime_record_overload(runtime *n, uint32_t route, uint32_t runs_at,
                             enum origin_kind origin,
                             const downstream_overload *chain_overload);
void runtime_merge_target_level(runtime *n, uint32_t service, double level);
void runtime_merge_levels(runtime *n, const hop_levels *levels);
void runtime_list_levels(hop_levels *out, const runtime *n, uint32_t except);
int64_t runtime_drain_cutoff_us(const runtime *n);
bool runtime_takes_retries(runtime *n);
uint32_t runtime_member_service(const runtime *n, int member);
double runtime_service_share(uint32_t service, void *payload);
bool runtime_is_ready(const runtime *n);
uint64_t runtime_random(void);

#endif
