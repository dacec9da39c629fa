/*
 * status_workspaces: prints the desired state in force at each node on the
 * users' platform, and the workspaces with the most refusals.
 */
#ifndef LAV_TOOL_STATUS_WORKSPACES_H
#define LAV_TOOL_STATUS_WORKSPACES_H

#include <stdbool.h>

int status_workspaces_print(char *const *urls, bool json);

#endif
