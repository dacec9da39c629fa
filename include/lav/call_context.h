/*
 * call_context: the context of a request, which a target copies from the call
 * that it serves to the calls that it makes, as the header Lav-Context:
 *
 *   v1;root=ID;class=critical;depth=2;left-us=81000;budget=1;token=9f;first=1
 *
 * The node trusts only the token, by which it looks up the values that it sent
 * itself.  The other fields let a target do load shedding of its own.
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

/* Bytes of the value of the header, with the terminating NUL. */
#define CALL_CONTEXT_TEXT_SIZE 256

typedef struct call_context {
    id root;
    int klass;            /* enum svc_class of the root request */
    int depth;            /* 1 for the call of the root request itself */
    int64_t time_left_us; /* until the deadline of the root request */
    int budget;           /* retry budget: extra attempts still allowed */
    uint64_t token; /* identifies the call at the node that delivered it */
    bool first;     /* no earlier attempt of this request was made */
} call_context;

void call_context_format(char out[CALL_CONTEXT_TEXT_SIZE],
                         const call_context *context);
int call_context_parse(call_context *out, const char *text);

#ifdef __cplusplus
}
#endif

#endif
