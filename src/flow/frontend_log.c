#include "frontend_log.h"

#include <jansson.h>

#include "lav/log.h"

/* Largest number of lines per second about relayed responses. */
#define FRONTEND_SERVED_LINES_PER_S 4

/* Largest number of lines per second about spent retry budgets. */
#define FRONTEND_BUDGET_LINES_PER_S 2

/* Returns the rate limit group of an error response.  Groups are limited
 * separately so that a burst of refused external requests does not suppress
 * the lines about failed internal ones, nor either of them those about unknown
 * outcomes. */
const char *
frontend_log_rate_group(enum reason reason, int status, int depth)
{
    if (status == HTTP_STATUS_TOO_MANY_REQUESTS) {
        return "answer (over cap)";
    }
    if (status != HTTP_STATUS_SERVICE_UNAVAILABLE) {
        return depth > 0 ? "answer (call, unknown)" : "answer (unknown)";
    }
    if (depth > 0) {
        return "answer (call, refused)";
    }
    return reason == REASON_EARLY_REFUSAL ? "answer (not begun)"
                                          : "answer (refused)";
}

/* Returns the name of the workspace that a request was taken for; NULL if it
 * has none, or the desired state in force doesn't have that any more. */
static const char *
frontend_log_workspace(const frontend_request *q)
{
    const workspace_table *table = q->r.workspace == WORKSPACE_NONE
                                       ? NULL
                                       : routing_get_workspaces(q->n->routes);
    const workspace *entry =
        table == NULL ? NULL : workspace_get(table, q->r.workspace);
    return entry == NULL ? NULL : entry->name;
}

/* Logs an error response of the node itself and the state that led to it. */
void
frontend_log_error_response(const frontend_request *q, int status,
                            enum reason reason)
{
    const runtime *n = q->n;
    if (!log_allow_line(frontend_log_rate_group(reason, status, q->r.depth),
                        LOG_LINES_PER_S)) {
        return;
    }
    const instance_record *last = instance_get(n->fleet, q->last_member);
    bool routed = q->r.deadline_us != 0; /* false: refused before routing */
    service_level_report limit =
        shedder_get_limit(n->shedder, q->r.route, n->l->now_us);
    int64_t time_left_us = routed ? q->r.deadline_us - n->l->now_us : 0;
    log_event(
        LOG_INFO, "answer", q->r.id,
        "{s:i,s:s,s:s,s:I,s:I,s:i,s:i,s:i,s:s,s:f,s:s,s:I,s:I,s:I,s:s*}",
        "status", status, "reason", reason_name(reason), "service", q->service,
        "waited_us", (json_int_t)(n->l->now_us - q->r.arrived_us), "left_us",
        (json_int_t)time_left_us, "attempts_left", q->attempts_left, "moves",
        q->reroutes, "depth", q->r.depth, "last_node",
        last == NULL ? "" : last->node, "begun_share", limit.level,
        "held_back_by", instance_service_name(n->fleet, limit.service),
        "level_age_us", (json_int_t)limit.age_us, "desired",
        (json_int_t)runtime_config_version(n), "routed_by",
        (json_int_t)q->routed_by, "workspace", frontend_log_workspace(q));
}

/* Logs a request whose key was refused, with the desired state that decided
 * and what is known of a newer one; never the key itself. */
void
frontend_log_refused_key(const frontend_request *q, int status,
                         enum reason reason)
{
    const runtime *n = q->n;
    if (!log_allow_line("key_refused", LOG_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "key_refused", q->r.id,
              "{s:i,s:s,s:b,s:I,s:s,s:I,s:I,s:I,s:b,s:I}", "status", status,
              "reason", reason_name(reason), "key_given",
              q->identity.key != NULL, "desired",
              (json_int_t)runtime_config_version(n), "from", n->config_source,
              "age_us", (json_int_t)(n->l->now_us - n->config_since_us),
              "newest_heard", (json_int_t)n->contact.heard_version,
              "heard_us_ago", (json_int_t)(n->l->now_us - n->contact.heard_us),
              "store_follows", n->contact.store_follows, "waited_us",
              (json_int_t)(n->l->now_us - q->r.arrived_us));
}

/* Logs a failed attempt and its reason. */
void
frontend_log_failed_attempt(const frontend_request *q,
                            const attempt_failure *failure)
{
    bool refused = failure->outcome == OUTCOME_NOT_RUN;
    if (!log_allow_line(refused ? "attempt (refused)" : "attempt (unknown)",
                        LOG_LINES_PER_S)) {
        return;
    }
    const instance_record *record = instance_get(q->n->fleet, failure->member);
    log_event(LOG_INFO, "attempt", q->r.id, "{s:s,s:s,s:b,s:s,s:s,s:I,s:i}",
              "outcome", outcome_name(failure->outcome), "reason",
              reason_name(failure->reason), "reached_target", failure->reached,
              "node", record == NULL ? "" : record->node, "instance",
              record == NULL ? "" : record->instance, "after_us",
              (json_int_t)(q->n->l->now_us - q->r.arrived_us), "depth",
              q->r.depth);
}

/* Logs a retry that the budget of its service does not allow, or that no
 * instance takes for lack of room in the budgets below, with the retries in
 * the window and their limit. */
void
frontend_log_denied_retry(const frontend_request *q,
                          const retry_budget_window *budget, bool room_below)
{
    if (!log_allow_line("retry_denied", FRONTEND_BUDGET_LINES_PER_S)) {
        return;
    }
    const retry_budget_totals *totals = &budget->totals;
    retry_budget_usage usage = retry_budget_get_usage(budget);
    log_event(LOG_INFO, "retry_denied", q->r.id,
              "{s:s,s:b,s:f,s:f,s:i,s:I,s:I,s:I,s:f}", "service", q->service,
              "room_below", room_below, "used", usage.used, "allowed",
              usage.allowed, "nodes", budget->options.nodes, "requests",
              (json_int_t)totals->requests, "taken", (json_int_t)totals->taken,
              "denied", (json_int_t)totals->denied, "inherited",
              totals->inherited);
}

/* Logs a sample of the relayed responses; server errors of targets have a
 * higher rate limit. */
void
frontend_log_relayed_response(const frontend_request *q)
{
    bool failed = q->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR;
    const char *event = failed ? "target_failed" : "served";
    if (!log_allow_line(event, failed ? LOG_LINES_PER_S
                                      : FRONTEND_SERVED_LINES_PER_S)) {
        return;
    }
    const instance_record *record = instance_get(q->n->fleet, q->last_member);
    log_event(LOG_INFO, event, q->r.id,
              "{s:i,s:s,s:s,s:s,s:I,s:i,s:i,s:i,s:I,s:s*}", "status",
              q->status, "service", q->service, "node",
              record == NULL ? "" : record->node, "instance",
              record == NULL ? "" : record->instance, "took_us",
              (json_int_t)(q->n->l->now_us - q->r.arrived_us), "attempts_left",
              q->attempts_left, "moves", q->reroutes, "depth", q->r.depth,
              "routed_by", (json_int_t)q->routed_by, "workspace",
              frontend_log_workspace(q));
}
