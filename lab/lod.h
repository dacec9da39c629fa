/*
 * lod: open-loop load.  Requests are due at times drawn beforehand from a
 * seed; each is sent then, or as soon as a worker is free, and its latency
 * counts from when it was due, so that a slow system can't slow the clock.
 */
#ifndef LAB_LOD_H
#define LAB_LOD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fld.h"
#include "lav/id.h"
#include "lav/reason.h"

#define LOD_STREAMS_MAX 8
#define LOD_PHASES_MAX 16
#define LOD_REASON_SIZE 24
#define LOD_ATTEMPTS_MAX 8

enum lod_outcome {
    LOD_DONE,   /* whole, with success, while its caller waited */
    LOD_LATE,   /* whole, but its caller had given up */
    LOD_FAILED, /* the target's own error: something below failed */
    LOD_NOT_RUN,
    LOD_UNKNOWN,
    LOD_NO_ANSWER, /* no HTTP answer at all */
    LOD_OUTCOME_COUNT
};

typedef struct lod_stream {
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char klass[16]; /* for reports: "critical", "browse", ... */
    bool unrepeatable;
    double rate;       /* requests a second at factor 1 */
    int retries;       /* a caller tries so often again, at once */
    double patience_s; /* a caller gives up after that time */
} lod_stream;

typedef struct lod_phase {
    double seconds;
    double factor; /* of the streams' rates */
} lod_phase;

typedef struct lod_options {
    uint64_t seed;
    int workers;
    size_t stream_count;
    lod_stream streams[LOD_STREAMS_MAX];
    size_t phase_count;
    lod_phase phases[LOD_PHASES_MAX];
} lod_options;

typedef struct lod_answer {
    int64_t ms; /* wall time when it came */
    enum lod_outcome outcome;
    char reason[LOD_REASON_SIZE];
} lod_answer;

typedef struct lod_request {
    int64_t due_us; /* since the start */
    int64_t end_us; /* ditto; 0: it was never sent */
    int stream;
    id request;
    int attempts;
    lod_answer answers[LOD_ATTEMPTS_MAX]; /* the last is the final one */
} lod_request;

typedef struct lod {
    lod_options options;
    const fld *field;
    int64_t start_us;
    size_t count;
    lod_request *requests; /* by due time */
    struct lod_run *run;   /* while it runs */
} lod;

int lod_new(lod **out, const fld *field, const lod_options *options, err *e);
void lod_free(lod *l);
int lod_begin(lod *l, err *e);
void lod_finish(lod *l);
const lod_answer *lod_final(const lod_request *request);
const char *lod_outcome_text(enum lod_outcome outcome);

#endif
