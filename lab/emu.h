/*
 * emu: an emulator of a deployment in simulated time.  The real decisions
 * (choice of an instance, door, overload, chain, gate) run against modelled
 * targets and callers; the same seed gives the same day.
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
    double speeds[EMU_SPEEDS_MAX]; /* of the instances in turn; 0 ends it */
} emu_service;

typedef struct emu_call {
    int kind;
    int times; /* one after the other; 0: none */
} emu_call;

typedef struct emu_kind {
    int service;
    double per_s; /* of outside callers at usual load; 0: calls only */
    int64_t work_us;
    int64_t objective_us;
    int64_t timeout_us;
    int priority;
    emu_call calls[EMU_CALLS_MAX];
    int returns;         /* times that a refused caller comes back */
    int64_t wait_max_us; /* of a caller that does, in all */
} emu_kind;

/* From `from_s` on for `duration_s`. */
typedef struct emu_disruption {
    double from_s;
    double duration_s;
    double load;      /* times the usual arrivals; 0: as usual */
    int slow_service; /* EMU_NONE: none */
    int slow_count;   /* instances of it, the first ones */
    double slower;    /* times as long */
} emu_disruption;

typedef struct emu_options {
    const emu_service *services;
    int service_count;
    const emu_kind *kinds;
    int kind_count;
    emu_disruption trouble;
    double seconds;
    int zones;
    uint64_t seed;
    bool gate; /* off: everything is begun (for comparison) */
} emu_options;

typedef struct emu_tally {
    int asked;
    int good; /* whole, within the objective */
    int late;
    int refused; /* at the top, nothing was run */
    int failed;
    int wasted;   /* runs for requests that failed */
    int returned; /* refused, and came back once or more */
} emu_tally;

typedef struct emu_result {
    emu_tally during[EMU_KINDS_MAX]; /* sent while the trouble lasts */
    emu_tally after[EMU_KINDS_MAX];  /* sent from 2 s after it on */
    emu_tally before[EMU_KINDS_MAX];
} emu_result;

int emu_run(emu_result *out, const emu_options *opts);
double emu_success_ratio(const emu_tally *tallies, int count);

#endif
