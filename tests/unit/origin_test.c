/* Classification of a route's requests as external or internal, for
 * deployments of several sizes. */
#include <criterion/criterion.h>
#include <glib.h>

#include "lav/downstream.h"
#include "lav/origin.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define SEED 20261204

typedef struct origin_case {
    const char *name;
    int services; /* in the deployment, each with the same share of nodes */
    int callers;  /* how many of them send requests, the first ones */
    int strays;   /* percentage of requests that come from any service */
    int requests;
    enum origin_kind expected;
} origin_case;

static const origin_case origin_cases[] = {
    {"too few", 4, 4, 0, 19, ORIGIN_UNKNOWN},
    {"four services, outside", 4, 4, 0, 20, ORIGIN_EXTERNAL},
    {"four services, outside, many", 4, 4, 0, 2000, ORIGIN_EXTERNAL},
    {"four, one calls", 4, 1, 0, 20, ORIGIN_INTERNAL},
    {"four, two call", 4, 2, 0, 60, ORIGIN_INTERNAL},
    {"four, three call", 4, 3, 0, 60, ORIGIN_INTERNAL},
    {"four, three call, strays", 4, 3, 1, 2000, ORIGIN_INTERNAL},
    {"ninety-seven, outside, few", 97, 97, 0, 20, ORIGIN_UNKNOWN},
    {"ninety-seven, outside, some", 97, 97, 0, 200, ORIGIN_EXTERNAL},
    {"ninety-seven, outside, many", 97, 97, 0, 4000, ORIGIN_EXTERNAL},
    {"ninety-seven, one calls", 97, 1, 0, 20, ORIGIN_INTERNAL},
    {"ninety-seven, three call", 97, 3, 0, 20, ORIGIN_INTERNAL},
    {"ninety-seven, twelve call", 97, 12, 0, 100, ORIGIN_INTERNAL},
};

static double
even_share(uint32_t service, void *payload)
{
    const origin_case *c = payload;
    return service < (uint32_t)c->services ? 1.0 / c->services : 0;
}

Test(origin, external_and_internal_requests)
{
    for (size_t i = 0; i < COUNT(origin_cases); i++) {
        const origin_case *c = &origin_cases[i];
        GRand *random = g_rand_new_with_seed(SEED);
        origin_counts o = {0};
        for (int j = 0; j < c->requests; j++) {
            bool stray = g_rand_int_range(random, 0, 100) < c->strays;
            int from =
                g_rand_int_range(random, 0, stray ? c->services : c->callers);
            origin_count_request(&o, (uint32_t)from);
        }
        cr_expect_eq(origin_classify(&o, even_share, (void *)c), c->expected,
                     "%s", c->name);
        g_rand_free(random);
    }
}

/* Old counts expire: a route whose requests came from all services and now
 * come from one is classified as internal. */
Test(origin, a_changed_route_is_reclassified)
{
    static const origin_case c = {"moves", 4, 4, 0, 0, ORIGIN_INTERNAL};
    origin_counts o = {0};
    for (int i = 0; i < 4 * ORIGIN_REQUESTS_MAX; i++) {
        origin_count_request(&o, (uint32_t)(i % 4));
    }
    cr_expect_eq(origin_classify(&o, even_share, (void *)&c), ORIGIN_EXTERNAL);
    for (int i = 0; i < 5 * ORIGIN_REQUESTS_MAX; i++) {
        origin_count_request(&o, 1);
    }
    cr_expect_eq(origin_classify(&o, even_share, (void *)&c), ORIGIN_INTERNAL);
}

/* A report without a classification, or a single deviating one, does not
 * change the classification that most reports gave. */
Test(origin, classification_follows_most_reports)
{
    static const uint32_t route = 7;
    downstream_overload none = {0, 0, 0};
    downstream_table *c = NULL;
    cr_assert_eq(downstream_new(&c), 0);
    cr_expect_not(downstream_is_internal(c, route));
    downstream_record_report(c, route, ORIGIN_INTERNAL, &none, 1);
    cr_expect(downstream_is_internal(c, route));
    for (int i = 0; i < 100; i++) {
        downstream_record_report(c, route, ORIGIN_UNKNOWN, &none, 1);
    }
    downstream_record_report(c, route, ORIGIN_EXTERNAL, &none, 1);
    cr_expect(downstream_is_internal(c, route));
    for (int i = 0; i < 20; i++) {
        downstream_record_report(c, route, ORIGIN_EXTERNAL, &none, 1);
    }
    cr_expect_not(downstream_is_internal(c, route));
    downstream_free(c);
}
