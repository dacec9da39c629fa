#include "admission_level.h"

#define ADMISSION_LEVEL_WINDOW_US 100000     /* 100 ms */
#define ADMISSION_LEVEL_WINDOW_MAX_US 400000 /* of a slow target, overloaded */
#define ADMISSION_LEVEL_STARTS_MIN 8 /* calls started that make a window */
#define ADMISSION_LEVEL_STANDING_WAIT_US                                      \
    10000                             /* all waiting longer: overload */
#define ADMISSION_LEVEL_HEADROOM 1.02 /* arrivals taken per slot gained */
#define ADMISSION_LEVEL_DECAY 0.7     /* of arrivals, per window */
#define ADMISSION_LEVEL_GROWTH 0.12   /* of the level, regained per window */
#define ADMISSION_LEVEL_SPEED_UP 0.25 /* more of that per calm window before */
#define ADMISSION_LEVEL_DROP_MAX 96   /* priorities given up per window */

/* Start with everything admitted. */
void
admission_level_init(admission_level_state *s)
{
    *s = (admission_level_state){.level = ADMISSION_LEVEL_MAX};
}

/* A call arrived, whether or not it is taken. */
void
admission_level_count_arrival(admission_level_state *s, int priority)
{
    s->arrivals[priority] += 1;
}

/* A call got a slot after `waited_us` in the queue. */
void
admission_level_count_start(admission_level_state *s, int64_t waited_us)
{
    if (s->started++ == 0 || waited_us < s->wait_min_us) {
        s->wait_min_us = waited_us;
    }
}

/* A call was refused for want of a slot. */
void
admission_level_note_refusal(admission_level_state *s)
{
    s->overloaded = true;
}

/* Level at which the arrivals fit `room`. */
static int
admission_level_fit(const admission_level_state *s, double room)
{
    double sum = 0;
    for (int level = 0; level < ADMISSION_LEVEL_MAX; level++) {
        sum += s->arrivals[level];
        if (sum > room) {
            return level;
        }
    }
    return ADMISSION_LEVEL_MAX;
}

static void
admission_level_lower(admission_level_state *s)
{
    /* Decayed arrivals sum up 1 / (1 - decay) windows. */
    double room =
        s->started * ADMISSION_LEVEL_HEADROOM / (1 - ADMISSION_LEVEL_DECAY);
    int fit = admission_level_fit(s, room);
    int lowest = s->level - ADMISSION_LEVEL_DROP_MAX;
    if (fit < lowest) {
        fit = lowest;
    }
    if (fit < s->level) {
        s->level = fit;
    }
    if (s->level < 1) {
        s->level = 1;
    }
}

/* Carefully at first, faster the longer it has been calm. */
static void
admission_level_raise(admission_level_state *s)
{
    double growth = ADMISSION_LEVEL_GROWTH *
                    (1 + s->calm_windows * ADMISSION_LEVEL_SPEED_UP);
    s->level += 1 + (int)(s->level * growth);
    if (s->level > ADMISSION_LEVEL_MAX) {
        s->level = ADMISSION_LEVEL_MAX;
    }
}

/* Close the window where it is over. */
void
admission_level_tick(admission_level_state *s, int64_t now_us)
{
    int64_t age_us = now_us - s->window_start_us;
    if (age_us < ADMISSION_LEVEL_WINDOW_US) {
        return;
    }
    bool standing =
        s->started > 0 && s->wait_min_us > ADMISSION_LEVEL_STANDING_WAIT_US;
    bool overloaded = s->overloaded || standing;
    if (overloaded && s->started < ADMISSION_LEVEL_STARTS_MIN &&
        age_us < ADMISSION_LEVEL_WINDOW_MAX_US) {
        return; /* too few starts to tell what fits */
    }
    if (overloaded) {
        admission_level_lower(s);
        s->calm_windows = 0;
    }
    else {
        admission_level_raise(s);
        s->calm_windows++;
    }
    for (int i = 0; i < ADMISSION_LEVEL_MAX; i++) {
        s->arrivals[i] *= ADMISSION_LEVEL_DECAY;
    }
    s->started = 0;
    s->wait_min_us = 0;
    s->overloaded = false;
    s->window_start_us = now_us;
}
