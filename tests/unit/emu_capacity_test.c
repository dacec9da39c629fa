/* Emulated bursts at services whose targets differ in speed, slow down as they
 * fill and share hosts with others; their nodes find out what they take well,
 * or don't. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "emu.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL
#define RUNS 4 /* seeds per case */

/* Success ratio from two seconds after the burst. */
#define RECOVERY_MIN 0.95

enum {
    FRONT,
    DEEP
};
enum {
    PAGE,
    READ,
    SHORT_READ
};

static const emu_service services[] = {
    {7, 75, {0.6, 1, 1.4}},
    {6, 40, {0.5, 1, 1.6}},
};
static const emu_kind kinds[] = {
    {FRONT, 200, 170 * MS, 1500 * MS, 5000 * MS, 0, {{SHORT_READ, 4}}, 0, 0},
    {DEEP, 100, 100 * MS, 400 * MS, 1500 * MS, 1, {{0, 0}}, 0, 0},
    {DEEP, 0, 45 * MS, 300 * MS, 700 * MS, 1, {{0, 0}}, 0, 0},
};

typedef struct capacity_case {
    const char *name;
    double load;
    emu_hosts hosts;
    double gain_min; /* requests in time, more than without, of all */
} capacity_case;

static const capacity_case capacity_cases[] = {
    {"usual load", 1, {DEEP, 1, 0, 1, true}, -0.005},
    {"burst", 3, {DEEP, 0.95, 6, 1, true}, -0.02},
    {"burst, noisy hosts", 3, {DEEP, 0.95, 6, 2.5, true}, -0.02},
    {"burst, targets slow beyond half", 3, {DEEP, 0.5, 8, 1, true}, 0.05},
    {"the same, noisy hosts", 2.5, {DEEP, 0.5, 8, 2.5, true}, 0.02},
};

/* Adds up the outcomes of the runs of a case. */
static void
play(emu_tally *during, emu_tally *after, const capacity_case *c, bool told)
{
    for (uint64_t seed = 1; seed <= RUNS; seed++) {
        emu_result result;
        emu_options opts = {.services = services,
                            .service_count = COUNT(services),
                            .kinds = kinds,
                            .kind_count = COUNT(kinds),
                            .disruption = {5, 10, c->load, EMU_NONE, 0, 0},
                            .hosts = c->hosts,
                            .seconds = 25,
                            .zones = 3,
                            .seed = seed,
                            .load_shedding = true};
        opts.hosts.told = told;
        cr_assert_eq(emu_run(&result, &opts), 0);
        for (int i = 0; i <= READ; i++) {
            during[i].asked += result.during[i].asked;
            during[i].good += result.during[i].good;
            during[i].failed += result.during[i].failed;
            after[i].asked += result.after[i].asked;
            after[i].good += result.after[i].good;
        }
    }
}

Test(emu_capacity, targets_get_what_they_take_well)
{
    for (size_t i = 0; i < COUNT(capacity_cases); i++) {
        const capacity_case *c = &capacity_cases[i];
        emu_tally with[COUNT(kinds)] = {{0}};
        emu_tally without[COUNT(kinds)] = {{0}};
        emu_tally after[COUNT(kinds)] = {{0}};
        emu_tally after_without[COUNT(kinds)] = {{0}};
        play(with, after, c, true);
        play(without, after_without, c, false);
        double ratio = emu_success_ratio(with, READ + 1);
        double ratio_without = emu_success_ratio(without, READ + 1);
        for (int k = 0; k <= READ; k++) {
            fprintf(stderr,
                    "%s, kind %d: good %.3f (without %.3f), failed %d (%d) "
                    "of %d\n",
                    c->name, k, emu_success_ratio(&with[k], 1),
                    emu_success_ratio(&without[k], 1), with[k].failed,
                    without[k].failed, with[k].asked);
        }
        cr_expect_geq(ratio, ratio_without + c->gain_min, "%s: %.3f, %.3f",
                      c->name, ratio, ratio_without);
        cr_expect_geq(emu_success_ratio(after, READ + 1), RECOVERY_MIN, "%s",
                      c->name);
    }
}
