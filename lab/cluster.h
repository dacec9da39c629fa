/*
 * cluster: runs a deployment on this machine for tests and benchmarks: a
 * stand-in for the platform and, for each instance, a node and a stand-in for
 * its target, as separate processes on loopback ports.
 */
#ifndef LAB_CLUSTER_H
#define LAB_CLUSTER_H

#include <stdint.h>
#include <sys/types.h>

#include "deploy.h"
#include "lav/err.h"

#define CLUSTER_INSTANCES_MAX 200
#define CLUSTER_PATH_SIZE 256

typedef struct cluster_instance {
    char name[SVC_NAME_SIZE];
    const deploy_service *service;
    char zone[SVC_NAME_SIZE];
    pid_t node;
    pid_t target;
    int callers_port;
    int target_side_port; /* of the node, for calls of its target */
    int peer_port;
    int control_port;
    int advertised_peer_port;    /* 0: peer_port */
    int advertised_control_port; /* 0: control_port */
    int port;                    /* of the target */
    int advertised_port;         /* announced by the target; 0: port */
} cluster_instance;

typedef struct cluster_env {
    char programs[CLUSTER_PATH_SIZE]; /* folder with the built programs */
    char folder[CLUSTER_PATH_SIZE];   /* settings and logs of this run */
    bool start_failed;                /* the folder is kept */
    deploy_spec deployment;
    char policy[1024]; /* lines added to the [policy] of every service */
    int linger_ms;
    int calls_max; /* concurrent external calls at one node */
    bool without_targets;
    pid_t platform;
    int platform_port;
    int platform_advertised_port; /* set at the nodes; 0: platform_port */
    size_t count;
    cluster_instance instances[CLUSTER_INSTANCES_MAX];
} cluster_env;

int cluster_init(cluster_env *env, const char *programs,
                 const deploy_spec *deployment, err *e);
int cluster_start(cluster_env *env, err *e);
int cluster_start_platform(cluster_env *env, err *e);
int cluster_start_node(cluster_env *env, cluster_instance *instance, err *e);
int cluster_start_target(cluster_env *env, cluster_instance *instance, err *e);
int cluster_publish(cluster_env *env, err *e);
int cluster_wait_ready(cluster_env *env, int timeout_ms, err *e);
void cluster_stop(cluster_env *env);
int cluster_count_processes(const cluster_env *env);
cluster_instance *cluster_find_instance(cluster_env *env, const char *service,
                                        int index);
int cluster_configure_standin(int port, const char *query);
char *cluster_http_get(int port, const char *path);
int64_t cluster_get_status_int(const cluster_instance *instance,
                               const char *group, const char *key);
void cluster_get_log_path(char *out, size_t size, const cluster_env *env,
                          const cluster_instance *instance);

#endif
