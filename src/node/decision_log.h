/*
 * decision_log: the most recent decisions of this node about requests, so that
 * an operator can find out why one was refused, retried or routed as it was.
 */
#ifndef LAV_NODE_DECISION_LOG_H
#define LAV_NODE_DECISION_LOG_H

#include <jansson.h>

#include "lav/id.h"

typedef struct decision_log decision_log;

int decision_log_new(decision_log **out, size_t decisions_max);
void decision_log_free(decision_log *log);
void decision_log_add(decision_log *log, const char *root, const char *request,
                      const char *format, ...)
    __attribute__((format(printf, 4, 5)));
json_t *decision_log_find(decision_log *log, const char *request);

#endif
