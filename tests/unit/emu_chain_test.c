/* Emulated seconds in which the deepest service refuses half of all calls, with
 * free slots.  Orders and pages make eight and four calls there; it serves long
 * requests of its own as well. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "emu.h"
#include "lav/clock.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL
#define RUNS 3

/* Share of the begun orders that may fail while calls are refused. */
#define BEGUN_LOST_MAX 0.7

/* Least ratio by which more orders are served. */
#define ORDERS_MORE 2

/* Requests of the deepest service itself, and files, of which none calls it,
 * are served nearly as well as without the level of the chains. */
#define OTHERS_MIN 0.95

enum {
    SHOP,
    ORDERS,
    FILES,
    LEDGER
};
enum {
    PAGE,
    ORDER,
    FILE_WRITE,
    HISTORY,
    ORDER_READ,
    FILE_READ,
    LEDGER_READ
};

static const emu_service services[] = {
    {14, 75, {0.55, 1.2, 1.2, 1.2}},
    {10, 105, {0.5, 1, 1, 1.5}},
    {6, 190, {0.7, 0.7, 1.6}},
    {9, 44, {0.7, 0.7, 1.6}},
};
static const emu_kind kinds[] = {
    {SHOP,
     480,
     170 * MS,
     1500 * MS,
     1200 * MS,
     2,
     {{ORDER_READ, 1}},
     1,
     5000 * MS},
    {ORDERS,
     200,
     210 * MS,
     1500 * MS,
     1500 * MS,
     0,
     {{FILE_READ, 2}},
     1,
     5000 * MS},
    {FILES, 190, 120 * MS, 400 * MS, 800 * MS, 0, {{0, 0}}, 1, 1500 * MS},
    {LEDGER, 85, 660 * MS, 2000 * MS, 4000 * MS, 2, {{0, 0}}, 1, 8000 * MS},
    {ORDERS, 0, 15 * MS, 1000 * MS, 2500 * MS, 1, {{FILE_READ, 1}}, 0, 0},
    {FILES, 0, 15 * MS, 800 * MS, 2000 * MS, 1, {{LEDGER_READ, 4}}, 0, 0},
    {LEDGER, 0, 49 * MS, 300 * MS, 700 * MS, 1, {{0, 0}}, 0, 0},
};

static emu_result
play(bool whole, uint64_t seed)
{
    emu_result result;
    emu_options opts = {.services = services,
                        .service_count = COUNT(services),
                        .kinds = kinds,
                        .kind_count = COUNT(kinds),
                        .disruption = {.from_s = 8,
                                       .duration_s = 8,
                                       .slow_service = EMU_NONE,
                                       .refusing_service = LEDGER,
                                       .refused = 0.55},
                        .seconds = 22,
                        .zones = 3,
                        .seed = seed,
                        .load_shedding = true,
                        .whole = whole,
                        .retry_ratio = 0.2};
    cr_assert_eq(emu_run(&result, &opts), 0);
    return result;
}

static double
begun_lost(const emu_tally *tally)
{
    int begun = tally->asked - tally->refused;
    return begun > 0 ? (double)tally->failed / begun : 0;
}

/* Begun orders aren't lost, more orders are served than without the level of
 * the chains, and no less well than pages; others don't pay for it. */
Test(emu_chain, a_deep_service_refuses_half_of_all_calls)
{
    for (uint64_t seed = 1; seed <= RUNS; seed++) {
        emu_result off = play(false, seed);
        emu_result on = play(true, seed);
        const emu_tally *before = off.during;
        const emu_tally *now = on.during;
        for (int kind = PAGE; kind <= HISTORY; kind++) {
            fprintf(stderr,
                    "seed %d, kind %d of %d: served %d and %d, refused %d and "
                    "%d, begun and lost %.3f and %.3f; after %.3f, %.3f\n",
                    (int)seed, kind, now[kind].asked,
                    before[kind].good + before[kind].late,
                    now[kind].good + now[kind].late, before[kind].refused,
                    now[kind].refused, begun_lost(&before[kind]),
                    begun_lost(&now[kind]),
                    emu_success_ratio(&off.after[kind], 1),
                    emu_success_ratio(&on.after[kind], 1));
        }
        cr_expect_leq(begun_lost(&now[ORDER]), BEGUN_LOST_MAX);
        cr_expect_geq(now[ORDER].good + now[ORDER].late,
                      (before[ORDER].good + before[ORDER].late) * ORDERS_MORE);
        cr_expect_geq(emu_success_ratio(&now[ORDER], 1),
                      emu_success_ratio(&now[PAGE], 1));
        for (int kind = FILE_WRITE; kind <= HISTORY; kind++) {
            cr_expect_geq(emu_success_ratio(&now[kind], 1),
                          emu_success_ratio(&before[kind], 1) * OTHERS_MIN,
                          "kind %d", kind);
        }
        cr_expect_geq(emu_success_ratio(on.after, HISTORY + 1),
                      emu_success_ratio(off.after, HISTORY + 1) * OTHERS_MIN);
    }
}
