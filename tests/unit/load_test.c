/* Load of targets: their reports and what is derived from them (calls of an
 * earlier start that still run, and Retry-After), and what counts as
 * overload. */
#include <criterion/criterion.h>

#include "lav/retry_after.h"
#include "lav/orphan_calls.h"
#include "lav/overload.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

typedef struct parse_case {
    const char *text;
    bool valid;
    orphan_calls_load load;
} parse_case;

static const parse_case parse_cases[] = {
    {"3,0,8", true, {3, 0, 8, 0}},
    {"0,0,0", true, {0, 0, 0, 0}},
    {"254,1000000,254", true, {254, 1000000, 254, 0}},
    {"3, 0, 8", true, {3, 0, 8, 0}},
    {"", false, {0, 0, 0, 0}},
    {"3,0", false, {0, 0, 0, 0}},
    {"3,0,8,250", true, {3, 0, 8, 250}},
    {"3,0,8,0", false, {0, 0, 0, 0}},
    {"3,0,8,-1", false, {0, 0, 0, 0}},
    {"3,0,8,", false, {0, 0, 0, 0}},
    {"3,0,8,x", false, {0, 0, 0, 0}},
    {"3,0,8,1000001", false, {0, 0, 0, 0}},
    {"3,0,8,100,1", false, {0, 0, 0, 0}},
    {"3,0,8x", false, {0, 0, 0, 0}},
    {"-1,0,8", false, {0, 0, 0, 0}},
    {"3,-1,8", false, {0, 0, 0, 0}},
    {"3,0,1000001", false, {0, 0, 0, 0}},
    {"99999999999999999999,0,8", false, {0, 0, 0, 0}},
    {"a,b,c", false, {0, 0, 0, 0}},
};

Test(load, reports_are_parsed)
{
    for (size_t i = 0; i < COUNT(parse_cases); i++) {
        const parse_case *c = &parse_cases[i];
        orphan_calls_load load = {7, 7, 7, 7};
        cr_assert_eq(orphan_calls_load_parse(&load, c->text), c->valid, "%s",
                     c->text);
        if (!c->valid) {
            cr_expect(load.running == 7 && load.waiting == 7);
            continue;
        }
        cr_expect_eq(load.running, c->load.running, "%s", c->text);
        cr_expect_eq(load.waiting, c->load.waiting, "%s", c->text);
        cr_expect_eq(load.slots, c->load.slots, "%s", c->text);
        cr_expect_eq(load.host_percent, c->load.host_percent, "%s", c->text);
    }
}

typedef struct report_case {
    orphan_calls_load load;
    int own;
    bool changed;
    int calls; /* of the earlier start, after the report */
} report_case;

/* Successive reports after a start at which 5 calls ran and 1 waited. */
static const report_case report_cases[] = {
    {{6, 1, 8, 0}, 1, false, 6}, /* unchanged, plus one of this start */
    {{8, 3, 8, 0}, 2, false, 6}, /* more than possible: not raised */
    {{4, 0, 8, 0}, 1, true, 3},  /* some have ended */
    {{4, 0, 8, 0}, 1, false, 3}, /* the same report */
    {{2, 0, 8, 0},
     5,
     true,
     0}, /* calls of this start account for the rest: none left */
    {{9, 0, 8, 0}, 1, false, 0}, /* stays at 0 */
};

Test(load, earlier_calls_end)
{
    orphan_calls r = {0};
    orphan_calls_load at_start = {5, 1, 8, 0};
    orphan_calls_init(&r, &at_start);
    cr_expect_eq(orphan_calls_count(&r), 6);
    for (size_t i = 0; i < COUNT(report_cases); i++) {
        const report_case *c = &report_cases[i];
        cr_expect_eq(orphan_calls_update(&r, &c->load, c->own), c->changed,
                     "%zu", i);
        cr_expect_eq(orphan_calls_count(&r), c->calls, "%zu", i);
    }
}

typedef struct retry_after_case {
    double call_us;
    int waiting;
    int limit;
    int64_t after_us;
} retry_after_case;

static const retry_after_case retry_after_cases[] = {
    {200000, 0, 10, 200000},
    {200000, 10, 10, 400000},
    {200000, 5, 10, 300000},
    {200000, 100, 0, 200000},
    {1000, 10, 10, RETRY_AFTER_MIN_US},
    {0, 0, 0, RETRY_AFTER_MIN_US},
};

Test(load, retry_after_follows_the_queue)
{
    for (size_t i = 0; i < COUNT(retry_after_cases); i++) {
        const retry_after_case *c = &retry_after_cases[i];
        cr_expect_eq(
            retry_after_queue_full_us(c->call_us, c->waiting, c->limit),
            c->after_us, "%zu", i);
    }
    cr_expect_eq(retry_after_shed_us(1000000, 1, 0), 250000);
    cr_expect_eq(retry_after_shed_us(1000000, 1, 250000), 500000);
    cr_expect_eq(retry_after_shed_us(1000000, 1, 250001), 250000);
    cr_expect_eq(retry_after_shed_us(1000000, 0.2, 0), 250000);
    cr_expect_eq(retry_after_shed_us(1000000, 0.1, 0), 500000);
    cr_expect_eq(retry_after_shed_us(1000000, 0.1, 500000), 1000000);
    cr_expect_eq(retry_after_shed_us(1000000, 0, 0), 1000000);
    cr_expect_eq(retry_after_shed_us(0, 0.1, 17), 0);
}

typedef struct expired_case {
    enum reason reason;
    int lost;
} expired_case;

static const expired_case expired_cases[] = {
    {REASON_QUEUE_TIMEOUT, 1},
    {REASON_DEADLINE, 1},
    {REASON_DRAINING, 0},
};

Test(overload, requests_that_a_leaving_target_cannot_get_are_no_sign_of_it)
{
    for (size_t i = 0; i < COUNT(expired_cases); i++) {
        const expired_case *c = &expired_cases[i];
        overload_meter meter = {0};
        overload_count_expired(&meter, c->reason);
        cr_expect_eq((int)meter.lost, c->lost, "%s", reason_name(c->reason));
    }
}
