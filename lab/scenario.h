/*
 * scenario_spec: a scenario file: which deployment at which scale, the load, its
 * phases, faults, and the variants of policy that are compared.
 */
#ifndef LAB_SCENARIO_H
#define LAB_SCENARIO_H

#include "deploy.h"
#include "loadgen.h"

#define SCENARIO_FAULTS_MAX 8
#define SCENARIO_VARIANTS_MAX 12

enum scenario_fault_kind {
    SCENARIO_FAULT_SLOW, /* a service's targets take `factor` times as long */
    SCENARIO_FAULT_KILL, /* `count` targets of a service are killed */
    SCENARIO_FAULT_RESTART, /* ... and come back, cold */
    SCENARIO_FAULT_OUTAGE,  /* the platform is out */
    SCENARIO_FAULT_RECOVER  /* the platform is back */
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
    toml_strings policy; /* lines for [policy] of every service */
} scenario_variant;

typedef struct scenario_spec {
    char name[SVC_NAME_SIZE];
    char deployment[SVC_PATH_SIZE]; /* path, relative to the scenario */
    int64_t slots_percent;
    int64_t instances_percent;
    int64_t slots_announced_percent; /* 100: the targets tell the truth */
    int64_t settle_ms;               /* between ready and the load */
    loadgen_options load;
    size_t fault_count;
    scenario_fault faults[SCENARIO_FAULTS_MAX];
    size_t variant_count;
    scenario_variant variants[SCENARIO_VARIANTS_MAX];
} scenario_spec;

int scenario_load(scenario_spec *out, const char *path, err *e);

#endif
