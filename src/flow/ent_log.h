/*
 * ent_log: the lines on requests that this node took from callers and from
 * its target.
 */
#ifndef LAV_ENT_LOG_H
#define LAV_ENT_LOG_H

#include "ent_private.h"

const char *ent_log_group(enum reason reason, int status, int depth);
void ent_log_answer(const ent_request *q, int status, enum reason reason);
void ent_log_attempt(const ent_request *q, const att_failure *failure);
void ent_log_served(const ent_request *q);

#endif
