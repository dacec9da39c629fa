/*
 * scenario: loads the description of a benchmark run from a TOML file: the
 * deployment and its scale, the load and its phases, injected faults, and the
 * policy variants to compare.
 */
#ifndef LAB_SCENARIO_H
#define LAB_SCENARIO_H

#include "deploy.h"
#include "loadgen.h"

#define SCENARIO_FAULTS_MAX 8
#define SCENARIO_VARIANTS_MAX 12

enum scenario_fault_kind {
    SCENARIO_FAULT_SLOW,    /* factor on the service times of a service */
    SCENARIO_FAULT_KILL,    /* kills the first `count` targets of a service */
    SCENARIO_FAULT_RESTART, /* starts killed targets again, cold */
    SCENARIO_FAULT_OUTAGE,  /* the platform becomes unavailable */
    SCENARIO_FAULT_RECOVER  /* the platform is available again */
};

typedef struct scenario_fault {
    int kind; /* enum scenario_fault_kind */
    int64_t at_ms;
    char service[SVC_NAME_SIZE];
    int64_t factor;
    int64_t count;
} scenario_fault;

typedef struct scenario_variant {
    char name[SVC_NAME_SIZE];
    toml_strings policy; /* lines added to [policy] of every service */
} scenario_variant;

typedef struct scenario_spec {
    char name[SVC_NAME_SIZE];
    char deployment[SVC_PATH_SIZE]; /* path; in the file relative to it */
    int64_t slots_percent;
    int64_t instances_percent;
    int64_t slots_announced_percent; /* of slots; 100: correct */
    int64_t settle_ms;               /* between readiness and the load */
    loadgen_options load;
    size_t fault_count;
    scenario_fault faults[SCENARIO_FAULTS_MAX];
    size_t variant_count;
    scenario_variant variants[SCENARIO_VARIANTS_MAX];
} scenario_spec;

int scenario_load(scenario_spec *out, const char *path, err *e);

#endif
