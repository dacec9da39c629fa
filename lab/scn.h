/*
 * scn: a scenario file: which deployment at which scale, the load, its
 * phases, faults, and the variants of policy that are compared.
 */
#ifndef LAB_SCN_H
#define LAB_SCN_H

#include "dep.h"
#include "lod.h"

#define SCN_FAULTS_MAX 8
#define SCN_VARIANTS_MAX 12

enum scn_fault_kind {
    SCN_SLOW,    /* a service's targets take `factor` times as long */
    SCN_KILL,    /* `count` targets of a service are killed */
    SCN_RESTART, /* ... and come back, cold */
    SCN_OUTAGE,  /* the platform is out */
    SCN_RECOVER  /* the platform is back */
};

typedef struct scn_fault {
    int kind; /* enum scn_fault_kind */
    int64_t at_ms;
    char service[SVC_NAME_SIZE];
    int64_t factor;
    int64_t count;
} scn_fault;

typedef struct scn_variant {
    char name[SVC_NAME_SIZE];
    toml_strings policy; /* lines for [policy] of every service */
} scn_variant;

typedef struct scn {
    char name[SVC_NAME_SIZE];
    char deployment[SVC_PATH_SIZE]; /* path, relative to the scenario */
    int64_t slots_percent;
    int64_t instances_percent;
    int64_t slots_announced_percent; /* 100: the targets tell the truth */
    int64_t settle_ms;               /* between ready and the load */
    lod_options load;
    size_t fault_count;
    scn_fault faults[SCN_FAULTS_MAX];
    size_t variant_count;
    scn_variant variants[SCN_VARIANTS_MAX];
} scn;

int scn_load(scn *out, const char *path, err *e);

#endif
