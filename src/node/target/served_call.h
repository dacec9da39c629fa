/*
 * served_call: table of the calls that the local target serves at the moment,
 * by token.  Subcalls, the downstream calls that the target makes while it
 * serves one, take their priority class, depth, deadline and retry budget
 * from this table; values that the target sends are not trusted.
 */
#ifndef LAV_NODE_SERVED_CALL_H
#define LAV_NODE_SERVED_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"
#include "lav/svc.h"

#define SERVED_CALL_SUBCALLS_MAX 32 /* request ids kept per served call */

typedef struct served_call_context {
    id root;
    char operation[2 * SVC_NAME_SIZE]; /* SERVICE.OPERATION that is served */
    int klass;
    int depth;
    bool first; /* no earlier attempt of the request was made */
    int64_t deadline_us;
} served_call_context;

typedef struct served_call_table served_call_table;

int served_call_new(served_call_table **out, size_t calls_max);
void served_call_free(served_call_table *t);
int served_call_open(served_call_table *t, uint64_t token,
                     const served_call_context *context, int budget);
bool served_call_find(served_call_context *out, served_call_table *t,
                      uint64_t token);
int served_call_take_budget(served_call_table *t, uint64_t token,
                            int calls_to_come);
bool served_call_begin_subcall(served_call_table *t, uint64_t token,
                               uint64_t request_hash, int64_t now_us);
void served_call_end_subcall(served_call_table *t, uint64_t token, int granted,
                             int unused, int64_t now_us);
int served_call_close(int64_t *out_subcalls_us, served_call_table *t,
                      uint64_t token, int64_t now_us);

#endif
