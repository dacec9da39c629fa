/* Small decisions, as tables of cases. */
#include <criterion/criterion.h>
#include <string.h>

#include "lav/clk.h"
#include "lav/id.h"
#include "lav/lvl.h"
#include "lav/ring.h"
#include "lav/rte.h"
#include "lav/rty.h"
#include "lav/sen.h"

typedef struct id_case {
    const char *text;
    bool valid;
    int64_t time_ms;
} id_case;

static const id_case id_cases[] = {
    {"18f-abcdefgh", true, 0x18f},
    {"0-00000000", true, 0},
    {"", false, 0},
    {"18f", false, 0},
    {"18f-", false, 0},
    {"18f-short", false, 0},
    {"18F-abcdefgh", false, 0},
    {"-abcdefgh", false, 0},
    {"18f-abcd efgh", false, 0},
    {"18f-abcdefgh;x", false, 0},
    {"1234567890abc-abcdefgh", false, 0},
    {"18f-0123456789012345678901234567890123", false, 0},
};

Test(core, ids)
{
    for (size_t i = 0; i < sizeof(id_cases) / sizeof(id_cases[0]); i++) {
        id parsed;
        int result = id_parse(&parsed, id_cases[i].text);
        cr_expect_eq(result == 0, id_cases[i].valid, "case %zu", i);
        if (id_cases[i].valid) {
            cr_expect_eq(parsed.time_ms, id_cases[i].time_ms);
        }
    }
}

Test(core, derived_ids_are_stable_and_apart)
{
    id root;
    id x;
    id y;
    id_mint(&root, 12345);
    id_derive(&x, &root, "royalty.pay", "");
    id_derive(&y, &root, "royalty.pay", "");
    cr_expect_str_eq(x.text, y.text);
    cr_expect_eq(x.time_ms, 12345);
    id_derive(&y, &root, "royalty.pay", "second poet");
    cr_expect_str_neq(x.text, y.text);
    id_derive(&y, &root, "print.submit", "");
    cr_expect_str_neq(x.text, y.text);
    cr_expect_eq(id_parse(&y, x.text), 0);
}

Test(core, the_clock_can_be_paused)
{
    clk_pause(1000, 5);
    cr_expect_eq(clk_now_us(), 1000);
    clk_advance_us(2500);
    cr_expect_eq(clk_now_us(), 3500);
    cr_expect_eq(clk_wall_ms(), 7);
    clk_resume();
    cr_expect_gt(clk_wall_ms(), 1000000);
}

Test(core, a_full_ring_refuses)
{
    ring *r = NULL;
    int item = 1;
    cr_assert_eq(ring_new(&r, sizeof(int), 2), 0);
    cr_expect_eq(ring_push(r, &item), 0);
    item = 2;
    cr_expect_eq(ring_push(r, &item), 0);
    item = 3;
    cr_expect_eq(ring_push(r, &item), ERR_FULL);
    cr_expect(ring_pop(&item, r, 0));
    cr_expect_eq(item, 1);
    cr_expect(ring_pop(&item, r, 0));
    cr_expect_eq(item, 2);
    cr_expect_not(ring_pop(&item, r, 1000));
    ring_close(r);
    cr_expect_eq(ring_push(r, &item), ERR_FULL);
    ring_free(r);
}

typedef struct level_case {
    int64_t after_us;
    int level;
} level_case;

/* A level of 96 is held, then rises to everything within a second more. */
static const level_case level_cases[] = {
    {0, 96},
    {LVL_HOLD_US, 96},
    {LVL_HOLD_US + LVL_RECOVER_US / 4, 96 + ADM_LEVEL_MAX / 4},
    {LVL_HOLD_US + LVL_RECOVER_US, ADM_LEVEL_MAX},
};

Test(core, levels_decay)
{
    lvl *levels = NULL;
    cr_assert_eq(lvl_new(&levels, 4), 0);
    cr_expect_eq(lvl_instance(levels, "a.x", 7, 0), ADM_LEVEL_MAX);
    lvl_note(levels, "a.x", 7, 96, 0);
    size_t count = sizeof(level_cases) / sizeof(level_cases[0]);
    for (size_t i = 0; i < count; i++) {
        cr_expect_eq(lvl_instance(levels, "a.x", 7, level_cases[i].after_us),
                     level_cases[i].level, "case %zu", i);
    }
    cr_expect_eq(lvl_instance(levels, "a.y", 7, 0), ADM_LEVEL_MAX);
    lvl_forget_instance(levels, 7);
    cr_expect_eq(lvl_instance(levels, "a.x", 7, 0), ADM_LEVEL_MAX);
    lvl_free(levels);
}

typedef struct route_case {
    rte_candidate candidates[3];
    size_t count;
    int priority;
    int picked;
    bool refused_early;
} route_case;

#define MAX ADM_LEVEL_MAX

static const route_case route_cases[] = {
    {{{0}}, 0, 0, RTE_NONE, false},
    {{{1, true, true, MAX, 0, 0}}, 1, 0, 0, false},
    {{{1, false, true, MAX, 0, 0}}, 1, 0, RTE_NONE, false},
    {{{1, true, true, 10, 0, 0}}, 1, 10, RTE_NONE, true},
    {{{1, true, true, 10, 0, 0}, {2, true, true, 200, 0, 0}},
     2,
     100,
     1,
     false},
    {{{1, true, true, MAX, 0, 900}, {2, true, false, MAX, 0, 100}},
     2,
     0,
     1,
     false},
    {{{1, true, true, MAX, 0, 100}, {2, true, false, MAX, 0, 100}},
     2,
     0,
     0,
     false},
    {{{1, true, true, MAX, 9, 0}, {2, true, true, MAX, 0, 0}}, 2, 0, 1, false},
};

Test(core, routes)
{
    size_t count = sizeof(route_cases) / sizeof(route_cases[0]);
    for (size_t i = 0; i < count; i++) {
        const route_case *c = &route_cases[i];
        for (uint64_t random = 0; random < 5; random++) {
            cr_expect_eq(rte_pick(c->candidates, c->count, c->priority,
                                  random | (random + 1) << 32),
                         c->picked, "case %zu", i);
        }
        cr_expect_eq(rte_refused_early(c->candidates, c->count, c->priority),
                     c->refused_early, "case %zu", i);
    }
}

typedef struct retry_case {
    rty_case given;
    enum rty_action action;
} retry_case;

#define PLENTY 1000000

static const retry_case retry_cases[] = {
    {{RTY_NOT_SENT, REASON_NONE, true, 0, 0, PLENTY}, RTY_REROUTE},
    {{RTY_NOT_SENT, REASON_NONE, true, 0, RTY_REROUTES_MAX, PLENTY}, RTY_STOP},
    {{RTY_REFUSED, REASON_DRAINING, true, 0, 0, PLENTY}, RTY_REROUTE},
    {{RTY_REFUSED, REASON_DRAINING, false, 0, 0, PLENTY}, RTY_REROUTE},
    {{RTY_REFUSED, REASON_WRONG_OWNER, false, 0, 0, PLENTY}, RTY_OWNER},
    {{RTY_REFUSED, REASON_QUEUE_FULL, true, 1, 0, PLENTY}, RTY_SPEND},
    {{RTY_REFUSED, REASON_QUEUE_FULL, true, 0, 0, PLENTY}, RTY_STOP},
    {{RTY_REFUSED, REASON_QUEUE_FULL, false, 1, 0, PLENTY}, RTY_STOP},
    {{RTY_REFUSED, REASON_DEADLINE, true, 1, 0, PLENTY}, RTY_STOP},
    {{RTY_LOST, REASON_REPLY_LOST, true, 1, 0, PLENTY}, RTY_SPEND},
    {{RTY_LOST, REASON_REPLY_LOST, true, 1, 0, 10}, RTY_STOP},
    {{RTY_LOST, REASON_REPLY_LOST, false, 1, 0, PLENTY}, RTY_ASK},
    {{RTY_LOST, REASON_REPLY_LOST, false, 0, 0, PLENTY}, RTY_STOP},
    {{RTY_LOST, REASON_ALREADY_RAN, false, 1, 0, PLENTY}, RTY_STOP},
    {{RTY_LOST, REASON_REPLY_TRUNCATED, false, 1, 0, PLENTY}, RTY_STOP},
};

Test(core, retries)
{
    size_t count = sizeof(retry_cases) / sizeof(retry_cases[0]);
    for (size_t i = 0; i < count; i++) {
        cr_expect_eq(rty_decide(&retry_cases[i].given), retry_cases[i].action,
                     "case %zu", i);
    }
}

Test(core, repeated_requests_are_remembered)
{
    sen *seen = NULL;
    cr_assert_eq(sen_new(&seen, 2), 0);
    sen_seen now = sen_arrive(seen, "1-a", 2, 0);
    cr_expect(now.attempts == 1 && now.budget == 2 && now.none_ran);
    now = sen_arrive(seen, "1-a", 2, 1); /* while the first is under way */
    cr_expect(now.attempts == 2 && now.budget < 0 && !now.none_ran);
    sen_answered(seen, "1-a", 0, true);
    sen_answered(seen, "1-a", 2, true);
    now = sen_arrive(seen, "1-a", 2, 2);
    cr_expect(now.attempts == 3 && now.budget == 1 && now.none_ran);
    sen_answered(seen, "1-a", 1, false);
    now = sen_arrive(seen, "1-a", 2, 3);
    cr_expect(now.attempts == 4 && now.budget == 0 && !now.none_ran);
    now = sen_arrive(seen, "1-a", 2, 4 + SEN_KEEP_US);
    cr_expect(now.attempts == 1 && now.budget == 2, "it is forgotten");
    sen_free(seen);
}
