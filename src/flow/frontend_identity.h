/*
 * frontend_identity: the workspace of a caller's request.  It is found by the
 * API key when the request arrives, and looked up again before each attempt
 * if another desired state has come into force since.
 */
#ifndef LAV_FRONTEND_IDENTITY_H
#define LAV_FRONTEND_IDENTITY_H

#include "frontend_private.h"

int frontend_identify(frontend_request *q, const http_head *head,
                      const routing_route *route, enum reason *reason);
void frontend_set_workspace(frontend_request *q, int route_priority);
bool frontend_identity_recheck(frontend_request *q);
void frontend_count_end(const frontend_request *q,
                        enum workspace_outcome outcome);
void frontend_identity_clear(frontend_request *q);

#endif
