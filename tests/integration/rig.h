/*
 * rig: the fixture of the integration tests of lav-node: a small deployment
 * of real processes with fault proxies in front of the nodes and the platform,
 * load from callers, and the check of the targets' execution logs against the
 * responses that the callers got.
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
    /* In front of each node's peer port and control port. */
    fault_proxy *peer_proxies[RIG_INSTANCES_MAX];
    fault_proxy *control_proxies[RIG_INSTANCES_MAX];
    fault_proxy *platform_proxy;
} rig;

typedef struct rig_result {
    int sent;
    int by_outcome[LOADGEN_OUTCOME_COUNT];
    exec_log_result check;
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
