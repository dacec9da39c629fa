/*
 * svc: configuration file of a service, kept by its operators along with its
 * code.  Lists the service's operations with their class, idempotency, the
 * time callers wait and the operations they may call, and sets the service's
 * overload policy.
 */
#ifndef LAV_SVC_H
#define LAV_SVC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/toml.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SVC_NAME_SIZE 48        /* bytes, with the closing NUL */
#define SVC_PATH_SIZE 200       /* bytes, with the closing NUL */
#define SVC_OPERATIONS_MAX 24   /* operations in one file */
#define SVC_FILE_SIZE_MAX 65536 /* bytes of one file */

enum svc_class {
    SVC_CRITICAL, /* orders, licences, reorders, payments */
    SVC_NORMAL,   /* downloads and the like */
    SVC_BROWSE,   /* shed first */
    SVC_CLASS_COUNT
};

enum svc_retries {
    SVC_RETRIES_CHAIN,   /* one retry budget for the whole call chain */
    SVC_RETRIES_PER_HOP, /* a retry budget at each hop (for comparison) */
    SVC_RETRIES_NONE
};

enum svc_queue {
    SVC_QUEUE_CLASS, /* by class, then deeper calls first, then rank */
    SVC_QUEUE_FIFO,  /* first come, first served (for comparison) */
    SVC_QUEUE_LIFO   /* by class, newest first */
};

typedef struct svc_operation {
    char name[SVC_NAME_SIZE];
    int klass; /* enum svc_class */
    bool idempotent;
    int64_t caller_wait_ms; /* how long callers wait for the response */
    toml_strings calls;     /* "service.operation" */
    int line;               /* of the operation's table in the file */
} svc_operation;

typedef struct svc_policy {
    bool admission;     /* off: every call goes straight to the target */
    bool early_refusal; /* reject upstream what would be shed downstream */
    bool root_class;    /* use the root request's class, not the operation's */
    bool rank;          /* order within a class by a rank fixed per root */
    bool deadline_drop; /* drop calls that can't finish in time */
    bool adaptive_limit;       /* concurrency limit from measured latency */
    bool ramp;                 /* slow start of a cold target */
    int queue;                 /* enum svc_queue */
    int retries;               /* enum svc_retries */
    int64_t retry_budget;      /* retries for each root request */
    int64_t queue_wait_max_ms; /* longest wait in the queue */
    int64_t queue_length;      /* most calls in the queue */
    int64_t at_most_once_horizon_ms; /* how far ahead the owners of request ids
                                      * are fixed */
} svc_policy;

typedef struct svc_file {
    char name[SVC_NAME_SIZE];
    char path[SVC_PATH_SIZE];
    svc_policy policy;
    size_t operation_count;
    svc_operation operations[SVC_OPERATIONS_MAX];
} svc_file;

int svc_parse(svc_file **out, const char *text, const char *path, err *e);
void svc_free(svc_file *file);
const svc_operation *svc_find_operation(const svc_file *file,
                                        const char *name);
const char *svc_class_name(int klass);

#ifdef __cplusplus
}
#endif

#endif
