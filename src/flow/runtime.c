#include "runtime.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "lav/clock.h"
#include "lav/id.h"
#include "lav/log.h"
#include "news_sync.h"
#include "usage_gate.h"

/* A target that leaves gets new requests for the drain time divided by
 * this. */
#define RUNTIME_DRAIN_DIVISOR 2

/* Returns a random number for nonces and seeds. */
uint64_t
runtime_random(void)
{
    return id_random();
}

/* Initializes this node's own record from the settings; ERR_INVALID if the
 * peer address does not parse or other nodes would reject the name. */
static int
runtime_self_init(runtime *n, err *e)
{
    struct sockaddr_in address;
    const char *peers = n->settings.peers_advertised[0] != '\0'
                            ? n->settings.peers_advertised
                            : n->settings.peers;
    if (http_listener_parse_address(&address, peers) < 0) {
        return ERR_SET(e, ERR_INVALID, "addresses.peers: \"%s\" is no address",
                       peers);
    }
    if (!instance_name_is_valid(n->settings.name)) {
        return ERR_SET(e, ERR_INVALID, "node.name: \"%s\" is no name",
                       n->settings.name);
    }
    instance_record *self = &n->self;
    g_strlcpy(self->node, n->settings.name, sizeof(self->node));
    g_strlcpy(self->service, n->settings.service, sizeof(self->service));
    g_strlcpy(self->zone, n->settings.zone, sizeof(self->zone));
    self->ip = address.sin_addr.s_addr;
    self->port = address.sin_port;
    self->incarnation = (uint64_t)clock_wall_ms();
    self->state = INSTANCE_STARTING;
    n->service_hash = (uint32_t)id_hash(self->service);
    n->self_member = INSTANCE_NONE;
    return 0;
}

/* Creates the shared state of a node: ERR_INVALID for an invalid address,
 * ERR_NO_MEMORY or ERR_IO if it cannot be set up. */
int
runtime_new(runtime **out, const proxycfg *settings,
            const runtime_header_names *header_names, runtime_decode_cb decode,
            err *e)
{
    runtime *n = calloc(1, sizeof(*n));
    if (n == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "out of memory for the node");
    }
    n->settings = *settings;
    n->header_names = header_names;
    n->decode = decode;
    n->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    n->peer_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    int result = runtime_self_init(n, e);
    if (result == 0 &&
        (evloop_new(&n->l) < 0 || conn_pool_new(&n->pool, n->l) < 0 ||
         instance_new(&n->fleet, runtime_random()) < 0 ||
         downstream_new(&n->downstream) < 0 ||
         retry_share_new(&n->retry_shares) < 0 ||
         shedder_new(&n->shedder, &n->levels, runtime_random()) < 0)) {
        result = ERR_SET(e, ERR_IO, "the event loop cannot be created");
    }
    if (result < 0) {
        runtime_free(n);
        return result;
    }
    n->started_us = clock_now_us();
    n->first_start = settings->first_start;
    *out = n;
    return 0;
}

/* Releases the state; accepts NULL. */
void
runtime_free(runtime *n)
{
    if (n == NULL) {
        return;
    }
    conn_pool_free(n->pool);
    evloop_free(n->l);
    instance_free(n->fleet);
    downstream_free(n->downstream);
    retry_share_free(n->retry_shares);
    shedder_free(n->shedder);
    workspace_counts_free(n->ended);
    routing_free(n->routes);
    g_hash_table_destroy(n->retry_budgets);
    g_hash_table_destroy(n->peer_requests);
    g_free(n->config_text);
    free(n);
}

/* Returns the version of the desired state in force, or 0 if there is none. */
uint64_t
runtime_config_version(const runtime *n)
{
    return n->routes == NULL ? 0 : routing_version(n->routes);
}

/* Logs how many workspaces and API keys a desired state holds, if any. */
static void
runtime_log_workspaces(const routing_table *routes)
{
    const workspace_table *workspaces = routing_get_workspaces(routes);
    if (workspaces != NULL) {
        log_event(LOG_INFO, "workspaces", NULL, "{s:I,s:I,s:I}", "version",
                  (json_int_t)routing_version(routes), "workspaces",
                  (json_int_t)workspace_count(workspaces), "keys",
                  (json_int_t)workspace_key_count(workspaces));
    }
}

/* Takes over whether requests are admitted by what their chains need: where the
 * settings say so and a service takes mixed work. */
void
runtime_update_whole(runtime *n)
{
    n->whole = n->settings.whole_requests && n->routes != NULL &&
               routing_has_mixed_work(n->routes);
    downstream_set_whole(n->downstream, n->whole);
    shedder_set_whole(n->shedder, n->whole);
}

/* Applies a desired state received from `source`, a static text; `text` need
 * not be terminated.  Returns ERR_CONFLICT if it is not newer than the one in
 * force, or the decoder's error. */
int
runtime_apply_config(runtime *n, const char *text, size_t length,
                     const char *source)
{
    err e = ERR_INIT;
    routing_table *routes = NULL;
    int result = n->decode(&routes, text, length, &e);
    if (result < 0) {
        log_write(LOG_ERROR, NULL, "desired state from %s rejected: %s",
                  source, e.message);
        return result;
    }
    if (routing_version(routes) <= runtime_config_version(n)) {
        routing_free(routes);
        return ERR_CONFLICT;
    }
    log_event(LOG_INFO, "desired_state", NULL, "{s:I,s:I,s:I,s:s}", "version",
              (json_int_t)routing_version(routes), "was",
              (json_int_t)runtime_config_version(n), "routes",
              (json_int_t)routing_count(routes), "from", source);
    runtime_log_workspaces(routes);
    routing_free(n->routes);
    n->routes = routes;
    runtime_update_whole(n);
    g_free(n->config_text);
    n->config_text = g_strndup(text, length);
    n->config_length = length;
    n->config_source = source;
    n->config_since_us = n->l->now_us;
    if (n->usage != NULL) {
        usage_gate_configure(n->usage);
    }
    if (n->news_sync != NULL) {
        news_sync_configure(n->news_sync);
    }
    if (n->on_config != NULL) {
        n->on_config(n);
    }
    return 0;
}

/* Returns when the first node of the fleet started, on this node's clock;
 * RETRY_BUDGET_LONG_AGO if the fleet has run before, or no members are known
 * yet.  That members are missing does not show that the fleet is new: a store
 * that was restored may lack them. */
static int64_t
runtime_fleet_start_us(const runtime *n)
{
    uint64_t first = instance_first_incarnation(n->fleet);
    if (!n->first_start || !n->view.listed) {
        return RETRY_BUDGET_LONG_AGO;
    }
    if (first == 0 || first >= n->self.incarnation) {
        return n->started_us;
    }
    return n->started_us -
           (int64_t)(n->self.incarnation - first) * CLOCK_US_PER_MS;
}

/* Returns this node's share of the retry budget of a service. */
retry_budget_window *
runtime_retry_budget(runtime *n, const char *service)
{
    retry_budget_window *budget =
        g_hash_table_lookup(n->retry_budgets, service);
    if (budget == NULL) {
        retry_budget_options options = {n->settings.retry_ratio,
                                        n->settings.retry_slack,
                                        n->settings.retry_window_ms *
                                            CLOCK_US_PER_MS,
                                        1,
                                        n->started_us,
                                        RETRY_BUDGET_LONG_AGO};
        budget = g_new0(retry_budget_window, 1);
        retry_budget_init(budget, &options);
        g_hash_table_insert(n->retry_budgets, g_strdup(service), budget);
    }
    retry_budget_set_nodes(budget, instance_count(n->fleet));
    retry_budget_set_fleet_start(budget, runtime_fleet_start_us(n));
    retry_budget_set_paced(budget, n->whole);
    return budget;
}

/* Merges the record of another node into the fleet; `source` names the sender
 * in the log. */
void
runtime_merge_member(runtime *n, const instance_record *record,
                     const char *source)
{
    if (strcmp(record->node, n->self.node) == 0) {
        return;
    }
    if (instance_update(n->fleet, record)) {
        log_event(LOG_INFO, "member", NULL, "{s:s,s:s,s:s,s:s,s:s,s:I,s:s}",
                  "node", record->node, "state",
                  instance_state_name(record->state), "instance",
                  record->instance, "service", record->service, "zone",
                  record->zone, "sequence", (json_int_t)record->sequence,
                  "from", source);
    }
}

/* Replaces this node's own record, with the next sequence number, and
 * announces it. */
void
runtime_update_self(runtime *n, const instance_record *record)
{
    n->self = *record;
    n->self.sequence++;
    instance_update(n->fleet, &n->self);
    n->self_member = instance_find(n->fleet, n->self.node);
    log_event(LOG_INFO, "self", NULL, "{s:s,s:s,s:I}", "state",
              instance_state_name(n->self.state), "instance", n->self.instance,
              "sequence", (json_int_t)n->self.sequence);
    if (n->announce != NULL) {
        n->announce(&n->self, false, n->callback_payload);
    }
}

/* Records the overload on the call chain of a route, as reported with a
 * response or measured here; `runs_at` is the service that was asked.  Only
 * routes of external requests are subject to load shedding. */
void
runtime_record_overload(runtime *n, uint32_t route, uint32_t runs_at,
                        enum origin_kind origin,
                        const downstream_overload *chain_overload)
{
    downstream_record_report(n->downstream, route, origin, chain_overload,
                             n->l->now_us);
    if (!downstream_is_internal(n->downstream, route)) {
        shedder_record_report(n->shedder, route, runs_at, chain_overload,
                              n->l->now_us);
    }
}

/* Takes the admission level that a target measures, as it serves a call of
 * this node.  Refusals don't count: a target that is slower than others refuses
 * more calls. */
void
runtime_merge_target_level(runtime *n, uint32_t service, double level)
{
    service_level_report report = {service, level, 0, true};
    service_level_merge(&n->levels, &report, n->l->now_us);
}

/* Takes the admission levels that came with a request or a response. */
void
runtime_merge_levels(runtime *n, const hop_levels *levels)
{
    for (int i = 0; i < levels->count; i++) {
        service_level_merge(&n->levels, &levels->list[i], n->l->now_us);
    }
}

/* Lists the admission levels to send along with a request or a response, but
 * for that of the service `except`. */
void
runtime_list_levels(hop_levels *out, const runtime *n, uint32_t except)
{
    out->count = service_level_list(out->list, HOP_LEVELS_MAX, &n->levels,
                                    except, n->l->now_us);
}

/* Advances this node's incarnation past that of a record announced by an
 * earlier start.  If the clock was set back between the starts, the earlier
 * incarnation is not lower, and peers would discard everything that this start
 * announces as stale. */
void
runtime_advance_incarnation(runtime *n, uint64_t incarnation)
{
    instance_record record = n->self;
    if (incarnation < record.incarnation) {
        return;
    }
    log_event(LOG_WARN, "clock_set_back", NULL, "{s:I,s:I}", "incarnation",
              (json_int_t)record.incarnation, "earlier",
              (json_int_t)incarnation);
    record.incarnation = incarnation + 1;
    runtime_update_self(n, &record);
}

/* Returns the time from which on a target that begins to leave now gets no new
 * requests. */
int64_t
runtime_drain_cutoff_us(const runtime *n)
{
    return n->l->now_us +
           n->settings.drain_ms * CLOCK_US_PER_MS / RUNTIME_DRAIN_DIVISOR;
}

/* Whether a run at this node's target may be a retry: the services that the
 * target calls, and those below them, must have room for its calls. */
bool
runtime_takes_retries(runtime *n)
{
    GHashTableIter iter;
    gpointer service = NULL;
    gpointer value = NULL;
    int64_t now_us = n->l->now_us;
    g_hash_table_iter_init(&iter, n->retry_budgets);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        if (retry_budget_is_called(value, now_us) &&
            !(retry_budget_has_room(value, now_us) &&
              instance_service_takes_retries(n->fleet, service, now_us))) {
            return false;
        }
    }
    return true;
}

/* Returns the hash of the name of a member's service; 0 if there is no such
 * member. */
uint32_t
runtime_member_service(const runtime *n, int member)
{
    const instance_record *record = instance_get(n->fleet, member);
    return record == NULL ? 0 : (uint32_t)id_hash(record->service);
}

/* Returns the fraction of the fleet's nodes that belong to a service;
 * `payload` is the runtime. */
double
runtime_service_share(uint32_t service, void *payload)
{
    const runtime *n = payload;
    return instance_service_share(n->fleet, service);
}

/* Whether the node is ready for requests of callers. */
bool
runtime_is_ready(const runtime *n)
{
    return n->routes != NULL && !n->stopping;
}
