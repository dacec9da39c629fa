#include "report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"

#define REPORT_STEP_S 0.5           /* step of the sliding window */
#define REPORT_RECOVERED_RATIO 0.95 /* of the baseline success ratio */
#define REPORT_WINDOW_S 1.0         /* length of the sliding window */
#define REPORT_REASONS_MAX 48

/* Results of one stream. */
typedef struct report_stream {
    int sent;
    int outcomes[LOADGEN_OUTCOME_COUNT];
    int retries;
    size_t latency_count;
    int64_t *latencies_us; /* of successful requests, sorted */
} report_stream;

/* qsort() comparison of int64_t. */
static int
report_compare(const void *x, const void *y)
{
    int64_t a = *(const int64_t *)x;
    int64_t b = *(const int64_t *)y;
    return (a > b) - (a < b);
}

/* Collects the results of a stream; free() latencies_us after use. */
static void
report_collect_stream(report_stream *out, const loadgen *l, int stream)
{
    memset(out, 0, sizeof(*out));
    out->latencies_us = calloc(l->count + 1, sizeof(int64_t));
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_request *request = &l->requests[i];
        const loadgen_response *final = loadgen_final_response(request);
        if (request->stream != stream || final == NULL) {
            continue;
        }
        out->sent++;
        out->outcomes[final->outcome]++;
        out->retries += request->attempts - 1;
        if (final->outcome == LOADGEN_DONE && out->latencies_us != NULL) {
            out->latencies_us[out->latency_count++] =
                request->end_us - request->due_us;
        }
    }
    if (out->latencies_us != NULL) {
        qsort(out->latencies_us, out->latency_count, sizeof(int64_t),
              report_compare);
    }
}

/* Returns a percentile (ratio from 0 to 1) of the latencies in
 * milliseconds. */
static double
report_percentile_ms(const report_stream *stream, double ratio)
{
    if (stream->latency_count == 0) {
        return 0;
    }
    size_t index = (size_t)(ratio * (double)(stream->latency_count - 1));
    return (double)stream->latencies_us[index] / CLOCK_US_PER_MS;
}

/* Returns the goodput, in requests/s, of a class (NULL: all): requests that
 * succeeded and ended in [from_s, to_s). */
double
report_goodput_per_s(const loadgen *l, double from_s, double to_s,
                     const char *klass)
{
    int done = 0;
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_request *request = &l->requests[i];
        const loadgen_response *final = loadgen_final_response(request);
        double end_s = (double)request->end_us / CLOCK_US_PER_S;
        bool in_class =
            klass == NULL ||
            strcmp(l->options.streams[request->stream].klass, klass) == 0;
        if (final != NULL && final->outcome == LOADGEN_DONE && in_class &&
            end_s >= from_s && end_s < to_s) {
            done++;
        }
    }
    return to_s > from_s ? done / (to_s - from_s) : 0;
}

/* Returns the duration of all phases in seconds. */
static double
report_duration_s(const loadgen *l)
{
    double length_s = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        length_s += l->options.phases[i].seconds;
    }
    return length_s;
}

/* Returns the share of the requests of a class (NULL: all) due in
 * [from_s, to_s) that succeeded; 1 if there were none. */
double
report_success_ratio(const loadgen *l, double from_s, double to_s,
                     const char *klass)
{
    int due = 0;
    int done = 0;
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_request *request = &l->requests[i];
        const loadgen_response *final = loadgen_final_response(request);
        double due_s = (double)request->due_us / CLOCK_US_PER_S;
        bool in_class =
            klass == NULL ||
            strcmp(l->options.streams[request->stream].klass, klass) == 0;
        if (in_class && due_s >= from_s && due_s < to_s) {
            due++;
            done += final != NULL && final->outcome == LOADGEN_DONE ? 1 : 0;
        }
    }
    return due == 0 ? 1 : (double)done / due;
}

/* Returns the seconds after `end_s` from which on the success ratio of every
 * one-second window is at least 95% of `baseline`; -1 if the last window is
 * below. */
double
report_recovery_s(const loadgen *l, double end_s, double baseline,
                  const char *klass)
{
    double last_s = report_duration_s(l) - REPORT_WINDOW_S;
    double recovered_s = end_s;
    int steps = (int)((last_s - end_s) / REPORT_STEP_S);
    for (int step = 0; step <= steps; step++) {
        double at_s = end_s + step * REPORT_STEP_S;
        if (report_success_ratio(l, at_s, at_s + REPORT_WINDOW_S, klass) <
            baseline * REPORT_RECOVERED_RATIO) {
            recovered_s = at_s + REPORT_STEP_S;
        }
    }
    return recovered_s > last_s ? -1 : recovered_s - end_s;
}

/* Counts the final responses by reason. */
static json_t *
report_reasons_to_json(const loadgen *l)
{
    json_t *reasons = json_object();
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_response *final =
            loadgen_final_response(&l->requests[i]);
        if (final == NULL || final->reason[0] == '\0' ||
            strcmp(final->reason, "none") == 0) {
            continue;
        }
        json_int_t count =
            json_integer_value(json_object_get(reasons, final->reason));
        json_object_set_new(reasons, final->reason, json_integer(count + 1));
    }
    return reasons;
}

/* Returns the results of a stream as JSON. */
static json_t *
report_stream_to_json(const loadgen *l, size_t index)
{
    const loadgen_stream *stream = &l->options.streams[index];
    report_stream results;
    report_collect_stream(&results, l, (int)index);
    json_t *json = json_pack(
        "{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:f}", "service",
        stream->service, "operation", stream->operation, "class",
        stream->klass, "sent", results.sent, "done",
        results.outcomes[LOADGEN_DONE], "late", results.outcomes[LOADGEN_LATE],
        "failed", results.outcomes[LOADGEN_FAILED], "not_run",
        results.outcomes[LOADGEN_NOT_RUN], "unknown",
        results.outcomes[LOADGEN_UNKNOWN], "no_answer",
        results.outcomes[LOADGEN_NO_RESPONSE], "retries", results.retries,
        "p50_ms", report_percentile_ms(&results, 0.5), "p99_ms",
        report_percentile_ms(&results, 0.99), "p999_ms",
        report_percentile_ms(&results, 0.999));
    free(results.latencies_us);
    return json;
}

/* Returns all results as JSON. */
json_t *
report_to_json(const loadgen *l, const exec_log_result *log_result)
{
    json_t *streams = json_array();
    for (size_t i = 0; i < l->options.stream_count; i++) {
        json_array_append_new(streams, report_stream_to_json(l, i));
    }
    return json_pack(
        "{s:o,s:o,s:i,s:i,s:i,s:i,s:i}", "streams", streams, "reasons",
        report_reasons_to_json(l), "executions", log_result->executions,
        "unrepeatable_ids", log_result->non_idempotent_ids, "run_twice",
        log_result->run_twice, "false_refusals", log_result->false_refusals,
        "wrong_answers", log_result->wrong_answers);
}

/* Prints a table with a line for each stream. */
static void
report_print_streams(const loadgen *l)
{
    printf("%-24s %-9s %7s %7s %6s %7s %7s %7s %7s %7s %8s %8s\n", "request",
           "class", "sent", "done", "late", "failed", "not-run", "unknown",
           "no-ans", "retries", "p50 ms", "p99 ms");
    for (size_t i = 0; i < l->options.stream_count; i++) {
        const loadgen_stream *stream = &l->options.streams[i];
        report_stream results;
        char name[2 * SVC_NAME_SIZE];
        report_collect_stream(&results, l, (int)i);
        snprintf(name, sizeof(name), "%s.%s", stream->service,
                 stream->operation);
        printf("%-24s %-9s %7d %7d %6d %7d %7d %7d %7d %7d %8.1f %8.1f\n",
               name, stream->klass, results.sent,
               results.outcomes[LOADGEN_DONE], results.outcomes[LOADGEN_LATE],
               results.outcomes[LOADGEN_FAILED],
               results.outcomes[LOADGEN_NOT_RUN],
               results.outcomes[LOADGEN_UNKNOWN],
               results.outcomes[LOADGEN_NO_RESPONSE], results.retries,
               report_percentile_ms(&results, 0.5),
               report_percentile_ms(&results, 0.99));
        free(results.latencies_us);
    }
}

/* Prints the results as text. */
void
report_print(const loadgen *l, const exec_log_result *log_result)
{
    const char *reason;
    json_t *count;
    report_print_streams(l);
    json_t *reasons = report_reasons_to_json(l);
    printf("final responses by reason:");
    json_object_foreach(reasons, reason, count)
    {
        printf(" %s %lld", reason, (long long)json_integer_value(count));
    }
    printf("%s\n", json_object_size(reasons) == 0 ? " none" : "");
    json_decref(reasons);
    printf("executions %d; non-idempotent ids run %d, more than once %d; "
           "false refusals %d; wrong responses %d\n",
           log_result->executions, log_result->non_idempotent_ids,
           log_result->run_twice, log_result->false_refusals,
           log_result->wrong_answers);
}
