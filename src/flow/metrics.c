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

static void
metrics_gauge(bytebuf *out, const char *name, const char *help, double value)
{
    bytebuf_appendf(out, "# HELP %s %s\n# TYPE %s gauge\n%s %g\n", name, help,
                    name, name, value);
}

/* Upper ends of the histogram's bins, s. */
static const double metrics_bounds_s[] = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                          0.2,   0.5,   1,    2,    5,    10};
#define METRICS_BINS (sizeof(metrics_bounds_s) / sizeof(metrics_bounds_s[0]))

static gsl_histogram *metrics_latency;
static double metrics_latency_sum_s;
static uint64_t metrics_latency_over; /* longer than the last bound */

/* An answer of a target was handed on after `took_us`. */
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
        metrics_latency_over++;
    }
    else {
        gsl_histogram_increment(metrics_latency, took_s);
    }
}

static void
metrics_histogram(bytebuf *out)
{
    double sum = 0;
    bytebuf_append_text(
        out, "# HELP lav_request_seconds Time until the answer of a "
             "target was handed on.\n"
             "# TYPE lav_request_seconds histogram\n");
    for (size_t i = 0; metrics_latency != NULL && i < METRICS_BINS; i++) {
        sum += gsl_histogram_get(metrics_latency, i);
        bytebuf_appendf(out, "lav_request_seconds_bucket{le=\"%g\"} %.0f\n",
                        metrics_bounds_s[i], sum);
    }
    sum += (double)metrics_latency_over;
    bytebuf_appendf(
        out,
        "lav_request_seconds_bucket{le=\"+Inf\"} %.0f\n"
        "lav_request_seconds_sum %.6f\nlav_request_seconds_count %.0f\n",
        sum, metrics_latency_sum_s, sum);
}

/* Write all counters, gauges and the histogram. */
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
    metrics_gauge(body, "lav_target_busy", "Calls at the target or waiting.",
                  report.busy);
    metrics_gauge(body, "lav_target_limit", "Calls that may run at once.",
                  report.limit);
    metrics_gauge(body, "lav_requests", "Requests under way.", n->requests);
    metrics_gauge(body, "lav_connections", "Open connections.",
                  (double)n->l->open);
    metrics_gauge(body, "lav_log_lines_lost",
                  "Lines that the log's reader was "
                  "too slow for.",
                  (double)log_count_dropped());
    metrics_histogram(body);
    metrics_gauge(body, "lav_desired_version", "Desired state in force.",
                  (double)runtime_config_version(n));
}
