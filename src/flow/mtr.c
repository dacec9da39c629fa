#include "mtr.h"

#include <gsl/gsl_histogram.h>
#include <http_parser.h>
#include <inttypes.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lcl.h"
#include "nod.h"

static void
mtr_gauge(bytebuf *out, const char *name, const char *help, double value)
{
    bytebuf_appendf(out, "# HELP %s %s\n# TYPE %s gauge\n%s %g\n", name, help,
                    name, name, value);
}

/* Upper ends of the histogram's bins, s. */
static const double mtr_bounds_s[] = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                      0.2,   0.5,   1,    2,    5,    10};
#define MTR_BINS (sizeof(mtr_bounds_s) / sizeof(mtr_bounds_s[0]))

static gsl_histogram *mtr_latency;
static double mtr_latency_sum_s;
static uint64_t mtr_latency_over; /* longer than the last bound */

/* An answer of a target was handed on after `took_us`. */
void
mtr_served(int64_t took_us)
{
    double took_s = (double)took_us / CLOCK_US_PER_S;
    if (mtr_latency == NULL) {
        double ranges[MTR_BINS + 1] = {0};
        memcpy(ranges + 1, mtr_bounds_s, sizeof(mtr_bounds_s));
        mtr_latency = gsl_histogram_alloc(MTR_BINS);
        gsl_histogram_set_ranges(mtr_latency, ranges, MTR_BINS + 1);
    }
    mtr_latency_sum_s += took_s;
    if (took_s >= mtr_bounds_s[MTR_BINS - 1]) {
        mtr_latency_over++;
    }
    else {
        gsl_histogram_increment(mtr_latency, took_s);
    }
}

static void
mtr_histogram(bytebuf *out)
{
    double sum = 0;
    bytebuf_append_text(
        out, "# HELP lav_request_seconds Time until the answer of a "
             "target was handed on.\n"
             "# TYPE lav_request_seconds histogram\n");
    for (size_t i = 0; mtr_latency != NULL && i < MTR_BINS; i++) {
        sum += gsl_histogram_get(mtr_latency, i);
        bytebuf_appendf(out, "lav_request_seconds_bucket{le=\"%g\"} %.0f\n",
                        mtr_bounds_s[i], sum);
    }
    sum += (double)mtr_latency_over;
    bytebuf_appendf(
        out,
        "lav_request_seconds_bucket{le=\"+Inf\"} %.0f\n"
        "lav_request_seconds_sum %.6f\nlav_request_seconds_count %.0f\n",
        sum, mtr_latency_sum_s, sum);
}

/* Write all counters, gauges and the histogram. */
void
mtr_on_request(http_server_response *out, const http_server_request *request,
               void *payload)
{
    const nod *n = payload;
    instance_load_report report = lcl_report(n->local);
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
    mtr_gauge(body, "lav_target_busy", "Calls at the target or waiting.",
              report.busy);
    mtr_gauge(body, "lav_target_limit", "Calls that may run at once.",
              report.limit);
    mtr_gauge(body, "lav_requests", "Requests under way.", n->requests);
    mtr_gauge(body, "lav_connections", "Open connections.",
              (double)n->l->open);
    mtr_gauge(body, "lav_log_lines_lost",
              "Lines that the log's reader was "
              "too slow for.",
              (double)log_count_dropped());
    mtr_histogram(body);
    mtr_gauge(body, "lav_desired_version", "Desired state in force.",
              (double)nod_version(n));
}
