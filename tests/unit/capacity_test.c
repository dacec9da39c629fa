/* What the node of an instance finds out: how many calls the instance takes
 * well, and how long a call takes there. */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>

#include "lav/clock.h"
#include "lav/instance_capacity.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL
#define ROUTE 1
#define LIMIT_MAX 40
#define WORK_US (50 * MS)

/* An instance: calls take `slower` times as long for each part of the slots
 * taken beyond `knee`. */
typedef struct instance_model {
    double speed;
    double knee;
    double slower;
    double noise; /* time of work on its host changes between 1 and this */
    bool lies;    /* the host's figure is always 100 */
} instance_model;

typedef struct capacity_case {
    const char *name;
    instance_model model;
    int limit_min; /* mean, with the moments in which less is tried */
    int limit_max;
} capacity_case;

static const capacity_case capacity_cases[] = {
    {"takes all slots well", {1, 1, 0, 1, false}, 38, 40},
    {"slow, but takes all slots well", {0.5, 1, 0, 1, false}, 38, 40},
    {"a noisy host", {1, 1, 0, 2.5, false}, 38, 40},
    {"a noisy host of which nothing is told", {1, 1, 0, 2.5, true}, 36, 40},
    {"slow beyond half of the slots", {1, 0.5, 6, 1, false}, 16, 24},
    {"the same, on a noisy host", {1, 0.5, 6, 2.5, false}, 16, 24},
    {"slow beyond 0.8 of the slots", {1, 0.8, 10, 1, false}, 28, 36},
};

/* Pseudo-random number from 0 to 1; advances `state`. */
static double
draw(uint32_t *state)
{
    *state = *state * 1664525 + 1013904223;
    return (double)(*state >> 8) / (1 << 24);
}

/* Plays `seconds` of full load and returns the mean limit of the last half. */
static double
play(instance_capacity *capacity, const instance_model *model, int64_t from_us,
     double seconds)
{
    uint32_t state = 7;
    double sum = 0;
    int count = 0;
    int64_t end_us = from_us + (int64_t)(seconds * CLOCK_US_PER_S);
    for (int64_t now_us = from_us; now_us < end_us;) {
        int limit = instance_capacity_limit(capacity, LIMIT_MAX);
        /* The host changes ten times a second. */
        double host = (now_us / (100 * MS)) % 2 == 0 ? 1 : model->noise;
        double share = (double)limit / LIMIT_MAX;
        double time_us = (double)WORK_US / model->speed * host *
                         (1 + fmax(0, share - model->knee) * model->slower) *
                         (0.5 + draw(&state));
        instance_capacity_set_host(capacity,
                                   model->lies ? 100 : (int)(host * 100));
        instance_capacity_call call = {ROUTE, limit,
                                       model->lies ? 100 : (int)(host * 100),
                                       (int64_t)time_us, false};
        instance_capacity_add(capacity, &call, LIMIT_MAX, now_us);
        now_us += (int64_t)(time_us / limit);
        if (now_us > (from_us + end_us) / 2) {
            sum += limit;
            count++;
        }
    }
    return sum / count;
}

Test(capacity, the_limit_is_what_an_instance_takes_well)
{
    for (size_t i = 0; i < COUNT(capacity_cases); i++) {
        const capacity_case *c = &capacity_cases[i];
        instance_capacity capacity = {0};
        double limit = play(&capacity, &c->model, CLOCK_US_PER_S, 20);
        fprintf(stderr, "%s: limit %.1f of %d\n", c->name, limit, LIMIT_MAX);
        cr_expect(limit >= c->limit_min && limit <= c->limit_max, "%s: %.1f",
                  c->name, limit);
    }
}

/* Slow beyond half of the slots, then recovered, then slow again. */
Test(capacity, the_limit_follows_changes)
{
    static const instance_model well = {1, 1, 0, 1, false};
    static const instance_model slow = {1, 0.5, 6, 1, false};
    instance_capacity capacity = {0};
    play(&capacity, &well, CLOCK_US_PER_S, 10);
    cr_expect_geq(instance_capacity_limit(&capacity, LIMIT_MAX),
                  LIMIT_MAX * 9 / 10);
    double limit = play(&capacity, &slow, 11 * CLOCK_US_PER_S, 4);
    cr_expect_leq(limit, 28, "%.1f", limit);
    play(&capacity, &well, 15 * CLOCK_US_PER_S, 8);
    cr_expect_geq(instance_capacity_limit(&capacity, LIMIT_MAX),
                  LIMIT_MAX * 9 / 10);
}

Test(capacity, nothing_is_found_out_without_the_figure_of_the_host)
{
    instance_capacity capacity = {0};
    instance_capacity_call call = {ROUTE, 40, 0, 900 * MS, false};
    for (int i = 0; i < 1000; i++) {
        call.running = 1 + i % 40;
        call.took_us = call.running * 100 * MS;
        instance_capacity_add(&capacity, &call, LIMIT_MAX, i * 10 * MS);
    }
    cr_expect_eq(instance_capacity_limit(&capacity, LIMIT_MAX), LIMIT_MAX);
    cr_expect_eq(instance_capacity_call_us(&capacity, 10000 * MS), 0);
}

/* The time of runs that make calls tells about other instances: it counts in
 * the call time, not in the limit. */
Test(capacity, runs_that_make_calls_do_not_lower_the_limit)
{
    instance_capacity capacity = {0};
    instance_capacity_set_host(&capacity, 100);
    for (int i = 0; i < 1000; i++) {
        int running = 1 + i % 40;
        instance_capacity_call call = {ROUTE, running, 100, running * 100 * MS,
                                       true};
        instance_capacity_add(&capacity, &call, LIMIT_MAX, i * 10 * MS);
    }
    cr_expect_eq(instance_capacity_limit(&capacity, LIMIT_MAX), LIMIT_MAX);
    cr_expect_gt(instance_capacity_call_us(&capacity, 10000 * MS), 0);
}

/* The call time doesn't depend on how many calls of each route come. */
Test(capacity, the_call_time_is_a_mean_over_the_routes)
{
    instance_capacity capacity = {0};
    instance_capacity_set_host(&capacity, 100);
    for (int i = 0; i < 400; i++) {
        uint32_t route = i % 20 == 0 ? 1 : 2;
        instance_capacity_call call = {route, 1, 100,
                                       route == 1 ? 600 * MS : 40 * MS, false};
        instance_capacity_add(&capacity, &call, LIMIT_MAX, i * MS);
    }
    cr_expect_eq(instance_capacity_call_us(&capacity, 400 * MS), 320 * MS);
}
