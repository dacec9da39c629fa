/*
 * exl: the execution logs of all targets, held against what the callers
 * were told.
 */
#ifndef LAB_EXEC_LOG_H
#define LAB_EXEC_LOG_H

#include "cluster.h"
#include "loadgen.h"

typedef struct exec_log_result {
    int executions;         /* lines "run" in the logs */
    int non_idempotent_ids; /* ids of operations that are not idempotent */
    int run_twice;          /* of these, run more than once */
    int false_refusals;     /* answers "not run" whose request ran */
    int wrong_answers;      /* answers of another request */
    char example[ID_SIZE];  /* an id of a broken promise, or empty */
} exec_log_result;

int exec_log_check(exec_log_result *out, const cluster_env *env,
                   const loadgen *l, err *e);
int exec_log_count_operation_runs(const cluster_env *env,
                                  const char *operation);
int exec_log_count_request_runs(const cluster_env *env, const char *request);

#endif
