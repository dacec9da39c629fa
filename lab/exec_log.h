/*
 * exec_log: checks the execution logs of all targets against the responses
 * that callers received: no call that is not idempotent ran twice, and no
 * request that was reported as not run ran.
 */
#ifndef LAB_EXEC_LOG_H
#define LAB_EXEC_LOG_H

#include "cluster.h"
#include "loadgen.h"

typedef struct exec_log_result {
    int executions;         /* "run" lines in the logs */
    int non_idempotent_ids; /* executed ids of non-idempotent operations */
    int run_twice;          /* of these, executed more than once */
    int false_refusals;     /* "not run" responses to executed requests */
    int wrong_answers;      /* responses that belong to another request */
    char example[ID_SIZE];  /* an id with a violated guarantee, or empty */
} exec_log_result;

int exec_log_check(exec_log_result *out, const cluster_env *env,
                   const loadgen *l, err *e);
int exec_log_count_operation_runs(const cluster_env *env,
                                  const char *operation);
int exec_log_count_request_runs(const cluster_env *env, const char *request);
int64_t exec_log_longest_pause_ms(const cluster_env *env,
                                  const cluster_instance *instance,
                                  int64_t from_ms, int64_t to_ms);

#endif
