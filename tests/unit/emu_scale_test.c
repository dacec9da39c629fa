/* Emulated bursts on fleets of different sizes.  In the large one, each of 196
 * nodes sees a few requests a second, and all of them depend on the eleven
 * instances of the deepest service. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "emu.h"
#include "lav/clock.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL

/* Success ratio from two seconds after a burst. */
#define RECOVERY_MIN 0.98

/* Share of what is served at the lower load that a higher one must reach: one
 * day differs from the next by some hundredths. */
#define GOODPUT_MIN 0.95

/* Success ratio of the least important kind of request, as a share of that of
 * all: it must not starve. */
#define STARVED_MAX 0.25

enum {
    SHOP,
    ORDERS,
    FILES,
    LEDGER
};
enum {
    BROWSE,
    ORDER,
    DOWNLOAD,
    CREDIT,
    ORDER_READ,
    FILE_READ,
    LEDGER_READ
};

/* An order makes 8 calls to the ledger, a browse request 4, one after the
 * other; rates and instances are divided by the size of the case. */
static const emu_service large_services[] = {
    {99, 24, {0.6, 1, 1.4}},
    {60, 24, {0.7, 0.7, 1.6}},
    {26, 48, {0.6, 1, 1.4}},
    {11, 26, {0.7, 0.7, 1.6}},
};
static const emu_service small_services[] = {
    {24, 24, {0.6, 1, 1.4}},
    {15, 24, {0.7, 0.7, 1.6}},
    {6, 48, {0.6, 1, 1.4}},
    {3, 26, {0.7, 0.7, 1.6}},
};
static const emu_kind kinds[] = {
    {SHOP,
     712,
     170 * MS,
     1500 * MS,
     1000 * MS,
     2,
     {{ORDER_READ, 1}},
     1,
     5000 * MS},
    {ORDERS,
     230,
     220 * MS,
     1500 * MS,
     1200 * MS,
     0,
     {{FILE_READ, 2}},
     1,
     5000 * MS},
    {FILES, 184, 120 * MS, 500 * MS, 1000 * MS, 0, {{0, 0}}, 1, 2000 * MS},
    {LEDGER, 63, 130 * MS, 400 * MS, 800 * MS, 2, {{0, 0}}, 1, 1500 * MS},
    {ORDERS, 0, 15 * MS, 1000 * MS, 2500 * MS, 1, {{FILE_READ, 1}}, 0, 0},
    {FILES, 0, 15 * MS, 800 * MS, 2000 * MS, 1, {{LEDGER_READ, 4}}, 0, 0},
    {LEDGER, 0, 42 * MS, 300 * MS, 700 * MS, 1, {{0, 0}}, 0, 0},
};

typedef struct fleet_case {
    const char *name;
    const emu_service *services;
    double size;           /* factor on the rates */
    double begun_lost_max; /* of those begun in a burst of 1.7, share that may
                            * fail */
} fleet_case;

static const fleet_case fleet_cases[] = {
    {"196 nodes", large_services, 1, 0.05},
    {"48 nodes", small_services, 3.0 / 11, 0.05},
};

/* Plays a burst of ten seconds, which begins four seconds after the traffic,
 * and two seconds and more of calm after it. */
static emu_result
play_burst(const fleet_case *c, double load)
{
    emu_result result;
    emu_kind scaled[COUNT(kinds)];
    memcpy(scaled, kinds, sizeof(kinds));
    for (size_t i = 0; i < COUNT(kinds); i++) {
        scaled[i].per_s *= c->size;
    }
    emu_options opts = {.services = c->services,
                        .service_count = COUNT(large_services),
                        .kinds = scaled,
                        .kind_count = COUNT(kinds),
                        .disruption = {4, 10, load, EMU_NONE, 0, 0, 0, 0},
                        .seconds = 19,
                        .zones = 5,
                        .seed = 7,
                        .load_shedding = true};
    cr_assert_eq(emu_run(&result, &opts), 0);
    return result;
}

/* Sums the tallies of all kinds. */
static emu_tally
sum_kinds(const emu_tally *tallies)
{
    emu_tally sum = {0};
    for (int i = 0; i <= CREDIT; i++) {
        sum.asked += tallies[i].asked;
        sum.good += tallies[i].good;
        sum.refused += tallies[i].refused;
        sum.failed += tallies[i].failed;
    }
    return sum;
}

static double
begun_lost(const emu_tally *tally)
{
    return (double)tally->failed / (tally->asked - tally->refused);
}

Test(emu_scale, bursts_on_fleets_of_different_sizes)
{
    for (size_t i = 0; i < COUNT(fleet_cases); i++) {
        const fleet_case *c = &fleet_cases[i];
        emu_result usual = play_burst(c, 1);
        emu_result burst = play_burst(c, 1.7);
        emu_result heavy = play_burst(c, 3);
        emu_tally in_burst = sum_kinds(burst.during);
        emu_tally in_heavy = sum_kinds(heavy.during);
        double all = emu_success_ratio(burst.during, CREDIT + 1);
        fprintf(stderr,
                "%s: served of %d at 1.7: %d, of %d at 3: %d; begun and lost "
                "%.3f, %.3f; orders %.3f, %.3f; after %.3f, %.3f\n",
                c->name, in_burst.asked, in_burst.good, in_heavy.asked,
                in_heavy.good, begun_lost(&in_burst), begun_lost(&in_heavy),
                emu_success_ratio(&burst.during[ORDER], 1),
                emu_success_ratio(&heavy.during[ORDER], 1),
                emu_success_ratio(burst.after, CREDIT + 1),
                emu_success_ratio(heavy.after, CREDIT + 1));
        cr_expect_eq(sum_kinds(usual.during).refused, 0, "%s", c->name);
        cr_expect_leq(begun_lost(&in_burst), c->begun_lost_max, "%s", c->name);
        cr_expect_geq(in_heavy.good, in_burst.good * GOODPUT_MIN, "%s",
                      c->name);
        cr_expect_geq(emu_success_ratio(burst.after, CREDIT + 1), RECOVERY_MIN,
                      "%s", c->name);
        cr_expect_geq(emu_success_ratio(heavy.after, CREDIT + 1), RECOVERY_MIN,
                      "%s", c->name);
        for (int kind = BROWSE; kind <= CREDIT; kind++) {
            cr_expect_geq(emu_success_ratio(&burst.during[kind], 1),
                          all * STARVED_MAX, "%s: kind %d", c->name, kind);
        }
    }
}
