/* The admitted share of one priority, divided among workspaces. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>

#include "lav/fair_share.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define WORKSPACES 4
#define COST_US 1000.0
#define ROUNDS 200
#define TOLERANCE 0.02

TestSuite(fair_share);

typedef struct division_case {
    const char *name;
    double level;
    double rates[WORKSPACES];  /* usage caps; 0: none */
    int asked[WORKSPACES];     /* requests a round */
    double served[WORKSPACES]; /* share of them, expected */
} division_case;

/* Without overload all are served.  In proportion to their caps, those that
 * ask for less than their part get all of it, and the rest goes to the
 * others. */
static const division_case division_cases[] = {
    {"no overload", 1, {0, 0, 0, 0}, {1, 1, 1, 9}, {1, 1, 1, 1}},
    {"alike", 0.5, {0, 0, 0, 0}, {2, 2, 2, 2}, {0.5, 0.5, 0.5, 0.5}},
    {"one sends nine times as much",
     0.5,
     {0, 0, 0, 0},
     {1, 1, 1, 9},
     {1, 1, 1, 1.0 / 3}},
    {"caps decide, not what is sent",
     0.6,
     {80, 20, 0, 0},
     {8, 2, 0, 0},
     {0.6, 0.6, 1, 1}},
    {"a small one beyond its part",
     0.6,
     {80, 20, 0, 0},
     {8, 8, 0, 0},
     {0.852, 0.348, 1, 1}},
    {"none is starved",
     0.2,
     {100, 1, 0, 0},
     {10, 10, 0, 0},
     {0.337, 0.063, 1, 1}},
};

Test(fair_share, divides_by_weight)
{
    for (size_t i = 0; i < COUNT(division_cases); i++) {
        const division_case *c = &division_cases[i];
        fair_share_table *table = NULL;
        int admitted[WORKSPACES] = {0};
        cr_assert_eq(fair_share_new(&table, i), 0);
        for (int round = 0; round < 2 * ROUNDS; round++) {
            for (int w = 0; w < WORKSPACES; w++) {
                workspace from = {.id = (uint32_t)w + 1,
                                  .rate_per_s = c->rates[w]};
                for (int k = 0; k < c->asked[w]; k++) {
                    bool admit = fair_share_admit(
                        fair_share_record(table, &from, COST_US));
                    admitted[w] += round >= ROUNDS && admit;
                }
            }
            fair_share_divide(table, c->level);
            fair_share_decay(table, 0.9);
        }
        for (int w = 0; w < WORKSPACES; w++) {
            if (c->asked[w] > 0) {
                cr_expect_float_eq((double)admitted[w] / ROUNDS / c->asked[w],
                                   c->served[w], TOLERANCE, "%s: %d: %f",
                                   c->name, w,
                                   (double)admitted[w] / ROUNDS / c->asked[w]);
            }
        }
        fair_share_free(table);
    }
}

/* More workspaces than entries: the table stays bounded, and entries of those
 * that are silent are given to others. */
Test(fair_share, state_is_bounded)
{
    fair_share_table *table = NULL;
    cr_assert_eq(fair_share_new(&table, 1), 0);
    for (uint32_t i = 1; i <= 4 * FAIR_SHARE_WORKSPACES_MAX; i++) {
        workspace from = {.id = i};
        fair_share_record(table, &from, COST_US);
        fair_share_decay(table, 0.99);
    }
    cr_expect_eq(fair_share_count(table), FAIR_SHARE_WORKSPACES_MAX);
    fair_share_decay(table, 0);
    workspace from = {.id = 1000000};
    cr_expect_eq(fair_share_record(table, &from, COST_US)->workspace, from.id);
    fair_share_free(table);
}

#define FLEET_NODES 40
#define FLEET_WORKSPACES 42 /* a large one, a hot one, and small ones */
#define FLEET_SECONDS 40    /* of which the first half is not counted */
#define FLEET_PERIODS 10    /* a second */
#define FLEET_MEMORY_S 10.0

typedef struct fleet_case {
    const char *name;
    double large_per_s; /* over all nodes */
    double hot_per_s;   /* with the cap of the large one */
    double small_per_s; /* each */
    double least;    /* admitted of the small ones: part of the large one's */
    double hot_most; /* and of the hot one's */
} fleet_case;

/* Nodes that see many requests of each workspace, and nodes that remember less
 * than one of a small one: all get the same part. */
static const fleet_case fleet_cases[] = {
    {"many of each", 400, 2000, 20, 0.9, 0.6},
    {"a few of each", 80, 400, 2, 0.85, 0.6},
    {"hardly any", 40, 200, 0.25, 0.6, 0.65},
};

Test(fair_share, small_workspaces_get_what_large_ones_get)
{
    for (size_t i = 0; i < COUNT(fleet_cases); i++) {
        const fleet_case *c = &fleet_cases[i];
        double asked[FLEET_WORKSPACES] = {0};
        double admitted[FLEET_WORKSPACES] = {0};
        GRand *random = g_rand_new_with_seed(1);
        for (uint32_t node = 0; node < FLEET_NODES; node++) {
            fair_share_table *table = NULL;
            cr_assert_eq(fair_share_new(&table, node), 0);
            for (int period = 0; period < FLEET_SECONDS * FLEET_PERIODS;
                 period++) {
                fair_share_divide(table, 0.5);
                fair_share_decay(table,
                                 exp(-1 / FLEET_MEMORY_S / FLEET_PERIODS));
                for (uint32_t w = 0; w < FLEET_WORKSPACES; w++) {
                    workspace from = {.id = w + 1,
                                      .rate_per_s = w < 2 ? c->large_per_s
                                                          : c->small_per_s};
                    double rate = w == 1 ? c->hot_per_s : from.rate_per_s;
                    /* A binomial number of requests: up to four. */
                    for (int k = 0; k < 4; k++) {
                        if (g_rand_double(random) <
                            rate / FLEET_NODES / FLEET_PERIODS / 4) {
                            bool admit = fair_share_admit(
                                fair_share_record(table, &from, COST_US));
                            if (period >= FLEET_SECONDS * FLEET_PERIODS / 2) {
                                asked[MIN(w, 2)]++;
                                admitted[MIN(w, 2)] += admit;
                            }
                        }
                    }
                }
            }
            fair_share_free(table);
        }
        double large = admitted[0] / asked[0];
        cr_expect_geq(admitted[2] / asked[2], c->least * large,
                      "%s: small %.3f, large %.3f", c->name,
                      admitted[2] / asked[2], large);
        cr_expect_leq(admitted[1] / asked[1], c->hot_most * large,
                      "%s: hot %.3f, large %.3f", c->name,
                      admitted[1] / asked[1], large);
        g_rand_free(random);
    }
}
