/* Orders and browsing at one target, played against the admission queue with
 * a clock of the test: a busy machine can't be the cause of a refusal here. */
#include <criterion/criterion.h>
#include <string.h>

#include "lav/admission.h"
#include "lav/clock.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define SLOTS 12
#define STEP_US 100
#define PLAY_MS 8000
#define STALL_MS 3000 /* when the target first stands still */
#define ORDER_EVERY_US 25000
#define BROWSE_EVERY_US 750 /* over twice of what the slots can serve */
#define ORDER_TIME_US 25000
#define BROWSE_TIME_US 20000
#define CALLS_MAX 16384

/* Times at which the target stands still: it finishes no call. */
typedef struct stall_case {
    const char *name;
    int stall_ms;
    int every_ms; /* until the next one begins; 0: there is one */
} stall_case;

static const stall_case stall_cases[] = {
    {"none", 0, 0},          {"shorter than the wait", 200, 0},
    {"as the wait", 300, 0}, {"longer", 700, 0},
    {"long", 1500, 0},       {"longer than all windows", 3000, 0},
    {"short ones", 60, 200}, {"long ones", 500, 900},
};

static admission_queue *target;
static const stall_case *current;
static int64_t now_us;
static int running[SLOTS]; /* handles */
static int running_count;
static int64_t ends_us[CALLS_MAX];
static int64_t arrived_us[CALLS_MAX];
static int64_t started_us[CALLS_MAX];
static int klasses[CALLS_MAX];
static int call_count;
static int served[SVC_CLASS_COUNT];
static int64_t browse_started_us; /* when browsing last got a slot */
static int orders_refused;
static int refused_for_browsing;  /* orders, while browsing got slots */
static int refused_without_cause; /* orders, while the target worked */

static bool
is_standing_still(int64_t at_us)
{
    int64_t since_ms = at_us / CLOCK_US_PER_MS - STALL_MS;
    if (since_ms < 0 || current->stall_ms == 0) {
        return false;
    }
    if (current->every_ms > 0) {
        since_ms %= current->every_ms;
    }
    return since_ms < current->stall_ms;
}

static void
start(int handle)
{
    bool order = klasses[handle] == SVC_CRITICAL;
    cr_assert_lt(running_count, SLOTS);
    running[running_count++] = handle;
    started_us[handle] = now_us;
    ends_us[handle] = now_us + (order ? ORDER_TIME_US : BROWSE_TIME_US);
    if (!order) {
        browse_started_us = now_us;
    }
}

/* A call was refused.  Browsing must not have got a slot while an order waited,
 * nor, if it was refused at once, in the time that a call takes before; and the
 * target must have stood still when it arrived or when it was refused. */
static void
refuse(int handle)
{
    int64_t since_us = arrived_us[handle];
    if (klasses[handle] != SVC_CRITICAL) {
        return;
    }
    if (since_us == now_us) {
        since_us -= BROWSE_TIME_US;
    }
    orders_refused++;
    refused_for_browsing += browse_started_us >= since_us;
    refused_without_cause +=
        !is_standing_still(since_us) && !is_standing_still(now_us);
}

static void
arrive(int klass, int rank)
{
    admission_call call = {.handle = call_count++,
                           .klass = klass,
                           .rank = rank,
                           .depth = 1,
                           .arrived_us = now_us,
                           .deadline_us = now_us + 2 * CLOCK_US_PER_S};
    klasses[call.handle] = klass;
    arrived_us[call.handle] = now_us;
    admission_result result = admission_decide(target, &call, now_us);
    if (result.displaced != ADMISSION_NONE) {
        refuse(result.displaced);
    }
    if (result.decision == ADMISSION_DISPATCHED) {
        start(call.handle);
    }
    if (result.decision == ADMISSION_REFUSED) {
        refuse(call.handle);
    }
}

static void
finish_calls(void)
{
    for (int i = running_count - 1; i >= 0; i--) {
        int handle = running[i];
        if (now_us >= ends_us[handle]) {
            running[i] = running[--running_count];
            served[klasses[handle]]++;
            admission_release_slot(target, now_us - started_us[handle],
                                   now_us);
        }
    }
}

static void
step(void)
{
    int handle = 0;
    admission_refusal expired;
    while (admission_pop_expired(&expired, target, now_us)) {
        refuse(expired.handle);
    }
    if (!is_standing_still(now_us)) {
        finish_calls();
    }
    while (admission_pop(&handle, target, now_us)) {
        start(handle);
    }
    if (now_us % ORDER_EVERY_US == 0) {
        arrive(SVC_CRITICAL, (int)(now_us / ORDER_EVERY_US) * 37 % ID_RANKS);
    }
    if (now_us % BROWSE_EVERY_US / STEP_US == 0) {
        arrive(SVC_BROWSE, (int)(now_us / BROWSE_EVERY_US) * 53 % ID_RANKS);
    }
}

static void
play(const stall_case *c)
{
    const svc_policy policy = {.admission = true,
                               .root_class = true,
                               .rank = true,
                               .deadline_drop = true,
                               .adaptive_limit = true,
                               .queue = SVC_QUEUE_CLASS,
                               .queue_wait_max_ms = 300,
                               .queue_length = 128};
    current = c;
    call_count = 0;
    running_count = 0;
    browse_started_us = -PLAY_MS * CLOCK_US_PER_MS;
    orders_refused = 0;
    refused_for_browsing = 0;
    refused_without_cause = 0;
    memset(served, 0, sizeof(served));
    cr_assert_eq(admission_new(&target, &policy), 0);
    admission_set_slots(target, SLOTS, false, 0);
    for (now_us = STEP_US; now_us < PLAY_MS * CLOCK_US_PER_MS;
         now_us += STEP_US) {
        step();
    }
    admission_free(target);
}

Test(admission, orders_are_not_refused_while_browsing_gets_slots)
{
    for (size_t i = 0; i < COUNT(stall_cases); i++) {
        const stall_case *c = &stall_cases[i];
        play(c);
        cr_expect_eq(refused_for_browsing, 0, "%s: %d of %d", c->name,
                     refused_for_browsing, orders_refused);
        cr_expect_eq(refused_without_cause, 0, "%s: %d of %d", c->name,
                     refused_without_cause, orders_refused);
        cr_expect_gt(served[SVC_BROWSE], 0);
        cr_expect_gt(served[SVC_CRITICAL], 0);
    }
}
