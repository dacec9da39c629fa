#include "metrics.h"

#include <gsl/gsl_histogram.h>
#include <http_parser.h>
#include <inttypes.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "local_target.h"
#include "runtime.h"
#include "usage_gate.h"

/* Writes one gauge with its help text. */
static void
metrics_write_gauge(bytebuf *out, const char *name, const char *help,
                    double value)
{
    bytebuf_appendf(out, "# HELP %s %s\n# TYPE %s gauge\n%s %g\n", name, help,
                    name, name, value);
}

/* Upper bounds of the histogram's bins, in seconds. */
static const double metrics_bounds_s[] = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                          0.2,   0.5,   1,    2,    5,    10};

/* Workspaces whose requests are shown, at most. */
#define METRICS_WORKSPACES_MAX 20

#define METRICS_BINS (sizeof(metrics_bounds_s) / sizeof(metrics_bounds_s[0]))

static gsl_histogram *metrics_latency;
static double metrics_latency_sum_s;
static uint64_t metrics_latency_overflow; /* over the last bound */

/* Adds the latency of a relayed response to the histogram. */
void
metrics_observe_latency(int64_t took_us)
{
    double took_s = (double)took_us / CLOCK_US_PER_S;
    if (metrics_latency == NULL) {
        double ranges[METRICS_BINS + 1] = {0};
        memcpy(ranges + 1, metrics_bounds_s, sizeof(metrics_bounds_s));
        metrics_latency = gsl_histogram_alloc(METRICS_BINS);
        gsl_histogram_set_ranges(metrics_latency, ranges, METRICS_BINS + 1);
    }
    metrics_latency_sum_s += took_s;
    if (took_s >= metrics_bounds_s[METRICS_BINS - 1]) {
        metrics_latency_overflow++;
    }
    else {
        gsl_histogram_increment(metrics_latency, took_s);
    }
}

/* Writes the histogram with cumulative buckets. */
static void
metrics_write_histogram(bytebuf *out)
{
    double sum = 0;
    bytebuf_append_text(
        out, "# HELP lav_request_seconds Time until the response of "
             "a target was relayed.\n"
             "# TYPE lav_request_seconds histogram\n");
    for (size_t i = 0; metrics_latency != NULL && i < METRICS_BINS; i++) {
        sum += gsl_histogram_get(metrics_latency, i);
        bytebuf_appendf(out, "lav_request_seconds_bucket{le=\"%g\"} %.0f\n",
                        metrics_bounds_s[i], sum);
    }
    sum += (double)metrics_latency_overflow;
    bytebuf_appendf(
        out,
        "lav_request_seconds_bucket{le=\"+Inf\"} %.0f\n"
        "lav_request_seconds_sum %.6f\nlav_request_seconds_count %.0f\n",
        sum, metrics_latency_sum_s, sum);
}

/* Appends a label value, with the characters escaped that end it. */
static void
metrics_append_label(bytebuf *out, const char *text)
{
    for (; *text != '\0'; text++) {
        if (*text == '"' || *text == '\\') {
            bytebuf_append_text(out, "\\");
        }
        if (*text == '\n') {
            bytebuf_append_text(out, "\\n");
        }
        else {
            bytebuf_append(out, text, 1);
        }
    }
}

/* Writes what the retry budgets have counted for each service. */
static void
metrics_write_retry_budgets(bytebuf *out, const runtime *n)
{
    GHashTableIter iter;
    gpointer service = NULL;
    gpointer value = NULL;
    bytebuf_append_text(out,
                        "# HELP lav_retry_budget_total Requests for a service "
                        "and retries of them, at this node.\n"
                        "# TYPE lav_retry_budget_total counter\n");
    g_hash_table_iter_init(&iter, n->retry_budgets);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        const retry_budget_totals *totals =
            &((const retry_budget_window *)value)->totals;
        const struct {
            const char *name;
            double count;
        } counts[] = {{"requests", (double)totals->requests},
                      {"taken", (double)totals->taken},
                      {"denied", (double)totals->denied},
                      {"inherited", totals->inherited}};
        for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
            bytebuf_append_text(out, "lav_retry_budget_total{service=\"");
            metrics_append_label(out, service);
            bytebuf_appendf(out, "\",count=\"%s\"} %.1f\n", counts[i].name,
                            counts[i].count);
        }
    }
}

/* Writes how many workspaces there are; nothing if none exist. */
static void
metrics_write_workspaces(bytebuf *out, const runtime *n)
{
    const workspace_table *workspaces =
        n->routes == NULL ? NULL : routing_get_workspaces(n->routes);
    if (workspaces != NULL) {
        metrics_write_gauge(out, "lav_workspaces",
                            "Workspaces of the desired state in force.",
                            (double)workspace_count(workspaces));
        metrics_write_gauge(out, "lav_workspace_keys",
                            "API keys of all workspaces.",
                            (double)workspace_key_count(workspaces));
    }
}

/* Writes how the requests of the workspaces with the most refusals ended;
 * nothing if none was refused. */
static void
metrics_write_refused_workspaces(bytebuf *out, const runtime *n)
{
    workspace_counts_entry most[METRICS_WORKSPACES_MAX];
    const workspace_table *workspaces =
        n->routes == NULL ? NULL : routing_get_workspaces(n->routes);
    size_t count = n->ended == NULL || workspaces == NULL
                       ? 0
                       : workspace_counts_most_refused(
                             most, METRICS_WORKSPACES_MAX, n->ended);
    if (count == 0) {
        return;
    }
    bytebuf_append_text(out,
                        "# HELP lav_workspace_requests_total Ends of the "
                        "requests of the workspaces with the most refusals.\n"
                        "# TYPE lav_workspace_requests_total counter\n");
    for (size_t i = 0; i < count; i++) {
        const workspace *entry = workspace_get(workspaces, most[i].workspace);
        for (int j = 0; entry != NULL && j < WORKSPACE_OUTCOMES; j++) {
            bytebuf_append_text(out,
                                "lav_workspace_requests_total{workspace=\"");
            metrics_append_label(out, entry->name);
            bytebuf_appendf(out, "\",end=\"%s\"} %" PRIu64 "\n",
                            workspace_outcome_name((enum workspace_outcome)j),
                            most[i].counts[j]);
        }
    }
}

/* Handles a scrape: writes all counters, gauges and the histogram. */
void
metrics_handle_request(http_server_response *out,
                       const http_server_request *request, void *payload)
{
    const runtime *n = payload;
    instance_load_report report = local_target_load_report(n->local);
    (void)request;
    out->status = HTTP_STATUS_OK;
    out->type = "text/plain; version=0.0.4";
    bytebuf *body = &out->body;
    bytebuf_append_text(body,
                        "# HELP lav_reasons_total Refusals, failures and "
                        "retries by reason.\n"
                        "# TYPE lav_reasons_total counter\n");
    for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
        bytebuf_appendf(body, "lav_reasons_total{reason=\"%s\"} %" PRIu64 "\n",
                        reason_name((enum reason)i),
                        counter_get_reason((enum reason)i));
    }
    bytebuf_append_text(body,
                        "# HELP lav_events_total Events of the data path and "
                        "the control plane.\n"
                        "# TYPE lav_events_total counter\n");
    for (int i = 0; i < COUNTER_COUNT; i++) {
        bytebuf_appendf(body, "lav_events_total{event=\"%s\"} %" PRIu64 "\n",
                        counter_get_name((enum counter_id)i),
                        counter_get((enum counter_id)i));
    }
    metrics_write_retry_budgets(body, n);
    metrics_write_gauge(body, "lav_target_busy",
                        "Calls running at the target or queued.", report.busy);
    metrics_write_gauge(body, "lav_target_limit",
                        "Calls that may run concurrently.", report.limit);
    metrics_write_gauge(body, "lav_target_requests_per_s_limit",
                        "Limit that the target names; -1: none.",
                        report.rate.limited ? report.rate.per_s : -1);
    metrics_write_gauge(body, "lav_requests", "Requests in progress.",
                        n->requests);
    metrics_write_gauge(body, "lav_connections", "Open connections.",
                        (double)n->l->open);
    metrics_write_gauge(body, "lav_log_lines_lost",
                        "Log lines dropped because the "
                        "reader was too slow.",
                        (double)log_count_dropped());
    metrics_write_histogram(body);
    if (n->usage != NULL) {
        usage_gate_write_metrics(body, n->usage);
    }
    metrics_write_gauge(body, "lav_desired_version",
                        "Version of the desired state in force.",
                        (double)runtime_config_version(n));
    metrics_write_workspaces(body, n);
    metrics_write_refused_workspaces(body, n);
}
