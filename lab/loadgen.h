/*
 * loadgen: open-loop load generator.  The times at which requests are due are
 * drawn from a seed before the run.  Each request is sent when it is due, or
 * as soon as a worker thread is free; latency counts from when it was due, so
 * that a slow system does not hide its delays (coordinated omission).
 */
#ifndef LAB_LOADGEN_H
#define LAB_LOADGEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cluster.h"
#include "lav/id.h"
#include "lav/reason.h"

#define LOADGEN_STREAMS_MAX 8
#define LOADGEN_PHASES_MAX 16
#define LOADGEN_REASON_SIZE 24
#define LOADGEN_ATTEMPTS_MAX 8

enum loadgen_outcome {
    LOADGEN_DONE,        /* success within the caller's timeout */
    LOADGEN_LATE,        /* success after the caller's timeout */
    LOADGEN_FAILED,      /* error of the target: a downstream call failed */
    LOADGEN_NOT_RUN,     /* reported as not executed */
    LOADGEN_UNKNOWN,     /* reported as possibly executed */
    LOADGEN_NO_RESPONSE, /* no HTTP response */
    LOADGEN_OUTCOME_COUNT
};

typedef struct loadgen_stream {
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char klass[16];          /* for reports: "critical", "browse", ... */
    bool unrepeatable;       /* not idempotent */
    double rate;             /* requests/s at factor 1 */
    int retries;             /* immediate retries that a caller makes */
    double caller_timeout_s; /* since the request was due; 0: none */
} loadgen_stream;

typedef struct loadgen_phase {
    double seconds;
    double factor; /* on the rates of all streams */
} loadgen_phase;

typedef struct loadgen_options {
    uint64_t seed;
    int workers;
    size_t stream_count;
    loadgen_stream streams[LOADGEN_STREAMS_MAX];
    size_t phase_count;
    loadgen_phase phases[LOADGEN_PHASES_MAX];
} loadgen_options;

/* Response to one attempt, also a missing one. */
typedef struct loadgen_response {
    int64_t ms; /* wall clock time of receipt */
    enum loadgen_outcome outcome;
    char reason[LOADGEN_REASON_SIZE];
} loadgen_response;

typedef struct loadgen_request {
    int64_t due_us; /* since the start of the load */
    int64_t end_us; /* same; 0: never sent */
    int stream;
    id request;
    int attempts;
    loadgen_response
        answers[LOADGEN_ATTEMPTS_MAX]; /* the final one is the last */
} loadgen_request;

typedef struct loadgen {
    loadgen_options options;
    const cluster_env *cluster;
    int64_t start_us;
    size_t count;
    loadgen_request *requests; /* by due time */
    struct loadgen_run *run;   /* while it runs */
} loadgen;

int loadgen_new(loadgen **out, const cluster_env *cluster,
                const loadgen_options *options, err *e);
void loadgen_free(loadgen *l);
int loadgen_start(loadgen *l, err *e);
void loadgen_wait(loadgen *l);
const loadgen_response *loadgen_final_response(const loadgen_request *request);
const char *loadgen_outcome_text(enum loadgen_outcome outcome);

#endif
