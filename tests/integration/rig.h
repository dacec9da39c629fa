/*
 * rig: what the integration tests share: a small deployment of real
 * processes with fault proxies before nodes and platform, load on it, and
 * the check of the logs against the answers.
 */
#ifndef LAV_RIG_H
#define LAV_RIG_H

#include "exec_log.h"
#include "cluster.h"
#include "loadgen.h"
#include "fault_proxy.h"

#define RIG_INSTANCES_MAX 16

typedef struct rig {
    deploy_spec deployment;
    cluster_env cluster;
    fault_proxy
        *peers[RIG_INSTANCES_MAX]; /* before each node's peer address */
    fault_proxy *controls[RIG_INSTANCES_MAX]; /* before each control address */
    fault_proxy *platform;
} rig;

typedef struct rig_result {
    int sent;
    int by_outcome[LOADGEN_OUTCOME_COUNT];
    exec_log_result verdict;
} rig_result;

void rig_start(rig *r, const char *deployment, const char *policy);
void rig_start_with_call_limit(rig *r, const char *deployment, int calls_max);
void rig_stop(rig *r);
loadgen *rig_start_load(rig *r, const loadgen_options *options);
void rig_finish_load(rig_result *out, rig *r, loadgen *l);
void rig_expect_guarantees(const rig_result *result, const char *what);
void rig_sleep_ms(int ms);
loadgen_options rig_order_load(double rate, double seconds, int retries);
int rig_post(int port, const char *path, const char *id_text, int attempt,
             const char *body, char *out_outcome, char *out_reason);

#endif
