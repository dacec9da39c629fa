/*
 * Fault-injection soak test.  Real nodes run as separate processes between
 * a stand-in platform and stand-in targets.  A seed selects faults that occur
 * one after another and overlapping, while callers use persistent
 * connections.  The guarantees are checked against what callers and targets
 * observe.
 */
#ifndef LAV_SOAK_H
#define LAV_SOAK_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "harness.h"

#define SOAK_TIMEOUT_MS 2000 /* of the routes */
#define SOAK_LATE_MAX_MS 500 /* the platform's bound for an answer after it */
#define SOAK_DRAIN_MAX_MS 2000 /* the platform's bound for leaving targets */
#define SOAK_RECOVERY_MAX_MS                                                  \
    15000                    /* the platform's bound after the last fault */
#define SOAK_RETRY_SLACK 100 /* repeats beside the ratio, as in the settings */
#define SOAK_RETRY_RATIO 0.5 /* repeats for each request, ditto */
#define SOAK_RETRY_WINDOW_S 10 /* over which they count, ditto */
#define SOAK_ID_SIZE 48        /* bytes, with the closing NUL */

typedef struct soak_options {
    int seed;
    int nodes;
    int seconds;
    int callers;   /* for each node */
    bool planned;  /* planned work only: then no request may be cut */
    bool clocks;   /* nodes' times of day jump as well */
    bool restores; /* the store goes back to a copy as well */
    bool
        workspaces; /* callers bear keys, of which each version withdraws one */
    bool
        check_timing; /* answers are held to their time; for a quiet machine */
    bool founded;     /* the faults begin when the caps have been divided */
} soak_options;

/* What a caller sends as its key: one that no version withdraws, or that of
 * the newest version, or that of the one before; or the lasting key of one of
 * the workspaces that have a usage cap. */
enum soak_key {
    SOAK_KEY_LASTING,
    SOAK_KEY_NEWEST,
    SOAK_KEY_WITHDRAWN,
    SOAK_KEY_HOT,
    SOAK_KEY_CALM
};

#define SOAK_KEY_LINE_SIZE 64 /* bytes of a header line, with the NUL */

/* Usage cap of the hot and of the calm workspace. */
#define SOAK_CAP_RATE 20 /* requests a second */
#define SOAK_CAP_BURST 20
#define SOAK_CAPS                                                             \
    "\"rate_per_s\":" G_STRINGIFY(SOAK_CAP_RATE) ",\"burst\":" G_STRINGIFY(   \
        SOAK_CAP_BURST)

/* What a caller saw of one request. */
typedef struct soak_result {
    char id[SOAK_ID_SIZE];
    int status; /* 0: the connection ended without a whole answer */
    bool idempotent;
    enum soak_key key;
    int64_t sent_us;
    int64_t run_us; /* its first run, or 0; set by the checks */
} soak_result;

/* Requested state of the target of a node. */
enum soak_target_state {
    SOAK_TARGET_READY,
    SOAK_TARGET_DRAINING,     /* reports it and keeps serving */
    SOAK_TARGET_DEREGISTERED, /* removes its registration and keeps serving */
    SOAK_TARGET_REPLACED      /* a new instance replaces it */
};

typedef struct soak_node {
    struct soak_run *s;
    int index;
    atomic_int target;         /* enum soak_target_state */
    atomic_bool up;            /* its process is meant to run */
    atomic_llong disrupted_us; /* last time at which it was paused or ended */
    pthread_t registrar;
} soak_node;

typedef struct soak_run {
    soak_options opts;
    soak_node nodes[HARNESS_NODES_MAX];
    atomic_bool stopped;  /* no new requests */
    atomic_bool finished; /* no registrations either */
    atomic_int violations;
    atomic_int faults;
    atomic_int version; /* of the desired state */
    pthread_mutex_t lock;
    GArray *results;   /* soak_result */
    GHashTable *kinds; /* name of a fault -> times */
    int hot_begun;     /* requests of the hot workspace that ran */
    int hot_largest;   /* of them in one window */
} soak_run;

void soak_report_violation(soak_run *s, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void soak_write_key(char *line, const soak_run *s, enum soak_key key);
void *soak_run_registrar(void *payload);
void *soak_run_caller(void *payload);
void *soak_run_hot_caller(void *payload);
void soak_request(soak_run *s, const soak_node *node, int *fd, int kind,
                  const char *id, enum soak_key key);
int soak_probe(const soak_run *s, int node, const char *path, const char *id,
               enum soak_key key);
void soak_inject_faults(soak_run *s);
void soak_publish_desired(soak_run *s);
void soak_write_desired(soak_run *s);
void soak_check(soak_run *s);
void soak_check_over_cap(soak_run *s, const char *id,
                         const harness_response *answer, enum soak_key key);
void soak_check_usage(soak_run *s);
void soak_wait_founded(soak_run *s);

#endif
