/* Checks of a desired state before it is published. */
#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#include "lav/config_check.h"
#include "platform_desired.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define LIMITS                                                                \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100,"          \
    "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}"
#define SERVICES "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\"}],"
#define ROUTE_WITH(prefix, more)                                              \
    "{\"host\":\"h\",\"path_prefix\":\"" prefix                               \
    "\",\"route_type\":\"idempotent\",\"timeout\":\"2s\"," more "}"
#define ROUTE(prefix) ROUTE_WITH(prefix, "\"service\":\"s\"")
#define STATE(version, routes, more)                                          \
    "{\"version\":\"" version "\",\"routes\":[" routes                        \
    "]," SERVICES more LIMITS "}"
#define WORKSPACES(list) "\"tenants\":[" list "],"

TestSuite(config_check);

/* Appends a finding as a line of text. */
static void
append_finding(const config_check_finding *finding, void *payload)
{
    g_string_append_printf(payload, "%s: %s\n",
                           config_check_kind_name(finding->kind),
                           finding->text);
}

/* Decodes a desired state, which must be valid. */
static routing_table *
decode(const char *text)
{
    err e = ERR_INIT;
    routing_table *table = NULL;
    cr_assert_eq(platform_desired_decode(&table, text, strlen(text), &e), 0,
                 "%s: %s", e.message, text);
    return table;
}

typedef struct check_case {
    const char *text;
    const char *found; /* all findings */
} check_case;

static const check_case check_cases[] = {
    {STATE("01", ROUTE("/a/"), ""), ""},
    {STATE("01", ROUTE("/a/") "," ROUTE("/a/b/"), ""), ""},
    {STATE("01", ROUTE("/a/") "," ROUTE("/b/") "," ROUTE("/a/"), ""),
     "error: route h/a/: can never match, another route has the same host and "
     "prefix\n"},
    {STATE("01", ROUTE("/a?b/"), ""),
     "error: route h/a?b/: can never match, no path contains such "
     "characters\n"},
    {STATE("01",
           ROUTE_WITH("/a/",
                      "\"traffic_split\":[{\"service\":\"s\",\"weight\":1},"
                      "{\"service\":\"t\",\"weight\":0}]"),
           ""),
     "warning: route h/a/: the part for t has weight 0 and gets no requests\n"
     "warning: route h/a/: service t is not described\n"},
    {STATE("01",
           ROUTE_WITH("/a/", "\"target_latency\":\"3s\",\"service\":\"s\""),
           ""),
     "warning: route h/a/: the objective of 3000 ms is beyond the timeout of "
     "2000 ms\n"},
    {STATE("01", "", ""), "warning: service s: no route leads to it\n"},
    {STATE("01", ROUTE_WITH("/a/", "\"auth_exempt\":true,\"service\":\"s\""),
           ""),
     "warning: route h/a/: needs no key, but there are no workspaces\n"},
    {STATE("01", ROUTE("/a/"),
           WORKSPACES("{\"name\":\"w\",\"api_keys\":[],\"rate_per_s\":5,"
                      "\"burst\":9}")),
     "warning: workspace w: has no key, nobody can use it\n"
     "warning: workspace w: the burst of 9 is above the rate of 5/s\n"},
    {STATE("01", ROUTE("/a/"),
           WORKSPACES("{\"name\":\"w\",\"api_keys\":[\"k\"],\"burst\":9}")),
     "warning: workspace w: the burst of 9 has no effect without a rate\n"},
};

Test(config_check, finds_errors)
{
    for (size_t i = 0; i < COUNT(check_cases); i++) {
        GString *found = g_string_new(NULL);
        routing_table *table = decode(check_cases[i].text);
        config_check_run(table, append_finding, found);
        cr_expect_str_eq(found->str, check_cases[i].found, "%zu", i);
        routing_free(table);
        g_string_free(found, TRUE);
    }
}

typedef struct compare_case {
    const char *text;
    const char *in_force;
    const char *found;
} compare_case;

#define WORKSPACE_BEFORE                                                      \
    WORKSPACES("{\"name\":\"w\",\"api_keys\":[\"k\",\"secret\"],"             \
               "\"rate_per_s\":5,\"burst\":5},{\"name\":\"v\","               \
               "\"api_keys\":[]}")

static const compare_case compare_cases[] = {
    {STATE("02", ROUTE("/a/"), ""), STATE("01", ROUTE("/a/"), ""), ""},
    {STATE("01", ROUTE("/a/"), ""), STATE("01", ROUTE("/a/"), ""),
     "error: version 1 is not above 1, which is in force\n"},
    {STATE("02", ROUTE("/b/"), ""), STATE("01", ROUTE("/a/"), ""),
     "change: route h/b/: added\nchange: route h/a/: removed\n"},
    {STATE("02",
           ROUTE_WITH("/a/",
                      "\"target_latency\":\"1s\",\"priority\":2,"
                      "\"traffic_split\":[{\"service\":\"s\","
                      "\"weight\":9},{\"service\":\"t\",\"weight\":1}]"),
           ""),
     STATE("01", ROUTE("/a/"), ""),
     "change: route h/a/: destination s -> s 9, t 1\n"
     "change: route h/a/: objective_ms 2000 -> 1000\n"
     "change: route h/a/: priority 0 -> 2\n"},
    {STATE("02", ROUTE("/a/"),
           WORKSPACES("{\"name\":\"w\",\"api_keys\":[\"k\"],\"priority\":1,"
                      "\"rate_per_s\":6,\"burst\":5}")),
     STATE("01", ROUTE("/a/"), WORKSPACE_BEFORE),
     "change: workspace w: cap 5/s, burst 5 -> 6/s, burst 5\n"
     "change: workspace w: priority 0 -> 1\n"
     "change: workspace w: 2 keys -> 1\n"
     "change: workspace v: removed\n"},
};

Test(config_check, shows_changes)
{
    for (size_t i = 0; i < COUNT(compare_cases); i++) {
        GString *found = g_string_new(NULL);
        routing_table *table = decode(compare_cases[i].text);
        routing_table *in_force = decode(compare_cases[i].in_force);
        config_check_compare(table, in_force, append_finding, found);
        cr_expect_str_eq(found->str, compare_cases[i].found, "%zu", i);
        routing_free(table);
        routing_free(in_force);
        g_string_free(found, TRUE);
    }
}
