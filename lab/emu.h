/*
 * emu: discrete-event simulation of a deployment.  The real decision code
 * (load balancing, admission, overload detection, downstream reports, load
 * shedding) runs against modelled targets and callers in simulated time.
 * Runs with the same options and seed give the same result.
 */
#ifndef LAB_EMU_H
#define LAB_EMU_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/err.h"

#define EMU_SERVICES_MAX 8
#define EMU_KINDS_MAX 12
#define EMU_CALLS_MAX 3
#define EMU_SPEEDS_MAX 4
#define EMU_NONE (-1)

typedef struct emu_service {
    int instances;
    int slots;
    /* Relative speeds, assigned to the instances in turn; 0 ends the list. */
    double speeds[EMU_SPEEDS_MAX];
} emu_service;

typedef struct emu_call {
    int kind;
    int times; /* sequential calls; 0: none */
} emu_call;

typedef struct emu_kind {
    int service;
    double per_s; /* external requests at load 1; 0: internal calls only */
    int64_t work_us;
    int64_t objective_us;
    int64_t timeout_us;
    int priority;
    emu_call calls[EMU_CALLS_MAX];
    int returns;         /* retries that a caller makes after refusals */
    int64_t wait_max_us; /* total time for which such a caller retries */
} emu_kind;

/* A load surge, slow instances, targets that refuse calls, or all of these, from
 * `from_s` for `duration_s`. */
typedef struct emu_disruption {
    double from_s;
    double duration_s;
    double load;          /* factor on the arrival rates; 0: unchanged */
    int slow_service;     /* EMU_NONE: none */
    int slow_count;       /* the first instances of it are slow */
    double slower;        /* factor on the work time of these */
    int refusing_service; /* its targets refuse calls; used if `refused` > 0 */
    double refused;       /* share of the calls that they refuse */
} emu_disruption;

/* Targets of a service that slow down as they fill, on hosts with other
 * users.  All zero: none. */
typedef struct emu_hosts {
    int service;
    double knee;   /* share of the slots from which on work takes longer */
    double slower; /* more of it per share of the slots beyond the knee */
    double noise;  /* factor on work in every other EMU_NOISE_PERIOD_US */
    bool told;     /* targets tell how long work takes on their hosts */
} emu_hosts;

typedef struct emu_options {
    const emu_service *services;
    int service_count;
    const emu_kind *kinds;
    int kind_count;
    emu_disruption disruption;
    emu_hosts hosts;
    double seconds;
    int zones;
    uint64_t seed;
    bool mixed_queue;   /* of services that take mixed work; false: calls are
                       * queued alike */
    bool load_shedding; /* load shedding; false: every request is started */
    bool whole;         /* chains are admitted by what they need */
    double retry_ratio; /* retries per request, after refusals by targets */
} emu_options;

/* Final outcomes of external requests. */
typedef struct emu_tally {
    int asked;
    int good;     /* succeeded within the objective */
    int late;     /* succeeded after the objective */
    int refused;  /* failed before any target ran a part of it */
    int failed;   /* failed after a target had run a part of it */
    int wasted;   /* executions for requests that failed */
    int returned; /* requests with at least one retry by the caller */
} emu_tally;

typedef struct emu_result {
    emu_tally during[EMU_KINDS_MAX]; /* sent during the disruption */
    emu_tally after[EMU_KINDS_MAX];  /* sent 2 s or more after its end */
    emu_tally before[EMU_KINDS_MAX]; /* sent before it */
} emu_result;

int emu_run(emu_result *out, const emu_options *opts);
double emu_success_ratio(const emu_tally *tallies, int count);

#endif
