#include <http_parser.h>
#include <stdlib.h>

#include "hop.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "peer_server_private.h"

/* Selects the fields that are not passed on. */
bool
peer_server_skip_field(http_str name, void *payload)
{
    (void)payload;
    return hop_is_field(name);
}

/* Creates a request from its head and hop field; NULL if out of memory. */
peer_server_request *
peer_server_request_new(server_conn *s, const http_head *head,
                        const hop_request *hop)
{
    runtime *n = s->n;
    peer_server_request *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        return NULL;
    }
    q->n = n;
    q->s = s;
    q->hop = *hop;
    s->request = q;
    n->requests++;
    g_hash_table_insert(n->peer_requests, &q->hop.nonce, q);
    http_str_copy(q->r.id, sizeof(q->r.id),
                  http_head_get_field(head, n->header_names->request_id));
    attempt_request_init(&q->r, head, peer_server_skip_field, NULL);
    q->r.arrived_us = n->l->now_us;
    q->r.deadline_us = n->l->now_us + hop->time_left_us;
    q->r.objective_us = hop->objective_us;
    q->r.idempotent = hop->idempotent;
    q->r.priority = hop->priority;
    q->r.workspace = hop->workspace;
    q->r.depth = hop->depth;
    q->r.route = hop->route;
    q->r.origin = hop->origin;
    q->r.rerouted = hop->rerouted;
    q->r.resent = hop->resent;
    q->r.retry_probability = hop->retry_probability;
    q->r.weight = hop->weight;
    return q;
}

/* Releases a request whose call has ended. */
void
peer_server_request_free(peer_server_request *q)
{
    runtime *n = q->n;
    n->requests--;
    if (g_hash_table_lookup(n->peer_requests, &q->hop.nonce) == q) {
        g_hash_table_remove(n->peer_requests, &q->hop.nonce);
    }
    ev_timer_stop(n->l->loop, &q->claim_timer);
    bytebuf_clear(&q->saved.fields);
    bytebuf_clear(&q->saved.body);
    attempt_request_clear(&q->r);
    free(q);
}

/* Appends the hop field with the outcome of the attempt `hop` and the load
 * report. */
void
peer_server_write_hop_header(runtime *n, const hop_request *hop,
                             bytebuf *fields, enum outcome outcome,
                             enum reason reason, bool reached)
{
    hop_response response = {
        .nonce = hop->nonce,
        .outcome = outcome,
        .reason = reason,
        .reached = reached,
        .config_version = runtime_config_version(n),
        .incarnation = n->self.incarnation,
        .report = local_target_load_report(n->local),
        .origin = downstream_route_origin(n->downstream, hop->route),
        .chain_overload = local_target_overload(n->local, hop->route),
        .own_level = local_target_level(n->local)};
    runtime_list_levels(&response.levels, n, n->service_hash);
    hop_write_response(fields, &response);
}

/* Releases the request and completes its response. */
void
peer_server_finish_request(peer_server_request *q)
{
    server_conn *s = q->s;
    peer_server_request_free(q);
    server_conn_end_response(s);
}

/* Writes an error response for a request that was refused or failed. */
void
peer_server_write_failure(server_conn *s, const hop_request *hop,
                          const attempt_failure *failure)
{
    runtime *n = s->n;
    bytebuf fields = {0};
    bool not_run = failure->outcome == OUTCOME_NOT_RUN;
    counter_add_reason(failure->reason);
    peer_server_write_hop_header(n, hop, &fields, failure->outcome,
                                 failure->reason, failure->reached);
    if (not_run) {
        bytebuf_appendf(&fields, "Retry-After: %.3f\r\n",
                        (double)local_target_retry_after_us(n->local) /
                            CLOCK_US_PER_S);
    }
    server_conn_write_head(
        s, not_run ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_BAD_GATEWAY,
        &fields, HTTP_CONN_BODY_LENGTH, 0);
    bytebuf_clear(&fields);
}

/* Logs that a request was refused or failed, and responds accordingly. */
void
peer_server_refuse_request(peer_server_request *q,
                           const attempt_failure *failure)
{
    local_target_log_failure(q->n->local, &q->r, failure);
    peer_server_write_failure(q->s, &q->hop, failure);
    peer_server_finish_request(q);
}
