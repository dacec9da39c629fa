/* Emulated bursts at a deep service that takes short calls of begun requests
 * beside long external requests, with the queue for mixed work and without. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "emu.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL
#define RUNS 4 /* seeds per case */

/* Success ratio from two seconds after the burst. */
#define RECOVERY_MIN 0.95

/* Success ratio of the long requests during the burst, as a share of that of
 * all requests: they must not starve. */
#define LONG_SHARE_MIN 0.25

enum {
    FRONT,
    DEEP
};
enum {
    PAGE,
    LONG_READ,
    SHORT_READ
};

static const emu_service services[] = {
    {7, 75, {0.6, 1, 1.4}},
    {5, 40, {0.7, 1, 1.3}},
};

/* A page makes four short calls to the deep service, one after the other. */
static const emu_kind kinds[] = {
    {FRONT, 240, 170 * MS, 1500 * MS, 5000 * MS, 0, {{SHORT_READ, 4}}, 0, 0},
    {DEEP, 50, 650 * MS, 2000 * MS, 8000 * MS, 1, {{0, 0}}, 0, 0},
    {DEEP, 0, 45 * MS, 300 * MS, 700 * MS, 1, {{0, 0}}, 0, 0},
};

typedef struct mixed_case {
    const char *name;
    double load;
    double lost_max; /* pages that fail after they were begun, as a share of
                      * those without the queue for mixed work */
} mixed_case;

static const mixed_case mixed_cases[] = {
    {"usual load", 1, 1},
    {"burst of 2", 2, 0.7},
    {"burst of 3", 3, 0.7},
};

/* Adds up the outcomes of the runs of a case. */
static void
play(emu_tally *during, emu_tally *after, const mixed_case *c, bool mixed)
{
    for (uint64_t seed = 1; seed <= RUNS; seed++) {
        emu_result result;
        emu_options opts = {.services = services,
                            .service_count = COUNT(services),
                            .kinds = kinds,
                            .kind_count = COUNT(kinds),
                            .disruption = {5, 10, c->load, EMU_NONE, 0, 0},
                            .seconds = 25,
                            .zones = 3,
                            .seed = seed,
                            .mixed_queue = mixed,
                            .load_shedding = true};
        cr_assert_eq(emu_run(&result, &opts), 0);
        for (int i = 0; i <= LONG_READ; i++) {
            during[i].asked += result.during[i].asked;
            during[i].good += result.during[i].good;
            during[i].failed += result.during[i].failed;
            during[i].refused += result.during[i].refused;
            during[i].late += result.during[i].late;
            after[i].asked += result.after[i].asked;
            after[i].good += result.after[i].good;
        }
    }
}

Test(emu_mixed, short_calls_of_begun_requests_are_not_held_up)
{
    for (size_t i = 0; i < COUNT(mixed_cases); i++) {
        const mixed_case *c = &mixed_cases[i];
        emu_tally with[COUNT(kinds)] = {{0}};
        emu_tally without[COUNT(kinds)] = {{0}};
        emu_tally after[COUNT(kinds)] = {{0}};
        emu_tally after_without[COUNT(kinds)] = {{0}};
        play(with, after, c, true);
        play(without, after_without, c, false);
        for (int k = 0; k <= LONG_READ; k++) {
            fprintf(stderr,
                    "%s, kind %d: good %.3f (without %.3f), failed %d (%d), "
                    "refused %d (%d), late %d (%d) of %d\n",
                    c->name, k, emu_success_ratio(&with[k], 1),
                    emu_success_ratio(&without[k], 1), with[k].failed,
                    without[k].failed, with[k].refused, without[k].refused,
                    with[k].late, without[k].late, with[k].asked);
        }
        cr_expect_leq(with[PAGE].failed, without[PAGE].failed * c->lost_max,
                      "%s: %d, without %d", c->name, with[PAGE].failed,
                      without[PAGE].failed);
        cr_expect_geq(emu_success_ratio(&with[LONG_READ], 1),
                      emu_success_ratio(with, LONG_READ + 1) * LONG_SHARE_MIN,
                      "%s", c->name);
        cr_expect_geq(emu_success_ratio(with, LONG_READ + 1),
                      emu_success_ratio(without, LONG_READ + 1), "%s",
                      c->name);
        cr_expect_geq(emu_success_ratio(after, LONG_READ + 1), RECOVERY_MIN,
                      "%s", c->name);
    }
}
