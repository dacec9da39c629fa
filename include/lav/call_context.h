/*
 * call_context: the context of a request, which a target copies from the call that
 * it serves onto the calls that it makes, as the header Lav-Context:
 *
 *   v1;root=ID;class=critical;depth=2;left-us=81000;budget=1;token=9f;first=1
 *
 * The node trusts only the token, by which it finds the values that it sent
 * itself; the others serve a target that wants to shed by itself.
 */
#ifndef LAV_CALL_CONTEXT_H
#define LAV_CALL_CONTEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CALL_CONTEXT_TEXT_SIZE                                                \
    256 /* bytes of the header's value, with the NUL */

typedef struct call_context {
    id root;
    int klass;            /* enum svc_class of the root request */
    int depth;            /* 1 for the root's own call */
    int64_t time_left_us; /* time left until the root's deadline */
    int budget;           /* extra attempts that may still be spent */
    uint64_t token; /* handle of the call at the node that delivered it */
    bool first;     /* no earlier attempt of this request was made */
} call_context;

void call_context_format(char out[CALL_CONTEXT_TEXT_SIZE],
                         const call_context *c);
int call_context_parse(call_context *out, const char *text);

#ifdef __cplusplus
}
#endif

#endif
