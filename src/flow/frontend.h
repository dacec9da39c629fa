/*
 * frontend: serves external requests and the internal requests of the local
 * target.  Each request is validated, routed, attempted, retried where that is
 * allowed, and ends with the target's response or with an error response whose
 * status states whether the request may have run.
 */
#ifndef LAV_FRONTEND_H
#define LAV_FRONTEND_H

#include "runtime.h"

void frontend_accept(int fd, const struct sockaddr_in *from, void *payload);
void frontend_end_attempts(runtime *n);
void frontend_end_requests(runtime *n);
void frontend_on_config(runtime *n);

#endif
