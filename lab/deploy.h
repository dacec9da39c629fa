/*
 * deploy: loads the description of a test deployment from a TOML file:
 * services, instances, slots, availability zones and the service time of each
 * operation.
 */
#ifndef LAB_DEPLOY_H
#define LAB_DEPLOY_H

#include "lav/err.h"
#include "lav/svc.h"

#define DEPLOY_SERVICES_MAX 16

typedef struct deploy_service {
    char name[SVC_NAME_SIZE];
    int64_t instances;
    int64_t slots;
    int64_t announced_slots; /* announced concurrency; 0: slots */
    int64_t warmup_ms;  /* time after its start for which a target is slow */
    toml_strings times; /* service times, as "operation=30ms" */
} deploy_service;

typedef struct deploy_spec {
    char name[SVC_NAME_SIZE];
    char folder[SVC_PATH_SIZE]; /* of the file; contains services/ */
    toml_strings zones;
    toml_strings entries; /* services that external callers call */
    size_t service_count;
    deploy_service services[DEPLOY_SERVICES_MAX];
} deploy_spec;

int deploy_load(deploy_spec *out, const char *path, err *e);
void deploy_scale(deploy_spec *d, double slots, double instances);
int deploy_operation_ms(const deploy_service *service, const char *operation);

#endif
