/*
 * sok: the fault soak.  Real nodes as separate processes between stand-ins;
 * faults from outside, in series and overlapping, by a seed; callers that
 * keep their connections.  The promises are checked from what callers and
 * targets see.
 */
#ifndef LAV_SOK_H
#define LAV_SOK_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "pfr.h"

#define SOK_TIMEOUT_MS 2000   /* of the routes */
#define SOK_LATE_MS 500       /* the platform's bound for an answer after it */
#define SOK_DRAIN_MS 2000     /* the platform's bound for leaving targets */
#define SOK_RECOVERY_MS 15000 /* the platform's bound after the last fault */
#define SOK_SLACK 100   /* repeats beside the ratio, as in the settings */
#define SOK_RATIO 0.5   /* repeats for each request, ditto */
#define SOK_WINDOW_S 10 /* over which they count, ditto */
#define SOK_ID_SIZE 48  /* bytes, with the closing NUL */

typedef struct sok_options {
    int seed;
    int nodes;
    int seconds;
    int callers;  /* for each node */
    bool planned; /* planned work only: then no request may be cut */
    bool clocks;  /* nodes' times of day jump as well */
    bool timed;   /* answers are held to their time; for a quiet machine */
} sok_options;

/* What a caller saw of one request. */
typedef struct sok_result {
    char id[SOK_ID_SIZE];
    int status; /* 0: the connection ended without a whole answer */
    bool idempotent;
} sok_result;

/* What the target beside a node is to do next. */
enum sok_target {
    SOK_TARGET_READY,
    SOK_TARGET_DRAINS, /* says so, and serves on */
    SOK_TARGET_LEAVES, /* takes its registration away, and serves on */
    SOK_TARGET_NEW     /* another one takes its place */
};

typedef struct sok_node {
    struct sok *s;
    int index;
    atomic_int target;    /* enum sok_target */
    atomic_bool up;       /* its process is meant to run */
    atomic_llong held_us; /* last time at which it was paused or ended */
    pthread_t registrar;
} sok_node;

typedef struct sok {
    sok_options opts;
    sok_node nodes[PFR_NODES_MAX];
    atomic_bool stopped;  /* no new requests */
    atomic_bool finished; /* no registrations either */
    atomic_int findings;
    atomic_int faults;
    atomic_int version; /* of the desired state */
    pthread_mutex_t lock;
    GArray *results;   /* sok_result */
    GHashTable *kinds; /* name of a fault -> times */
} sok;

void sok_find(sok *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
void *sok_register(void *payload);
void *sok_call(void *payload);
void sok_inject(sok *s);
void sok_desire(sok *s);
void sok_check(sok *s);

#endif
