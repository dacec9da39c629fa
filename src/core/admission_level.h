/*
 * admission_level: the priority below which a target's node admits calls, as
 * in DAGOR (Zhou et al., SoCC 2018).  Each window counts the arrivals by
 * priority and the calls that got a slot.  Under overload the level drops to
 * where the arrivals fit the slots; afterwards it rises step by step.  A queue
 * that stands for a whole window is overload (as in CoDel; Nichols and
 * Jacobson, 2012); a single long wait is not.
 */
#ifndef LAV_ADMISSION_LEVEL_H
#define LAV_ADMISSION_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/admission.h"

typedef struct admission_level_state {
    int level;                            /* priorities below are admitted */
    double arrivals[ADMISSION_LEVEL_MAX]; /* by priority, decayed per window */
    int started;         /* calls that got a slot in this window */
    int64_t wait_min_us; /* shortest wait of these */
    int calm_windows;    /* in a row without overload */
    int floor;           /* of the level: what got slots in this window */
    bool overloaded;     /* a call was refused for lack of a slot */
    int64_t window_start_us;
} admission_level_state;

void admission_level_init(admission_level_state *state);
void admission_level_count_arrival(admission_level_state *state, int priority);
void admission_level_count_start(admission_level_state *state,
                                 int64_t waited_us);
void admission_level_note_class(admission_level_state *state, int klass);
void admission_level_note_refusal(admission_level_state *state);
void admission_level_tick(admission_level_state *state, int64_t now_us);

#endif
