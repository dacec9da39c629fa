/*
 * loadgen: open-loop load.  Requests are due at times drawn beforehand from a
 * seed; each is sent then, or as soon as a worker is free, and its latency
 * counts from when it was due, so that a slow system can't slow the clock.
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
    LOADGEN_DONE,   /* whole, with success, while its caller waited */
    LOADGEN_LATE,   /* whole, but its caller had given up */
    LOADGEN_FAILED, /* the target's own error: something below failed */
    LOADGEN_NOT_RUN,
    LOADGEN_UNKNOWN,
    LOADGEN_NO_ANSWER, /* no HTTP answer at all */
    LOADGEN_OUTCOME_COUNT
};

typedef struct loadgen_stream {
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char klass[16]; /* for reports: "critical", "browse", ... */
    bool unrepeatable;
    double rate;             /* requests a second at factor 1 */
    int retries;             /* a caller tries so often again, at once */
    double caller_timeout_s; /* a caller gives up after that time */
} loadgen_stream;

typedef struct loadgen_phase {
    double seconds;
    double factor; /* of the streams' rates */
} loadgen_phase;

typedef struct loadgen_options {
    uint64_t seed;
    int workers;
    size_t stream_count;
    loadgen_stream streams[LOADGEN_STREAMS_MAX];
    size_t phase_count;
    loadgen_phase phases[LOADGEN_PHASES_MAX];
} loadgen_options;

typedef struct loadgen_answer {
    int64_t ms; /* wall time when it came */
    enum loadgen_outcome outcome;
    char reason[LOADGEN_REASON_SIZE];
} loadgen_answer;

typedef struct loadgen_request {
    int64_t due_us; /* since the start */
    int64_t end_us; /* ditto; 0: it was never sent */
    int stream;
    id request;
    int attempts;
    loadgen_answer
        answers[LOADGEN_ATTEMPTS_MAX]; /* the last is the final one */
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
const loadgen_answer *loadgen_final_answer(const loadgen_request *request);
const char *loadgen_outcome_text(enum loadgen_outcome outcome);

#endif
