/*
 * fld: a deployment that runs on this machine: the platform's stand-in, and
 * for each instance a node and a target's stand-in, as separate processes.
 */
#ifndef LAB_FLD_H
#define LAB_FLD_H

#include <stdint.h>
#include <sys/types.h>

#include "dep.h"
#include "lav/err.h"

#define FLD_INSTANCES_MAX 200
#define FLD_PATH_SIZE 256

typedef struct fld_instance {
    char name[SVC_NAME_SIZE];
    const dep_service *service;
    char zone[SVC_NAME_SIZE];
    pid_t node;
    pid_t target;
    int callers_port;
    int target_side_port; /* of the node, for its target */
    int peer_port;
    int control_port;
    int advertised_peer_port;    /* 0: as peer_port */
    int advertised_control_port; /* 0: as control_port */
    int port;                    /* of the target */
    int advertised_port;         /* that the target announces; 0: port */
} fld_instance;

typedef struct fld {
    char programs[FLD_PATH_SIZE]; /* folder with the built programs */
    char folder[FLD_PATH_SIZE];   /* of this run */
    dep deployment;
    char policy[1024]; /* lines for the [policy] of every service */
    int linger_ms;
    int calls_max; /* of callers at one node */
    bool without_targets;
    pid_t platform;
    int platform_port;
    int platform_advertised_port; /* for the nodes; 0: platform_port */
    size_t count;
    fld_instance instances[FLD_INSTANCES_MAX];
} fld;

int fld_init(fld *f, const char *programs, const dep *deployment, err *e);
int fld_start(fld *f, err *e);
int fld_start_platform(fld *f, err *e);
int fld_start_node(fld *f, fld_instance *instance, err *e);
int fld_start_target(fld *f, fld_instance *instance, err *e);
int fld_publish(fld *f, err *e);
int fld_wait_ready(fld *f, int timeout_ms, err *e);
void fld_stop(fld *f);
int fld_leftover(const fld *f);
fld_instance *fld_find(fld *f, const char *service, int index);
int fld_admin(int port, const char *query);
char *fld_get(int port, const char *path);
int64_t fld_status_int(const fld_instance *instance, const char *group,
                       const char *key);
void fld_log_path(char *out, size_t size, const fld *f,
                  const fld_instance *instance);

#endif
