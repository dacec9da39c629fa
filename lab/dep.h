/*
 * dep: a deployment as its file describes it: services, instances, slots,
 * availability zones, and how long each operation takes.
 */
#ifndef LAB_DEP_H
#define LAB_DEP_H

#include "lav/err.h"
#include "lav/svc.h"

#define DEP_SERVICES_MAX 16

typedef struct dep_service {
    char name[SVC_NAME_SIZE];
    int64_t instances;
    int64_t slots;
    int64_t announced_slots; /* 0: the true number */
    int64_t cold_ms;         /* a target is slow so long after its start */
    toml_strings times;      /* "operation=30ms" */
} dep_service;

typedef struct dep {
    char name[SVC_NAME_SIZE];
    char folder[SVC_PATH_SIZE]; /* of the file; services/ lies in it */
    toml_strings zones;
    toml_strings entries; /* services that callers call */
    size_t service_count;
    dep_service services[DEP_SERVICES_MAX];
} dep;

int dep_load(dep *out, const char *path, err *e);
void dep_scale(dep *d, double slots, double instances);
int dep_time_ms(const dep_service *service, const char *operation);

#endif
