/*
 * frontend_log: log events about requests received from callers and from the
 * local target, rate limited by kind of response.
 */
#ifndef LAV_FRONTEND_LOG_H
#define LAV_FRONTEND_LOG_H

#include "frontend_private.h"

const char *frontend_log_rate_group(enum reason reason, int status, int depth);
void frontend_log_error_response(const frontend_request *q, int status,
                                 enum reason reason);
void frontend_log_refused_key(const frontend_request *q, int status,
                              enum reason reason);
void frontend_log_failed_attempt(const frontend_request *q,
                                 const attempt_failure *failure);
void frontend_log_denied_retry(const frontend_request *q,
                               const retry_budget_window *budget,
                               bool room_below);
void frontend_log_relayed_response(const frontend_request *q);

#endif
