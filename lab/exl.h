/*
 * exl: the execution logs of all targets, held against what the callers
 * were told.
 */
#ifndef LAB_EXL_H
#define LAB_EXL_H

#include "fld.h"
#include "lod.h"

typedef struct exl_verdict {
    int executions;        /* lines "run" in the logs */
    int unrepeatable_ids;  /* ids of operations that are not idempotent */
    int run_twice;         /* of these, run more than once */
    int false_refusals;    /* answers "not run" whose request ran */
    int wrong_answers;     /* answers of another request */
    char example[ID_SIZE]; /* an id of a broken promise, or empty */
} exl_verdict;

int exl_check(exl_verdict *out, const fld *f, const lod *l, err *e);
int exl_count_runs(const fld *f, const char *operation);
int exl_count_id(const fld *f, const char *request);

#endif
