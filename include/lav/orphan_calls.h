/*
 * orphan_calls: the calls that a target still runs for an earlier start of
 * its node.  A node that restarts counts the busy slots of its target from
 * zero, while a target that continues after its connections closed still
 * occupies some.  The load that the target reports reveals them, until it
 * agrees with the node's own count.
 *
 * Guarantee: a target never gets more calls than it has slots.
 */
#ifndef LAV_ORPHAN_CALLS_H
#define LAV_ORPHAN_CALLS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct orphan_calls {
    int calls; /* of the earlier start, that still occupy slots */
} orphan_calls;

/* Load report of a target. */
typedef struct orphan_calls_load {
    int running;
    int waiting;
    int slots;
    int host_percent; /* time of work on its host, 100: as usual; 0: not
                       * told */
} orphan_calls_load;

bool orphan_calls_load_parse(orphan_calls_load *out, const char *text);
void orphan_calls_init(orphan_calls *orphans, const orphan_calls_load *load);
bool orphan_calls_update(orphan_calls *orphans, const orphan_calls_load *load,
                         int own);
int orphan_calls_count(const orphan_calls *orphans);

#ifdef __cplusplus
}
#endif

#endif
