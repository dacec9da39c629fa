#include "lav/identity.h"

#include <string.h>
#include <strings.h>

#define IDENTITY_SCHEME "Bearer"

/* Finds the key in the value of an authorization field: the scheme, whose case
 * is ignored, spaces, and the key, which has none.  False if it is
 * malformed. */
bool
identity_parse_bearer(const char **key, size_t *length, const char *value,
                      size_t value_length)
{
    size_t at = strlen(IDENTITY_SCHEME);
    if (value == NULL || value_length <= at ||
        strncasecmp(value, IDENTITY_SCHEME, at) != 0 || value[at] != ' ') {
        return false;
    }
    while (at < value_length && value[at] == ' ') {
        at++;
    }
    size_t end = at;
    while (end < value_length && value[end] > ' ' && value[end] < '\x7f') {
        end++;
    }
    *key = value + at;
    *length = end - at;
    while (end < value_length && value[end] == ' ') {
        end++;
    }
    return *length > 0 && end == value_length;
}

/* Decides who sends a request; `out` is set with IDENTITY_KNOWN and NULL
 * otherwise. */
enum identity_verdict
identity_decide(const workspace **out, const identity_question *question)
{
    *out = NULL;
    if (question->workspaces == NULL || question->exempt) {
        return IDENTITY_NOT_ASKED;
    }
    if (question->key != NULL) {
        *out = workspace_find_key(question->workspaces, question->key,
                                  question->length);
    }
    if (*out != NULL) {
        return IDENTITY_KNOWN;
    }
    return question->may_be_outdated ? IDENTITY_UNSURE : IDENTITY_UNKNOWN;
}

/* Returns the priority of a workspace's request: by that of the workspace,
 * then by that of the route. */
int
identity_priority(const workspace *entry, int route_priority)
{
    int rank = route_priority < IDENTITY_ROUTE_PRIORITIES
                   ? route_priority
                   : IDENTITY_ROUTE_PRIORITIES - 1;
    return entry->priority * IDENTITY_ROUTE_PRIORITIES + rank;
}
