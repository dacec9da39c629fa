#include "adm_level.h"

#define ADM_LEVEL_WINDOW_US 100000     /* 100 ms */
#define ADM_LEVEL_WINDOW_MAX_US 400000 /* of a slow target, overloaded */
#define ADM_LEVEL_STARTS_MIN 8         /* calls started that make a window */
#define ADM_LEVEL_STANDING_US 10000    /* all waiting longer: overload */
#define ADM_LEVEL_HEADROOM 1.02        /* arrivals taken per slot gained */
#define ADM_LEVEL_DECAY 0.7            /* of arrivals, per window */
#define ADM_LEVEL_GROWTH 0.12          /* of the level, regained per window */
#define ADM_LEVEL_SPEED_UP 0.25 /* more of that per calm window before */
#define ADM_LEVEL_DROP_MAX 96   /* priorities given up per window */

/* Start with everything admitted. */
void
adm_level_init(adm_level_state *s)
{
    *s = (adm_level_state){.level = ADM_LEVEL_MAX};
}

/* A call arrived, whether or not it is taken. */
void
adm_level_arrive(adm_level_state *s, int priority)
{
    s->arrivals[priority] += 1;
}

/* A call got a slot after `waited_us` in the queue. */
void
adm_level_started(adm_level_state *s, int64_t waited_us)
{
    if (s->started++ == 0 || waited_us < s->least_wait_us) {
        s->least_wait_us = waited_us;
    }
}

/* A call was refused for want of a slot. */
void
adm_level_overflow(adm_level_state *s)
{
    s->overloaded = true;
}

/* Level at which the arrivals fit `room`. */
static int
adm_level_fit(const adm_level_state *s, double room)
{
    double sum = 0;
    for (int level = 0; level < ADM_LEVEL_MAX; level++) {
        sum += s->arrivals[level];
        if (sum > room) {
            return level;
        }
    }
    return ADM_LEVEL_MAX;
}

static void
adm_level_lower(adm_level_state *s)
{
    /* Decayed arrivals sum up 1 / (1 - decay) windows. */
    double room = s->started * ADM_LEVEL_HEADROOM / (1 - ADM_LEVEL_DECAY);
    int fit = adm_level_fit(s, room);
    int lowest = s->level - ADM_LEVEL_DROP_MAX;
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
adm_level_raise(adm_level_state *s)
{
    double growth =
        ADM_LEVEL_GROWTH * (1 + s->calm_windows * ADM_LEVEL_SPEED_UP);
    s->level += 1 + (int)(s->level * growth);
    if (s->level > ADM_LEVEL_MAX) {
        s->level = ADM_LEVEL_MAX;
    }
}

/* Close the window where it is over. */
void
adm_level_tick(adm_level_state *s, int64_t now_us)
{
    int64_t age_us = now_us - s->window_start_us;
    if (age_us < ADM_LEVEL_WINDOW_US) {
        return;
    }
    bool standing = s->started > 0 && s->least_wait_us > ADM_LEVEL_STANDING_US;
    bool overloaded = s->overloaded || standing;
    if (overloaded && s->started < ADM_LEVEL_STARTS_MIN &&
        age_us < ADM_LEVEL_WINDOW_MAX_US) {
        return; /* too few starts to tell what fits */
    }
    if (overloaded) {
        adm_level_lower(s);
        s->calm_windows = 0;
    }
    else {
        adm_level_raise(s);
        s->calm_windows++;
    }
    for (int i = 0; i < ADM_LEVEL_MAX; i++) {
        s->arrivals[i] *= ADM_LEVEL_DECAY;
    }
    s->started = 0;
    s->least_wait_us = 0;
    s->overloaded = false;
    s->window_start_us = now_us;
}
