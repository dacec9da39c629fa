/*
 * admission_get_level: the priority below which a target's node takes calls, in the
 * manner of DAGOR (Zhou et al., SoCC 2018).  Each window counts arrivals by
 * priority and calls that got a slot; under overload the level drops to
 * where the arrivals fit the slots, afterwards it rises step by step.  A queue
 * that stands through a whole window is overload (after CoDel; Nichols and
 * Jacobson, 2012); a wait now and then is not.
 */
#ifndef LAV_ADMISSION_LEVEL_H
#define LAV_ADMISSION_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/admission.h"

typedef struct admission_level_state {
    int level;                            /* calls below it are taken */
    double arrivals[ADMISSION_LEVEL_MAX]; /* by priority, decaying */
    int started;                          /* got a slot in this window */
    int64_t wait_min_us;                  /* of these */
    int calm_windows;                     /* since the last overload */
    bool overloaded;                      /* a call was refused for a slot */
    int64_t window_start_us;
} admission_level_state;

void admission_level_init(admission_level_state *s);
void admission_level_count_arrival(admission_level_state *s, int priority);
void admission_level_count_start(admission_level_state *s, int64_t waited_us);
void admission_level_note_refusal(admission_level_state *s);
void admission_level_tick(admission_level_state *s, int64_t now_us);

#endif
