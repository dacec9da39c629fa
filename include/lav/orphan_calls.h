/*
 * orphan_calls: the calls that a target still runs for an earlier start of its node.
 * A node that starts again counts the slots of its target from none, while a
 * target that goes on after its connections closed holds some of them.  The
 * load that the target tells shows them, until it agrees with the node's own
 * count.
 *
 * Promise: a target never gets more calls than it has slots.
 */
#ifndef LAV_ORPHAN_CALLS_H
#define LAV_ORPHAN_CALLS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct orphan_calls {
    int calls; /* of the earlier start, that still hold slots */
} orphan_calls;

/* What a target tells of its load. */
typedef struct orphan_calls_load {
    int running;
    int waiting;
    int slots;
} orphan_calls_load;

bool orphan_calls_load_parse(orphan_calls_load *out, const char *text);
void orphan_calls_init(orphan_calls *r, const orphan_calls_load *load);
bool orphan_calls_update(orphan_calls *r, const orphan_calls_load *load,
                         int own);
int orphan_calls_count(const orphan_calls *r);

#ifdef __cplusplus
}
#endif

#endif
