#include "admission_level.h"

#define ADMISSION_LEVEL_WINDOW_US 100000 /* 100 ms */

/* Longest window, 400 ms: an overloaded slow target starts fewer than
 * ADMISSION_LEVEL_STARTS_MIN calls in a normal one. */
#define ADMISSION_LEVEL_WINDOW_MAX_US 400000

/* Calls that must have got a slot before an overloaded window is evaluated. */
#define ADMISSION_LEVEL_STARTS_MIN 8

/* A window in which every call waited longer than 10 ms is overload. */
#define ADMISSION_LEVEL_STANDING_WAIT_US 10000

#define ADMISSION_LEVEL_HEADROOM 1.02 /* arrivals admitted per started call */
#define ADMISSION_LEVEL_DECAY 0.7     /* factor on the arrivals, per window */
#define ADMISSION_LEVEL_GROWTH 0.12   /* part of the level added per window */

/* Each earlier window without overload adds this part of the growth. */
#define ADMISSION_LEVEL_GROWTH_RISE 0.25

#define ADMISSION_LEVEL_DROP_MAX 96 /* priorities shed per window at most */

/* Start by admitting every priority. */
void
admission_level_init(admission_level_state *state)
{
    *state = (admission_level_state){.level = ADMISSION_LEVEL_MAX};
}

/* Count a call that arrived, whether or not it is admitted. */
void
admission_level_count_arrival(admission_level_state *state, int priority)
{
    state->arrivals[priority] += 1;
}

/* Count a call that got a slot after `waited_us` in the queue. */
void
admission_level_count_start(admission_level_state *state, int64_t waited_us)
{
    if (state->started++ == 0 || waited_us < state->wait_min_us) {
        state->wait_min_us = waited_us;
    }
}

/* Note that a call of a class got a slot: the level doesn't refuse more
 * important classes meanwhile.  Otherwise a target that stood still for a while
 * would go on to refuse them, with slots free for the others. */
void
admission_level_note_class(admission_level_state *state, int klass)
{
    int floor = klass * ID_RANKS;
    if (floor > state->floor) {
        state->floor = floor;
    }
    if (state->level < state->floor) {
        state->level = state->floor;
    }
}

/* Note that a call was refused for lack of a slot. */
void
admission_level_note_refusal(admission_level_state *state)
{
    state->overloaded = true;
}

/* Highest level at which the decayed arrivals don't exceed `capacity`. */
static int
admission_level_find(const admission_level_state *state, double capacity)
{
    double sum = 0;
    for (int level = 0; level < ADMISSION_LEVEL_MAX; level++) {
        sum += state->arrivals[level];
        if (sum > capacity) {
            return level;
        }
    }
    return ADMISSION_LEVEL_MAX;
}

/* Lower the level to where the arrivals fit the calls that got a slot. */
static void
admission_level_lower(admission_level_state *state)
{
    /* The decayed arrivals add up 1 / (1 - decay) windows. */
    double capacity = state->started * ADMISSION_LEVEL_HEADROOM /
                      (1 - ADMISSION_LEVEL_DECAY);
    int level = admission_level_find(state, capacity);
    int lowest = state->level - ADMISSION_LEVEL_DROP_MAX;
    if (level < lowest) {
        level = lowest;
    }
    if (level < state->level) {
        state->level = level;
    }
    if (state->level < state->floor) {
        state->level = state->floor;
    }
    if (state->level < 1) {
        state->level = 1;
    }
}

/* Raise the level, faster the longer there has been no overload. */
static void
admission_level_raise(admission_level_state *state)
{
    double growth = ADMISSION_LEVEL_GROWTH *
                    (1 + state->calm_windows * ADMISSION_LEVEL_GROWTH_RISE);
    state->level += 1 + (int)(state->level * growth);
    if (state->level > ADMISSION_LEVEL_MAX) {
        state->level = ADMISSION_LEVEL_MAX;
    }
}

/* Evaluate the window if it is over, and begin the next one. */
void
admission_level_tick(admission_level_state *state, int64_t now_us)
{
    int64_t age_us = now_us - state->window_start_us;
    if (age_us < ADMISSION_LEVEL_WINDOW_US) {
        return;
    }
    bool standing = state->started > 0 &&
                    state->wait_min_us > ADMISSION_LEVEL_STANDING_WAIT_US;
    bool overloaded = state->overloaded || standing;
    if (overloaded && state->started < ADMISSION_LEVEL_STARTS_MIN &&
        age_us < ADMISSION_LEVEL_WINDOW_MAX_US) {
        return; /* too few started calls to estimate the capacity */
    }
    if (overloaded) {
        admission_level_lower(state);
        state->calm_windows = 0;
    }
    else {
        admission_level_raise(state);
        state->calm_windows++;
    }
    for (int i = 0; i < ADMISSION_LEVEL_MAX; i++) {
        state->arrivals[i] *= ADMISSION_LEVEL_DECAY;
    }
    state->started = 0;
    state->floor = 0;
    state->wait_min_us = 0;
    state->overloaded = false;
    state->window_start_us = now_us;
}
