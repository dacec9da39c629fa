/* The choice among instances that tell what a call takes at them now, and how
 * that travels between nodes. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "hop.h"
#include "lav/clock.h"
#include "lav/instance.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS 1000LL

#define CALLERS 20
#define INSTANCES 9
#define SLOTS 40
#define WORK_US (100 * MS)
#define TICK_US (1 * MS)
#define SECONDS 20
#define SETTLED_US (3 * CLOCK_US_PER_S) /* callers know the instances */
#define CALLS_MAX 2000

static const double speeds[INSTANCES] = {0.5, 1,   1.6, 0.5, 1,
                                         1.6, 0.5, 1,   1.6};

typedef struct model_call {
    int caller;
    int instance;
    int64_t ends_us; /* 0: free entry */
} model_call;

/* Callers in three zones, and the instances of one service. */
typedef struct model {
    instance_table *callers[CALLERS];
    model_call calls[CALLS_MAX];
    int running[INSTANCES];
    int served[INSTANCES];
    int full;  /* calls that found no free slot */
    bool told; /* instances tell what a call takes */
} model;

static void
model_init(model *m, bool told)
{
    *m = (model){.told = told};
    for (int c = 0; c < CALLERS; c++) {
        cr_assert_eq(instance_new(&m->callers[c], (uint64_t)c + 1), 0);
        for (int i = 0; i < INSTANCES; i++) {
            instance_record record = {.service = "s",
                                      .incarnation = 1,
                                      .state = INSTANCE_READY,
                                      .slots = SLOTS};
            snprintf(record.node, sizeof(record.node), "n%d", i);
            snprintf(record.zone, sizeof(record.zone), "z%d", i / 3);
            cr_assert(instance_update(m->callers[c], &record));
        }
    }
}

static void
model_free(model *m)
{
    for (int c = 0; c < CALLERS; c++) {
        instance_free(m->callers[c]);
    }
}

/* Ends the calls that are over; each response brings a load report. */
static void
model_end_calls(model *m, int64_t now_us)
{
    for (int k = 0; k < CALLS_MAX; k++) {
        model_call *call = &m->calls[k];
        if (call->ends_us == 0 || call->ends_us > now_us) {
            continue;
        }
        int i = call->instance;
        m->running[i]--;
        m->served[i]++;
        int work_us = (int)(WORK_US / speeds[i]);
        instance_load_report report = {.busy = m->running[i],
                                       .limit = SLOTS,
                                       .state = INSTANCE_READY,
                                       .call_us = work_us,
                                       .work_us = m->told ? work_us : 0};
        instance_remove_call(m->callers[call->caller], i);
        instance_set_load(m->callers[call->caller], i, &report, now_us);
        call->ends_us = 0;
    }
}

/* Sends a call from a caller in zone c % 3. */
static void
model_send(model *m, int c, int64_t now_us)
{
    char zone[8];
    snprintf(zone, sizeof(zone), "z%d", c % 3);
    instance_query query = {.service = "s", .zone = zone};
    int i = instance_pick(m->callers[c], &query, now_us);
    cr_assert_neq(i, INSTANCE_NONE);
    instance_add_call(m->callers[c], i);
    for (int k = 0; k < CALLS_MAX; k++) {
        if (m->calls[k].ends_us == 0) {
            m->calls[k] =
                (model_call){c, i, now_us + (int64_t)(WORK_US / speeds[i])};
            break;
        }
    }
    m->running[i]++;
    m->full += now_us > SETTLED_US && m->running[i] > SLOTS;
}

/* Plays `load` of what all instances can serve.  `hot`: part of it that comes
 * from the first zone; 0: the zones are alike. */
static void
model_play(model *m, double load, double hot)
{
    double capacity = 0;
    for (int i = 0; i < INSTANCES; i++) {
        capacity += SLOTS * speeds[i] * TICK_US / WORK_US;
    }
    double due = 0;
    uint32_t state = 5;
    for (int64_t now_us = CLOCK_US_PER_S;
         now_us < (SECONDS + 1) * CLOCK_US_PER_S; now_us += TICK_US) {
        model_end_calls(m, now_us);
        due += load * capacity;
        int count = (int)due;
        due -= count;
        for (int k = 0; k < count; k++) {
            state = state * 1664525 + 1013904223;
            int c = (int)((state >> 8) % CALLERS);
            if (hot > 0 && (double)((state >> 16) % 1000) < hot * 1000) {
                c = c / 3 * 3;
            }
            model_send(m, c, now_us);
        }
    }
}

/* Returns the largest share of the calls divided by that which the speed of
 * the instance would give it. */
static double
model_crowding(const model *m)
{
    double served = 0;
    double speed = 0;
    double most = 0;
    for (int i = 0; i < INSTANCES; i++) {
        served += m->served[i];
        speed += speeds[i];
    }
    for (int i = 0; i < INSTANCES; i++) {
        double share = m->served[i] / served / (speeds[i] / speed);
        most = share > most ? share : most;
    }
    return most;
}

typedef struct crowding_case {
    const char *name;
    double load;
    double hot;
    double most; /* of the share that the speed gives */
} crowding_case;

static const crowding_case crowding_cases[] = {
    {"half of what they can serve", 0.5, 0, 1.25},
    {"0.85 of it", 0.85, 0, 1.15},
    {"0.85, most of it from one zone", 0.85, 0.6, 1.2},
};

Test(pick, shares_follow_speeds)
{
    static model m;
    for (size_t i = 0; i < COUNT(crowding_cases); i++) {
        const crowding_case *c = &crowding_cases[i];
        double crowding[2];
        for (int told = 0; told < 2; told++) {
            model_init(&m, told == 1);
            model_play(&m, c->load, c->hot);
            crowding[told] = model_crowding(&m);
            model_free(&m);
        }
        fprintf(stderr, "%s: %.2f times the share of its speed, else %.2f\n",
                c->name, crowding[1], crowding[0]);
        cr_expect_leq(crowding[1], c->most, "%s: %.2f", c->name, crowding[1]);
        cr_expect_lt(crowding[1], crowding[0], "%s", c->name);
    }
}

/* Most of the load comes from one zone: fewer calls find an instance full than
 * with the fixed cost of another zone. */
Test(pick, work_flows_to_other_zones_before_it_waits)
{
    static model m;
    int full[2];
    for (int told = 0; told < 2; told++) {
        model_init(&m, told == 1);
        model_play(&m, 0.75, 0.6);
        full[told] = m.full;
        model_free(&m);
    }
    fprintf(stderr, "%d calls found no slot, else %d\n", full[1], full[0]);
    cr_expect_leq(full[1], full[0] / 2, "%d, %d", full[1], full[0]);
}

typedef struct told_case {
    const char *name;
    int busy[2]; /* of 10 slots, in the own zone and in another zone */
    int work_us[2];
    int expected;
} told_case;

static const told_case told_cases[] = {
    {"own zone first", {0, 0}, {50000, 50000}, 0},
    {"own zone, though somewhat slower", {0, 0}, {80000, 50000}, 0},
    {"own zone, though a little fuller", {5, 5}, {50000, 50000}, 0},
    {"another zone before the own is full", {8, 6}, {50000, 50000}, 1},
    {"room before speed", {2, 6}, {150000, 50000}, 0},
    {"one that doesn't tell counts as fast", {0, 0}, {0, 50000}, 0},
};

Test(pick, an_instance_that_tells_what_a_call_takes)
{
    for (size_t i = 0; i < COUNT(told_cases); i++) {
        const told_case *c = &told_cases[i];
        instance_table *fleet = NULL;
        cr_assert_eq(instance_new(&fleet, 1), 0);
        for (int j = 0; j < 2; j++) {
            instance_record record = {.service = "s",
                                      .incarnation = 1,
                                      .state = INSTANCE_READY,
                                      .slots = 10};
            snprintf(record.node, sizeof(record.node), "n%d", j);
            snprintf(record.zone, sizeof(record.zone), "%s",
                     j == 0 ? "here" : "there");
            cr_assert(instance_update(fleet, &record));
            instance_load_report report = {.busy = c->busy[j],
                                           .limit = 10,
                                           .state = INSTANCE_READY,
                                           .work_us = c->work_us[j]};
            instance_set_load(fleet, j, &report, 1000);
        }
        instance_query query = {.service = "s", .zone = "here"};
        cr_expect_eq(instance_pick(fleet, &query, 1001), c->expected, "%s",
                     c->name);
        instance_free(fleet);
    }
}

typedef struct failure_case {
    int64_t age_us; /* of the report of the failures */
    bool told;
    int expected;
} failure_case;

/* Instance 0 is in the own zone and fails half of its calls. */
static const failure_case failure_cases[] = {
    {0, true, 1},
    {INSTANCE_REPORT_MAX_AGE_US, true, 1},
    {20 * INSTANCE_REPORT_MAX_AGE_US, true, 0},
    {20 * INSTANCE_REPORT_MAX_AGE_US, false, 1},
};

/* An instance that failed is left alone, so it has no newer report. */
Test(pick, failures_told_long_ago_count_for_less)
{
    for (size_t i = 0; i < COUNT(failure_cases); i++) {
        const failure_case *c = &failure_cases[i];
        instance_table *fleet = NULL;
        cr_assert_eq(instance_new(&fleet, 1), 0);
        for (int j = 0; j < 2; j++) {
            instance_record record = {.service = "s",
                                      .incarnation = 1,
                                      .state = INSTANCE_READY,
                                      .slots = 10};
            snprintf(record.node, sizeof(record.node), "n%d", j);
            snprintf(record.zone, sizeof(record.zone), "%s",
                     j == 0 ? "here" : "there");
            cr_assert(instance_update(fleet, &record));
            instance_load_report report = {.limit = 10,
                                           .failures_permille =
                                               j == 0 ? 500 : 0,
                                           .state = INSTANCE_READY,
                                           .work_us = c->told ? 50000 : 0};
            instance_set_load(fleet, j, &report, 1000);
        }
        instance_query query = {.service = "s", .zone = "here"};
        cr_expect_eq(instance_pick(fleet, &query, 1000 + c->age_us),
                     c->expected, "%zu", i);
        instance_free(fleet);
    }
}

typedef struct wire_case {
    int work_us;
    bool on_the_wire;
} wire_case;

static const wire_case wire_cases[] = {{0, false}, {1, true}, {350000, true}};

/* Nothing is added to a response if the time isn't known. */
Test(pick, what_a_call_takes_travels_with_responses)
{
    for (size_t i = 0; i < COUNT(wire_cases); i++) {
        const wire_case *c = &wire_cases[i];
        for (int levels = 0; levels <= 2; levels++) {
            hop_response sent = {.report = {.busy = 1,
                                            .limit = 10,
                                            .state = INSTANCE_READY,
                                            .work_us = c->work_us}};
            hop_response got;
            bytebuf line = {0};
            sent.levels.count = levels;
            for (int k = 0; k < levels; k++) {
                sent.levels.list[k] =
                    (service_level_report){7 + (uint32_t)k, 0.5, 1000, false};
            }
            hop_write_response(&line, &sent);
            bytebuf_append(&line, "", 1);
            const char *text = bytebuf_data(&line);
            const char *value = text + strlen(HOP_HEADER ": ");
            http_str field = {value, strlen(value) - strlen("\r\n")};
            cr_expect_eq(strstr(value, " w") != NULL, c->on_the_wire);
            cr_assert_eq(hop_read_response(&got, field), 0);
            cr_expect_eq(got.report.work_us, c->work_us);
            cr_expect_eq(got.levels.count, levels);
            bytebuf_clear(&line);
        }
    }
}
