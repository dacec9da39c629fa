/*
 * adm_level: the priority below which a target's node takes calls, in the
 * manner of DAGOR (Zhou et al., SoCC 2018).  Each window counts arrivals by
 * priority and calls that got a slot; under overload the level drops to
 * where the arrivals fit the slots, afterwards it rises step by step.  A queue
 * that stands through a whole window is overload (after CoDel; Nichols and
 * Jacobson, 2012); a wait now and then is not.
 */
#ifndef LAV_ADM_LEVEL_H
#define LAV_ADM_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/adm.h"

typedef struct adm_level_state {
    int level;                      /* calls below it are taken */
    double arrivals[ADM_LEVEL_MAX]; /* by priority, decaying */
    int started;                    /* got a slot in this window */
    int64_t least_wait_us;          /* of these */
    int calm_windows;               /* since the last overload */
    bool overloaded;                /* a call was refused for a slot */
    int64_t window_start_us;
} adm_level_state;

void adm_level_init(adm_level_state *s);
void adm_level_arrive(adm_level_state *s, int priority);
void adm_level_started(adm_level_state *s, int64_t waited_us);
void adm_level_overflow(adm_level_state *s);
void adm_level_tick(adm_level_state *s, int64_t now_us);

#endif
