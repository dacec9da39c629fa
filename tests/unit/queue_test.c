/* The queue of a target: expected work, the queue for mixed work, and the
 * switch between the two queues. */
#include <criterion/criterion.h>

#include "lav/mixed_queue.h"
#include "lav/target_queue.h"
#include "lav/work_time.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL
#define LONG 1 /* routes */
#define SHORT 2

Test(work_time, is_learnt_for_each_route)
{
    work_time_table table = {0};
    cr_assert_eq(work_time_expected_us(&table, LONG, 0), 0);
    for (int i = 0; i < 200; i++) {
        work_time_add(&table, LONG, 600 * MS, i * MS);
        work_time_add(&table, SHORT, 40 * MS, i * MS);
    }
    cr_assert_eq(work_time_expected_us(&table, LONG, 199 * MS), 600 * MS);
    cr_assert_eq(work_time_expected_us(&table, SHORT, 199 * MS), 40 * MS);
}

/* A call that was cut off counts only if it ran for longer than expected. */
Test(work_time, calls_that_are_cut_off_raise_it)
{
    work_time_table table = {0};
    work_time_add(&table, SHORT, 40 * MS, 0);
    work_time_add_cut(&table, SHORT, 10 * MS, 0);
    cr_assert_eq(work_time_expected_us(&table, SHORT, 0), 40 * MS);
    work_time_add_cut(&table, SHORT, 700 * MS, 0);
    cr_assert_gt(work_time_expected_us(&table, SHORT, 0), 40 * MS);
}

/* Without samples it halves, so that a target that was slow gets calls. */
Test(work_time, fades_without_samples)
{
    work_time_table table = {0};
    work_time_add(&table, SHORT, 800 * MS, 0);
    cr_assert_eq(work_time_expected_us(&table, SHORT, WORK_TIME_HALF_LIFE_US),
                 800 * MS);
    cr_assert_eq(
        work_time_expected_us(&table, SHORT, 3 * WORK_TIME_HALF_LIFE_US),
        200 * MS);
}

Test(work_time, the_route_without_samples_for_longest_is_replaced)
{
    work_time_table table = {0};
    for (uint32_t route = 1; route <= WORK_TIME_ROUTES_MAX + 1; route++) {
        work_time_add(&table, route, 50 * MS, route * MS);
    }
    int64_t now_us = (WORK_TIME_ROUTES_MAX + 1) * MS;
    cr_assert_eq(work_time_expected_us(&table, 1, now_us), 0);
    cr_assert_eq(work_time_expected_us(&table, 2, now_us), 50 * MS);
}

static mixed_queue_call
external(int handle, int64_t now_us)
{
    return (mixed_queue_call){handle,    MIXED_QUEUE_EXTERNAL, 0,     600 * MS,
                              2000 * MS, now_us + 8000 * MS,   now_us};
}

static mixed_queue_call
internal(int handle, int64_t now_us)
{
    return (mixed_queue_call){handle,   MIXED_QUEUE_INTERNAL, 0,     40 * MS,
                              300 * MS, now_us + 700 * MS,    now_us};
}

/* Offers `count` calls with handles from `first` on and returns how many of
 * them were dispatched. */
static int
offer(mixed_queue *queue, int first, int count, bool is_internal,
      int64_t now_us)
{
    int dispatched = 0;
    for (int i = first; i < first + count; i++) {
        mixed_queue_call call =
            is_internal ? internal(i, now_us) : external(i, now_us);
        dispatched += mixed_queue_decide(queue, &call, 0, now_us).decision ==
                      ADMISSION_DISPATCHED;
    }
    return dispatched;
}

typedef struct room_case {
    const char *name;
    int internal_per_s; /* for two seconds before; 25 keep a slot busy */
    int64_t quiet_us;   /* then none for this time */
    int external_min;   /* external requests that get a slot of 20 */
    int external_max;
} room_case;

static const room_case room_cases[] = {
    {"no internal calls", 0, 0, 20, 20},
    {"few", 50, 0, 16, 19},
    {"half of the slots", 250, 0, 9, 12},
    {"more than there are slots: the quarter", 2000, 0, 5, 5},
    {"given back when unused", 250, 6000 * MS, 20, 20},
};

Test(mixed_queue, external_requests_leave_room_for_internal_calls)
{
    for (size_t i = 0; i < COUNT(room_cases); i++) {
        const room_case *c = &room_cases[i];
        mixed_queue queue = {.limit = 20};
        int64_t now_us = 0;
        int calls = c->internal_per_s * 2;
        for (int k = 0; k < calls; k++) {
            now_us = k * 2000 * MS / calls;
            if (offer(&queue, k, 1, true, now_us) == 1) {
                mixed_queue_end_call(&queue, MIXED_QUEUE_INTERNAL);
            }
        }
        int got = offer(&queue, 10000, 30, false, now_us + c->quiet_us);
        cr_expect(got >= c->external_min && got <= c->external_max, "%s: %d",
                  c->name, got);
    }
}

/* All slots are taken by internal calls and both kinds wait: external requests
 * get free slots until they have a quarter, then internal calls do. */
Test(mixed_queue, external_requests_that_wait_get_a_quarter)
{
    mixed_queue queue = {.limit = 20};
    cr_assert_eq(offer(&queue, 0, 20, true, 0), 20);
    offer(&queue, 100, 20, true, 0);
    offer(&queue, 200, 20, false, 0);
    int handle = 0;
    for (int i = 0; i < 20; i++) {
        mixed_queue_end_call(&queue, MIXED_QUEUE_INTERNAL);
        cr_assert(mixed_queue_pop(&handle, &queue, 0));
        cr_expect_eq(handle >= 200, i < 5, "%d: %d", i, handle);
        cr_expect_eq(mixed_queue_running_count(&queue), 20);
    }
}

typedef struct order_case {
    const char *name;
    mixed_queue_call first;
    mixed_queue_call second;
    bool second_is_served_first;
} order_case;

static const order_case order_cases[] = {
    {"by arrival",
     {1, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 9000 * MS, 0},
     {2, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 9000 * MS, 1},
     false},
    {"less time left",
     {1, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 9000 * MS, 0},
     {2, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 1000 * MS, 1},
     true},
    {"more work in the same time",
     {1, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 4000 * MS, 2000 * MS, 0},
     {2, MIXED_QUEUE_EXTERNAL, 0, 900 * MS, 4000 * MS, 2000 * MS, 0},
     true},
    {"more important",
     {1, MIXED_QUEUE_EXTERNAL, 1, 600 * MS, 2000 * MS, 9000 * MS, 0},
     {2, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 9000 * MS, 100 * MS},
     true},
    {"more important, but much later",
     {1, MIXED_QUEUE_EXTERNAL, 1, 600 * MS, 2000 * MS, 9000 * MS, 0},
     {2, MIXED_QUEUE_EXTERNAL, 0, 600 * MS, 2000 * MS, 9000 * MS, 500 * MS},
     false},
};

Test(mixed_queue, order_of_calls_of_a_kind)
{
    for (size_t i = 0; i < COUNT(order_cases); i++) {
        const order_case *c = &order_cases[i];
        mixed_queue queue = {.limit = 1};
        int handle = 0;
        mixed_queue_push(&queue, &c->first);
        mixed_queue_push(&queue, &c->second);
        cr_assert(mixed_queue_pop(&handle, &queue, 500 * MS));
        cr_expect_eq(handle, c->second_is_served_first ? 2 : 1, "%s", c->name);
    }
}

typedef struct possible_case {
    const char *name;
    mixed_queue_call call;
    int waiting; /* internal calls of 40 ms ahead, for 2 slots */
    bool busy;   /* no slot is free */
    enum admission_decision decision;
    enum reason reason;
} possible_case;

static const possible_case possible_cases[] = {
    {"a free slot",
     {9, MIXED_QUEUE_INTERNAL, 0, 40 * MS, 300 * MS, 700 * MS, 0},
     0,
     false,
     ADMISSION_DISPATCHED,
     REASON_NONE},
    {"a free slot, work longer than the time left",
     {9, MIXED_QUEUE_INTERNAL, 0, 40 * MS, 300 * MS, 30 * MS, 0},
     0,
     false,
     ADMISSION_REFUSED,
     REASON_QUEUE_FULL},
    {"a free slot, work longer than the objective",
     {9, MIXED_QUEUE_INTERNAL, 0, 400 * MS, 300 * MS, 700 * MS, 0},
     0,
     false,
     ADMISSION_DISPATCHED,
     REASON_NONE},
    {"a short wait",
     {9, MIXED_QUEUE_INTERNAL, 0, 40 * MS, 300 * MS, 700 * MS, 0},
     3,
     true,
     ADMISSION_QUEUED,
     REASON_NONE},
    {"a wait of more than half of the objective",
     {9, MIXED_QUEUE_INTERNAL, 0, 40 * MS, 300 * MS, 700 * MS, 0},
     7,
     true,
     ADMISSION_REFUSED,
     REASON_QUEUE_FULL},
    {"a wait of more than the time left",
     {9, MIXED_QUEUE_INTERNAL, 0, 40 * MS, 300 * MS, 59 * MS, 0},
     0,
     true,
     ADMISSION_REFUSED,
     REASON_QUEUE_FULL},
    {"nothing known of the work",
     {9, MIXED_QUEUE_INTERNAL, 0, 0, 300 * MS, 700 * MS, 0},
     0,
     true,
     ADMISSION_QUEUED,
     REASON_NONE},
    {"the deadline has passed",
     {9, MIXED_QUEUE_INTERNAL, 0, 0, 300 * MS, 1, 0},
     0,
     false,
     ADMISSION_REFUSED,
     REASON_DEADLINE},
};

Test(mixed_queue, what_cannot_end_in_time_is_refused_at_once)
{
    for (size_t i = 0; i < COUNT(possible_cases); i++) {
        const possible_case *c = &possible_cases[i];
        mixed_queue queue = {.limit = 2};
        int64_t now_us = c->call.deadline_us == 1 ? 1 : 0;
        if (c->busy) {
            cr_assert_eq(offer(&queue, 0, 2, true, 0), 2);
        }
        offer(&queue, 100, c->waiting, true, 0);
        admission_result got = mixed_queue_decide(&queue, &c->call, 0, now_us);
        cr_expect_eq(got.decision, c->decision, "%s", c->name);
        cr_expect_eq(got.reason, c->reason, "%s", c->name);
    }
}

Test(mixed_queue, calls_expire_at_their_latest_start)
{
    mixed_queue queue = {.limit = 1};
    admission_refusal refusal;
    mixed_queue_call call = internal(1, 0);
    mixed_queue_push(&queue, &call);
    cr_assert_not(mixed_queue_pop_expired(&refusal, &queue, 150 * MS - 1));
    cr_assert(mixed_queue_pop_expired(&refusal, &queue, 150 * MS));
    cr_assert_eq(refusal.handle, 1);
    cr_assert_eq(refusal.reason, REASON_QUEUE_TIMEOUT);
    cr_assert_eq(mixed_queue_queued_count(&queue), 0);
}

Test(mixed_queue, a_rate_limit_holds_calls_back)
{
    mixed_queue queue = {.limit = 2};
    mixed_queue_call call = internal(1, 0);
    cr_assert_eq(mixed_queue_decide(&queue, &call, 10 * MS, 0).decision,
                 ADMISSION_QUEUED);
    call.handle = 2;
    cr_assert_eq(mixed_queue_decide(&queue, &call, 200 * MS, 0).decision,
                 ADMISSION_REFUSED);
}

static target_queue_request
request(int handle, bool is_internal, int64_t now_us)
{
    return (target_queue_request){
        .handle = handle,
        .route = is_internal ? SHORT : LONG,
        .internal = is_internal,
        .objective_us = is_internal ? 300 * MS : 2000 * MS,
        .deadline_us = now_us + (is_internal ? 700 : 8000) * MS};
}

/* A change of the desired state switches the queue while calls run and wait:
 * none is lost, and never more run than may. */
Test(target_queue, a_switch_keeps_calls_and_slots)
{
    target_queue *queue = NULL;
    int handle = 0;
    cr_assert_eq(target_queue_new(&queue), 0);
    target_queue_set_limit(queue, 4, 0);
    for (int round = 0; round < 2; round++) {
        bool mixed = round == 0;
        for (int i = 0; i < 6; i++) {
            target_queue_request r = request(i, true, 0);
            cr_assert_eq(target_queue_decide(queue, &r, 0).decision,
                         i < 4 ? ADMISSION_DISPATCHED : ADMISSION_QUEUED);
        }
        target_queue_set_mixed(queue, mixed, 0);
        target_queue_request late = request(6, true, 0);
        cr_assert_neq(target_queue_decide(queue, &late, 0).decision,
                      ADMISSION_DISPATCHED);
        cr_assert_not(target_queue_pop(&handle, queue, 0));
        int ended = 0;
        int popped = 0;
        for (int i = 0; i < 4; i++, ended++) {
            target_queue_end_call(queue, i, 40 * MS, 40 * MS);
            while (target_queue_pop(&handle, queue, 40 * MS)) {
                popped++;
            }
            cr_assert_leq(target_queue_running_count(queue), 4);
        }
        cr_assert_geq(popped, 2);
        cr_assert_eq(ended, 4);
        for (int i = 4; i < 7; i++) {
            if (!target_queue_remove(queue, i) && i < 4 + popped) {
                target_queue_end_call(queue, i, 40 * MS, 40 * MS);
            }
        }
        cr_assert_eq(target_queue_running_count(queue), 0);
        cr_assert_eq(target_queue_queued_count(queue), 0);
    }
    target_queue_free(queue);
}

/* A queue whose slots are taken, with requests that wait for them. */
typedef struct closing_case {
    const char *name;
    bool mixed;
    int run_ms; /* of the calls before; 0: none has ended */
    int limit;
    int waiting;
    int left_ms; /* until the queue closes */
    int kept;    /* of those that wait; the others are refused */
} closing_case;

static const closing_case closing_cases[] = {
    {"long before", false, 40, 2, 8, 1000, 8},
    {"nothing known of the run time", false, 0, 2, 8, 1, 8},
    {"the last one is just in time", false, 40, 2, 8, 160, 8},
    {"one is too late", false, 40, 2, 8, 159, 7},
    {"half are too late", false, 40, 2, 8, 80, 4},
    {"long requests in all slots", false, 600, 2, 8, 250, 0},
    {"it closes now", false, 40, 2, 8, 0, 0},
    {"it has closed", false, 0, 2, 8, -100, 0},
    {"more slots", false, 40, 8, 8, 40, 8},
    {"mixed, long before", true, 40, 2, 6, 1000, 6},
    {"mixed, one is too late", true, 40, 2, 6, 119, 5},
    {"mixed, it closes now", true, 40, 2, 6, 0, 0},
    {"mixed, nothing known of the run time", true, 0, 2, 6, 0, 0},
};

/* Creates the queue of a case at the time 0: slots taken by calls with the
 * first handles, the others wait. */
static target_queue *
make_closing_queue(const closing_case *c)
{
    target_queue *queue = NULL;
    cr_assert_eq(target_queue_new(&queue), 0);
    target_queue_set_limit(queue, c->limit, 0);
    target_queue_set_mixed(queue, c->mixed, 0);
    target_queue_request before = request(0, true, 0);
    if (c->run_ms > 0) {
        cr_assert_eq(target_queue_decide(queue, &before, 0).decision,
                     ADMISSION_DISPATCHED);
        target_queue_end_call(queue, 0, c->run_ms * MS, 0);
    }
    for (int i = 0; i < c->limit + c->waiting; i++) {
        target_queue_request r = request(i, true, 0);
        cr_assert_eq(target_queue_decide(queue, &r, 0).decision,
                     i < c->limit ? ADMISSION_DISPATCHED : ADMISSION_QUEUED,
                     "%s: %d", c->name, i);
    }
    return queue;
}

/* Returns how many requests are refused as the target leaves. */
static int
refuse_draining(target_queue *queue, int64_t now_us)
{
    admission_refusal refusal;
    int count = 0;
    while (target_queue_pop_expired(&refusal, queue, now_us)) {
        cr_assert_eq(refusal.reason, REASON_DRAINING);
        cr_assert_not(target_queue_remove(queue, refusal.handle));
        count++;
    }
    return count;
}

Test(target_queue, what_cannot_go_before_it_closes_is_refused_at_once)
{
    for (size_t i = 0; i < COUNT(closing_cases); i++) {
        const closing_case *c = &closing_cases[i];
        target_queue *queue = make_closing_queue(c);
        cr_expect_eq(refuse_draining(queue, 0), 0, "%s", c->name);
        target_queue_close(queue, c->left_ms * MS);
        cr_expect_eq(refuse_draining(queue, 0), c->waiting - c->kept, "%s",
                     c->name);
        cr_expect_eq(target_queue_queued_count(queue), c->kept, "%s", c->name);
        cr_expect_eq(target_queue_running_count(queue), c->limit, "%s",
                     c->name);
        target_queue_free(queue);
    }
}

/* Slots become free at the closing time and a moment before it. */
Test(target_queue, nothing_is_dispatched_once_it_has_closed)
{
    for (int mixed = 0; mixed < 2; mixed++) {
        closing_case c = {"", mixed == 1, 0, 2, 4, 0, 0};
        target_queue *queue = make_closing_queue(&c);
        int handle = 0;
        target_queue_request late = request(6, true, 100 * MS);
        target_queue_close(queue, 100 * MS);
        target_queue_end_call(queue, 0, 0, 100 * MS - 1);
        cr_expect(target_queue_pop(&handle, queue, 100 * MS - 1));
        target_queue_end_call(queue, 1, 0, 100 * MS);
        cr_expect_not(target_queue_pop(&handle, queue, 100 * MS));
        cr_expect_eq(refuse_draining(queue, 100 * MS), 3);
        admission_result got = target_queue_decide(queue, &late, 100 * MS);
        cr_expect_eq(got.decision, ADMISSION_REFUSED);
        cr_expect_eq(got.reason, REASON_DRAINING);
        target_queue_reopen(queue);
        cr_expect_eq(target_queue_decide(queue, &late, 100 * MS).decision,
                     ADMISSION_DISPATCHED);
        target_queue_free(queue);
    }
}

/* It closes while calls wait in both queues, after a switch. */
Test(target_queue, it_closes_after_a_switch)
{
    closing_case c = {"", false, 0, 2, 4, 0, 0};
    target_queue *queue = make_closing_queue(&c);
    target_queue_set_mixed(queue, true, 0);
    target_queue_end_call(queue, 0, 0, 0);
    for (int i = 6; i < 9; i++) {
        target_queue_request r = request(i, true, 0);
        cr_assert_eq(target_queue_decide(queue, &r, 0).decision,
                     i == 6 ? ADMISSION_DISPATCHED : ADMISSION_QUEUED);
    }
    target_queue_close(queue, 10 * MS);
    cr_expect_eq(refuse_draining(queue, 10 * MS - 1), 0);
    cr_expect_eq(refuse_draining(queue, 10 * MS), 6);
    target_queue_free(queue);
}

/* The most important requests go first, so the others are refused. */
Test(target_queue, the_last_ones_are_refused_as_it_closes)
{
    for (int mixed = 0; mixed < 2; mixed++) {
        closing_case c = {"", mixed == 1, 40, 1, 0, 0, 0};
        target_queue *queue = make_closing_queue(&c);
        admission_refusal refusal;
        for (int i = 1; i <= 3; i++) {
            target_queue_request r = request(i, true, 0);
            r.rank = i == 2 ? 9 : 1;
            r.priority = i == 2 ? 1 : 0;
            cr_assert_eq(target_queue_decide(queue, &r, 0).decision,
                         ADMISSION_QUEUED);
        }
        target_queue_close(queue, 100 * MS);
        cr_expect(target_queue_pop_expired(&refusal, queue, 0));
        cr_expect_eq(refusal.handle, 2);
        cr_expect_not(target_queue_pop_expired(&refusal, queue, 0));
        target_queue_free(queue);
    }
}
