/*
 * rsd: the calls that a target still runs for an earlier start of its node.
 * A node that starts again counts the slots of its target from none, while a
 * target that goes on after its connections closed holds some of them.  The
 * load that the target tells shows them, until it agrees with the node's own
 * count.
 *
 * Promise: a target never gets more calls than it has slots.
 */
#ifndef LAV_RSD_H
#define LAV_RSD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rsd {
    int calls; /* of the earlier start, that still hold slots */
} rsd;

/* What a target tells of its load. */
typedef struct rsd_load {
    int running;
    int waiting;
    int slots;
} rsd_load;

bool rsd_load_parse(rsd_load *out, const char *text);
void rsd_begin(rsd *r, const rsd_load *load);
bool rsd_told(rsd *r, const rsd_load *load, int own);
int rsd_calls(const rsd *r);

#ifdef __cplusplus
}
#endif

#endif
