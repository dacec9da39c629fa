/* Tables of cases for small core modules: ids, clock, ring buffer, admission
 * levels, load balancing, retry decisions and repeated requests. */
#include <criterion/criterion.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/id.h"
#include "lav/admission_cache.h"
#include "lav/ring.h"
#include "lav/lb.h"
#include "lav/retry.h"
#include "lav/seen_request.h"

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

Test(core, derived_ids_are_stable_and_distinct)
{
    id root;
    id x;
    id y;
    id_generate(&root, 12345);
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
    clock_pause(1000, 5);
    cr_expect_eq(clock_now_us(), 1000);
    clock_advance_us(2500);
    cr_expect_eq(clock_now_us(), 3500);
    cr_expect_eq(clock_wall_ms(), 7);
    clock_resume();
    cr_expect_gt(clock_wall_ms(), 1000000);
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

/* A reported level of 96 is held for ADMISSION_CACHE_HOLD_US, then rises to
 * the maximum within ADMISSION_CACHE_RECOVERY_US. */
static const level_case level_cases[] = {
    {0, 96},
    {ADMISSION_CACHE_HOLD_US, 96},
    {ADMISSION_CACHE_HOLD_US + ADMISSION_CACHE_RECOVERY_US / 4,
     96 + ADMISSION_LEVEL_MAX / 4},
    {ADMISSION_CACHE_HOLD_US + ADMISSION_CACHE_RECOVERY_US,
     ADMISSION_LEVEL_MAX},
};

Test(core, levels_decay)
{
    admission_cache *levels = NULL;
    cr_assert_eq(admission_cache_new(&levels, 4), 0);
    cr_expect_eq(admission_cache_get(levels, "a.x", 7, 0),
                 ADMISSION_LEVEL_MAX);
    admission_cache_put(levels, "a.x", 7, 96, 0);
    size_t count = sizeof(level_cases) / sizeof(level_cases[0]);
    for (size_t i = 0; i < count; i++) {
        cr_expect_eq(
            admission_cache_get(levels, "a.x", 7, level_cases[i].after_us),
            level_cases[i].level, "case %zu", i);
    }
    cr_expect_eq(admission_cache_get(levels, "a.y", 7, 0),
                 ADMISSION_LEVEL_MAX);
    admission_cache_remove_instance(levels, 7);
    cr_expect_eq(admission_cache_get(levels, "a.x", 7, 0),
                 ADMISSION_LEVEL_MAX);
    admission_cache_free(levels);
}

typedef struct route_case {
    lb_candidate candidates[3];
    size_t count;
    int priority;
    int picked;
    bool all_refuse;
} route_case;

#define MAX ADMISSION_LEVEL_MAX

static const route_case route_cases[] = {
    {{{0}}, 0, 0, LB_NONE, false},
    {{{1, true, true, MAX, 0, 0, false}}, 1, 0, 0, false},
    {{{1, false, true, MAX, 0, 0, false}}, 1, 0, LB_NONE, false},
    {{{1, true, true, 10, 0, 0, false}}, 1, 10, LB_NONE, true},
    {{{1, true, true, 10, 0, 0, false}, {2, true, true, 200, 0, 0, false}},
     2,
     100,
     1,
     false},
    {{{1, true, true, MAX, 0, 900, false},
      {2, true, false, MAX, 0, 100, false}},
     2,
     0,
     1,
     false},
    {{{1, true, true, MAX, 0, 100, false},
      {2, true, false, MAX, 0, 100, false}},
     2,
     0,
     0,
     false},
    {{{1, true, true, MAX, 9, 0, false}, {2, true, true, MAX, 0, 0, false}},
     2,
     0,
     1,
     false},
};

Test(core, routes)
{
    size_t count = sizeof(route_cases) / sizeof(route_cases[0]);
    for (size_t i = 0; i < count; i++) {
        const route_case *c = &route_cases[i];
        for (uint64_t random = 0; random < 5; random++) {
            cr_expect_eq(lb_pick(c->candidates, c->count, c->priority,
                                 random | (random + 1) << 32),
                         c->picked, "case %zu", i);
        }
        cr_expect_eq(lb_all_refuse(c->candidates, c->count, c->priority),
                     c->all_refuse, "case %zu", i);
    }
}

typedef struct backoff_case {
    bool usable[3];
    bool backing_off[3];
    bool usable_after[3];
} backoff_case;

static const backoff_case backoff_cases[] = {
    {{true, false, false}, {false, true, true}, {true, false, false}},
    {{false, false, false}, {true, true, true}, {true, true, true}},
    {{false, false, false}, {false, true, false}, {false, true, false}},
    {{false, false, false}, {false, false, false}, {false, false, false}},
};

/* A call is not refused because all instances that it may go to back off. */
Test(core, backoffs_end_where_no_instance_is_left)
{
    for (size_t i = 0; i < sizeof(backoff_cases) / sizeof(backoff_cases[0]);
         i++) {
        const backoff_case *c = &backoff_cases[i];
        lb_candidate candidates[3] = {{0}};
        for (int k = 0; k < 3; k++) {
            candidates[k].usable = c->usable[k];
            candidates[k].backing_off = c->backing_off[k];
        }
        lb_end_backoffs(candidates, 3);
        for (int k = 0; k < 3; k++) {
            cr_expect_eq(candidates[k].usable, c->usable_after[k],
                         "case %zu, %d", i, k);
        }
    }
}

typedef struct connect_case {
    bool sole_instance;
    int64_t time_left_us;
    int64_t timeout_ms;
} connect_case;

static const connect_case connect_cases[] = {
    {false, 2000000, 60}, {true, 2000000, 250}, {true, 400000, 200},
    {true, 100000, 60},   {false, 100000, 60},
};

/* A call waits longer for a connection where no other instance may take it,
 * but leaves time for the call. */
Test(core, waits_for_connections)
{
    for (size_t i = 0; i < sizeof(connect_cases) / sizeof(connect_cases[0]);
         i++) {
        const connect_case *c = &connect_cases[i];
        cr_expect_eq(
            retry_connect_timeout_ms(c->sole_instance, c->time_left_us),
            c->timeout_ms, "case %zu", i);
    }
}

typedef struct retry_case {
    retry_failure given;
    enum retry_action action;
} retry_case;

#define TIME_LEFT_US 1000000

static const retry_case retry_cases[] = {
    {{RETRY_END_NOT_SENT, REASON_NONE, true, 0, 0, TIME_LEFT_US},
     RETRY_REROUTE},
    {{RETRY_END_NOT_SENT, REASON_NONE, true, 0, RETRY_REROUTES_MAX,
      TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_REFUSED, REASON_DRAINING, true, 0, 0, TIME_LEFT_US},
     RETRY_REROUTE},
    {{RETRY_END_REFUSED, REASON_DRAINING, false, 0, 0, TIME_LEFT_US},
     RETRY_REROUTE},
    {{RETRY_END_REFUSED, REASON_WRONG_OWNER, false, 0, 0, TIME_LEFT_US},
     RETRY_REDIRECT_OWNER},
    {{RETRY_END_REFUSED, REASON_QUEUE_FULL, true, 1, 0, TIME_LEFT_US},
     RETRY_RESEND},
    {{RETRY_END_REFUSED, REASON_QUEUE_FULL, true, 0, 0, TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_REFUSED, REASON_QUEUE_FULL, false, 1, 0, TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_REFUSED, REASON_DEADLINE, true, 1, 0, TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_UNKNOWN, REASON_REPLY_LOST, true, 1, 0, TIME_LEFT_US},
     RETRY_RESEND},
    {{RETRY_END_UNKNOWN, REASON_REPLY_LOST, true, 1, 0, 10}, RETRY_STOP},
    {{RETRY_END_UNKNOWN, REASON_REPLY_LOST, false, 1, 0, TIME_LEFT_US},
     RETRY_RESEND_TO_OWNER},
    {{RETRY_END_UNKNOWN, REASON_REPLY_LOST, false, 0, 0, TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_UNKNOWN, REASON_ALREADY_RAN, false, 1, 0, TIME_LEFT_US},
     RETRY_STOP},
    {{RETRY_END_UNKNOWN, REASON_REPLY_TRUNCATED, false, 1, 0, TIME_LEFT_US},
     RETRY_STOP},
};

Test(core, retries)
{
    size_t count = sizeof(retry_cases) / sizeof(retry_cases[0]);
    for (size_t i = 0; i < count; i++) {
        cr_expect_eq(retry_decide(&retry_cases[i].given),
                     retry_cases[i].action, "case %zu", i);
    }
}

Test(core, repeated_requests_are_remembered)
{
    seen_request_table *seen = NULL;
    cr_assert_eq(seen_request_new(&seen, 2), 0);
    seen_request_history now = seen_request_add(seen, "1-a", 2, 0);
    cr_expect(now.attempts == 1 && now.budget == 2 && now.none_ran);
    now = seen_request_add(seen, "1-a", 2,
                           1); /* while the first is in progress */
    cr_expect(now.attempts == 2 && now.budget < 0 && !now.none_ran);
    seen_request_finish(seen, "1-a", 0, true);
    seen_request_finish(seen, "1-a", 2, true);
    now = seen_request_add(seen, "1-a", 2, 2);
    cr_expect(now.attempts == 3 && now.budget == 1 && now.none_ran);
    seen_request_finish(seen, "1-a", 1, false);
    now = seen_request_add(seen, "1-a", 2, 3);
    cr_expect(now.attempts == 4 && now.budget == 0 && !now.none_ran);
    now = seen_request_add(seen, "1-a", 2, 4 + SEEN_REQUEST_TTL_US);
    cr_expect(now.attempts == 1 && now.budget == 2, "the entry has expired");
    seen_request_free(seen);
}
