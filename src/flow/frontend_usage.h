/*
 * frontend_usage: the step of a request between its identification and its
 * admission, in which it is taken from the usage cap of its workspace.
 */
#ifndef LAV_FRONTEND_USAGE_H
#define LAV_FRONTEND_USAGE_H

#include "frontend_private.h"

void frontend_take_usage(frontend_request *q);

#endif
