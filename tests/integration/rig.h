/*
 * rig: what the integration tests share: a small deployment of real
 * processes with fault proxies before nodes and platform, load on it, and
 * the check of the logs against the answers.
 */
#ifndef LAV_RIG_H
#define LAV_RIG_H

#include "exl.h"
#include "fld.h"
#include "lod.h"
#include "prx.h"

#define RIG_INSTANCES_MAX 16

typedef struct rig {
    dep deployment;
    fld field;
    prx *peers[RIG_INSTANCES_MAX];    /* before each node's peer address */
    prx *controls[RIG_INSTANCES_MAX]; /* before each control address */
    prx *platform;
} rig;

typedef struct rig_result {
    int sent;
    int by_outcome[LOD_OUTCOME_COUNT];
    exl_verdict verdict;
} rig_result;

void rig_start(rig *r, const char *deployment, const char *policy);
void rig_start_small(rig *r, const char *deployment, int calls_max);
void rig_stop(rig *r);
lod *rig_load(rig *r, const lod_options *options);
void rig_finish(rig_result *out, rig *r, lod *l);
void rig_expect_promises(const rig_result *result, const char *what);
void rig_sleep_ms(int ms);
lod_options rig_orders(double rate, double seconds, int retries);
int rig_post(int port, const char *path, const char *id_text, int attempt,
             const char *body, char *out_outcome, char *out_reason);

#endif
