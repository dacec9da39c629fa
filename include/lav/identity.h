/*
 * identity: decides which workspace sends a request, by the API key that it
 * bears and what the node knows of the desired state.  A key is refused for
 * good only if no version that may be in force knows it.
 *
 * Load pattern: once for each request of a caller, and again for one that
 * still waits when another desired state comes into force.
 */
#ifndef LAV_IDENTITY_H
#define LAV_IDENTITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/workspace.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Route priorities told apart within one priority of a workspace. */
#define IDENTITY_ROUTE_PRIORITIES 1024

enum identity_verdict {
    IDENTITY_NOT_ASKED, /* no workspaces, or the route is exempt */
    IDENTITY_KNOWN,
    IDENTITY_UNKNOWN, /* no version that may be in force knows the key */
    IDENTITY_UNSURE   /* a newer version may know it */
};

typedef struct identity_question {
    const workspace_table *workspaces; /* NULL: the desired state has none */
    bool exempt;                       /* the route needs no key */
    bool may_be_outdated;              /* a newer version may be in force */
    const char *key;                   /* NULL: none, or a malformed one */
    size_t length;
} identity_question;

bool identity_parse_bearer(const char **key, size_t *length, const char *value,
                           size_t value_length);
enum identity_verdict identity_decide(const workspace **out,
                                      const identity_question *question);
int identity_priority(const workspace *entry, int route_priority);

#ifdef __cplusplus
}
#endif

#endif
