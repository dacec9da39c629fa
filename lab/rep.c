#include "rep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"

#define REP_STEP_S 0.5     /* of the recovery window */
#define REP_RECOVERED 0.95 /* of the goodput before */
#define REP_WINDOW_S 1.0   /* over which goodput is taken */
#define REP_REASONS_MAX 48

typedef struct rep_stream {
    int sent;
    int outcomes[LOD_OUTCOME_COUNT];
    int retries;
    size_t latency_count;
    int64_t *latencies_us; /* of whole requests */
} rep_stream;

static int
rep_compare(const void *x, const void *y)
{
    int64_t a = *(const int64_t *)x;
    int64_t b = *(const int64_t *)y;
    return (a > b) - (a < b);
}

static void
rep_gather(rep_stream *out, const lod *l, int stream)
{
    memset(out, 0, sizeof(*out));
    out->latencies_us = calloc(l->count + 1, sizeof(int64_t));
    for (size_t i = 0; i < l->count; i++) {
        const lod_request *request = &l->requests[i];
        const lod_answer *final = lod_final(request);
        if (request->stream != stream || final == NULL) {
            continue;
        }
        out->sent++;
        out->outcomes[final->outcome]++;
        out->retries += request->attempts - 1;
        if (final->outcome == LOD_DONE && out->latencies_us != NULL) {
            out->latencies_us[out->latency_count++] =
                request->end_us - request->due_us;
        }
    }
    if (out->latencies_us != NULL) {
        qsort(out->latencies_us, out->latency_count, sizeof(int64_t),
              rep_compare);
    }
}

static double
rep_percentile_ms(const rep_stream *stream, double part)
{
    if (stream->latency_count == 0) {
        return 0;
    }
    size_t index = (size_t)(part * (double)(stream->latency_count - 1));
    return (double)stream->latencies_us[index] / CLOCK_US_PER_MS;
}

/* Whole requests of a class (NULL: all) that ended in [from_s, to_s), a
 * second. */
double
rep_goodput(const lod *l, double from_s, double to_s, const char *klass)
{
    int done = 0;
    for (size_t i = 0; i < l->count; i++) {
        const lod_request *request = &l->requests[i];
        const lod_answer *final = lod_final(request);
        double end_s = (double)request->end_us / CLOCK_US_PER_S;
        bool counts =
            klass == NULL ||
            strcmp(l->options.streams[request->stream].klass, klass) == 0;
        if (final != NULL && final->outcome == LOD_DONE && counts &&
            end_s >= from_s && end_s < to_s) {
            done++;
        }
    }
    return to_s > from_s ? done / (to_s - from_s) : 0;
}

static double
rep_length_s(const lod *l)
{
    double length_s = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        length_s += l->options.phases[i].seconds;
    }
    return length_s;
}

/* Part of the requests of a class (NULL: all) due in [from_s, to_s) that
 * became whole; 1 where there were none. */
double
rep_success(const lod *l, double from_s, double to_s, const char *klass)
{
    int due = 0;
    int done = 0;
    for (size_t i = 0; i < l->count; i++) {
        const lod_request *request = &l->requests[i];
        const lod_answer *final = lod_final(request);
        double due_s = (double)request->due_us / CLOCK_US_PER_S;
        bool counts =
            klass == NULL ||
            strcmp(l->options.streams[request->stream].klass, klass) == 0;
        if (counts && due_s >= from_s && due_s < to_s) {
            due++;
            done += final != NULL && final->outcome == LOD_DONE ? 1 : 0;
        }
    }
    return due == 0 ? 1 : (double)done / due;
}

/* Seconds after `end_s` until the requests due in any later second succeed
 * within five in a hundred of `baseline`; -1 where the last ones do not. */
double
rep_recovery(const lod *l, double end_s, double baseline, const char *klass)
{
    double last_s = rep_length_s(l) - REP_WINDOW_S;
    double recovered_s = end_s;
    int steps = (int)((last_s - end_s) / REP_STEP_S);
    for (int step = 0; step <= steps; step++) {
        double at_s = end_s + step * REP_STEP_S;
        if (rep_success(l, at_s, at_s + REP_WINDOW_S, klass) <
            baseline * REP_RECOVERED) {
            recovered_s = at_s + REP_STEP_S;
        }
    }
    return recovered_s > last_s ? -1 : recovered_s - end_s;
}

static json_t *
rep_reasons(const lod *l)
{
    json_t *reasons = json_object();
    for (size_t i = 0; i < l->count; i++) {
        const lod_answer *final = lod_final(&l->requests[i]);
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

static json_t *
rep_stream_figures(const lod *l, size_t index)
{
    const lod_stream *stream = &l->options.streams[index];
    rep_stream figures;
    rep_gather(&figures, l, (int)index);
    json_t *json = json_pack(
        "{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:f}", "service",
        stream->service, "operation", stream->operation, "class",
        stream->klass, "sent", figures.sent, "done",
        figures.outcomes[LOD_DONE], "late", figures.outcomes[LOD_LATE],
        "failed", figures.outcomes[LOD_FAILED], "not_run",
        figures.outcomes[LOD_NOT_RUN], "unknown",
        figures.outcomes[LOD_UNKNOWN], "no_answer",
        figures.outcomes[LOD_NO_ANSWER], "retries", figures.retries, "p50_ms",
        rep_percentile_ms(&figures, 0.5), "p99_ms",
        rep_percentile_ms(&figures, 0.99), "p999_ms",
        rep_percentile_ms(&figures, 0.999));
    free(figures.latencies_us);
    return json;
}

/* All figures as JSON. */
json_t *
rep_figures(const lod *l, const exl_verdict *verdict)
{
    json_t *streams = json_array();
    for (size_t i = 0; i < l->options.stream_count; i++) {
        json_array_append_new(streams, rep_stream_figures(l, i));
    }
    return json_pack(
        "{s:o,s:o,s:i,s:i,s:i,s:i,s:i}", "streams", streams, "reasons",
        rep_reasons(l), "executions", verdict->executions, "unrepeatable_ids",
        verdict->unrepeatable_ids, "run_twice", verdict->run_twice,
        "false_refusals", verdict->false_refusals, "wrong_answers",
        verdict->wrong_answers);
}

static void
rep_print_streams(const lod *l)
{
    printf("%-24s %-9s %7s %7s %6s %7s %7s %7s %7s %7s %8s %8s\n", "request",
           "class", "sent", "done", "late", "failed", "not-run", "unknown",
           "no-ans", "retries", "p50 ms", "p99 ms");
    for (size_t i = 0; i < l->options.stream_count; i++) {
        const lod_stream *stream = &l->options.streams[i];
        rep_stream figures;
        char name[2 * SVC_NAME_SIZE];
        rep_gather(&figures, l, (int)i);
        snprintf(name, sizeof(name), "%s.%s", stream->service,
                 stream->operation);
        printf("%-24s %-9s %7d %7d %6d %7d %7d %7d %7d %7d %8.1f %8.1f\n",
               name, stream->klass, figures.sent, figures.outcomes[LOD_DONE],
               figures.outcomes[LOD_LATE], figures.outcomes[LOD_FAILED],
               figures.outcomes[LOD_NOT_RUN], figures.outcomes[LOD_UNKNOWN],
               figures.outcomes[LOD_NO_ANSWER], figures.retries,
               rep_percentile_ms(&figures, 0.5),
               rep_percentile_ms(&figures, 0.99));
        free(figures.latencies_us);
    }
}

/* Print a short table for people. */
void
rep_print(const lod *l, const exl_verdict *verdict)
{
    const char *reason;
    json_t *count;
    rep_print_streams(l);
    json_t *reasons = rep_reasons(l);
    printf("final answers by reason:");
    json_object_foreach(reasons, reason, count)
    {
        printf(" %s %lld", reason, (long long)json_integer_value(count));
    }
    printf("%s\n", json_object_size(reasons) == 0 ? " none" : "");
    json_decref(reasons);
    printf("executions %d; unrepeatable ids run %d, more than once %d; "
           "refusals that were false %d; wrong answers %d\n",
           verdict->executions, verdict->unrepeatable_ids, verdict->run_twice,
           verdict->false_refusals, verdict->wrong_answers);
}
