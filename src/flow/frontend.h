/*
 * frontend: requests of callers and of the target's own calls.  Each is checked,
 * routed and attempted, again where that is allowed, and answered: with the
 * target's answer, or with a refusal or failure of our own that is true.
 */
#ifndef LAV_FRONTEND_H
#define LAV_FRONTEND_H

#include "runtime.h"

void frontend_accept(int fd, const struct sockaddr_in *from, void *payload);

#endif
