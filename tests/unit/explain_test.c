/* Explaining a request from the logs of several nodes. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "explain_verdict.h"
#include "log_reader.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

/* Request "top" ran on the target of node b from 100 to 200 and failed because
 * its call "mid" failed on the target of node c, because its call "low" was
 * refused there. */
static const char *const log_a[] = {
    "{\"ms\":200,\"process\":\"a\",\"event\":\"target_failed\",\"request\":"
    "\"top\",\"status\":500,\"node\":\"b\",\"took_us\":100000,\"depth\":0}",
    "{\"ms\":250,\"process\":\"a\",\"event\":\"answer\",\"request\":"
    "\"other\",\"status\":503,\"depth\":0}",
    "{\"ms\":260,\"process\":\"a\",\"event\":\"key_refused\",\"request\":"
    "\"nokey\",\"status\":401,\"reason\":\"unknown_key\",\"desired\":7}",
    "{\"ms\":260,\"process\":\"a\",\"event\":\"answer\",\"request\":"
    "\"nokey\",\"status\":401,\"depth\":0}",
    "not a line of a node",
};
static const char *const log_b[] = {
    " 0.19 b {\"ms\":190,\"process\":\"b\",\"event\":\"target_failed\","
    "\"request\":\"mid\",\"status\":500,\"node\":\"c\",\"took_us\":50000,"
    "\"depth\":1}",
    "{\"ms\":90,\"process\":\"b\",\"event\":\"answer\",\"request\":\"early\","
    "\"status\":503,\"depth\":1}",
    "{\"ms\":150,\"process\":\"b\",\"event\":\"served\",\"request\":\"fine\","
    "\"status\":200,\"node\":\"c\",\"took_us\":9000,\"depth\":1}",
};
static const char *const log_c[] = {
    "{\"ms\":180,\"process\":\"c\",\"event\":\"answer\",\"request\":\"low\","
    "\"status\":503,\"reason\":\"level_refusal\",\"depth\":1}",
    "{\"ms\":170,\"process\":\"d\",\"event\":\"door\",\"request\":\"low\","
    "\"reason\":\"level_refusal\",\"depth\":1}",
    "{\"ms\":\"mistyped\",\"process\":\"c\",\"request\":\"low\"}",
};

typedef struct explain_case {
    const char *request;
    const char *lines[5]; /* "below process request", in order; NULL ends */
} explain_case;

static const explain_case explain_cases[] = {
    {"top", {"0 a top", "1 b mid", "2 d low", "2 c low"}},
    {"mid", {"0 b mid", "1 d low", "1 c low"}},
    {"low", {"0 d low", "0 c low"}},
    {"fine", {"0 b fine"}},
    {"nokey", {"0 a nokey", "0 a nokey"}},
    {"nobody", {NULL}},
};

static void
read_log(log_reader *logs, const char *const *lines, size_t count)
{
    char path[] = "/tmp/lav-explain-XXXXXX";
    int fd = mkstemp(path);
    cr_assert_geq(fd, 0);
    FILE *file = fdopen(fd, "w");
    for (size_t i = 0; i < count; i++) {
        fprintf(file, "%s\n", lines[i]);
    }
    fclose(file);
    cr_assert_eq(log_reader_read(logs, path, NULL), 0);
    unlink(path);
}

Test(explain, a_request_and_its_child_calls)
{
    log_reader *logs = NULL;
    cr_assert_eq(log_reader_new(&logs, NULL), 0);
    read_log(logs, log_c, COUNT(log_c));
    read_log(logs, log_a, COUNT(log_a));
    read_log(logs, log_b, COUNT(log_b));
    cr_expect_eq(log_reader_skipped_lines(logs), 2);
    for (size_t i = 0; i < COUNT(explain_cases); i++) {
        const explain_case *c = &explain_cases[i];
        json_t *lines = log_reader_explain(logs, c->request);
        size_t expected = 0;
        while (c->lines[expected] != NULL) {
            const json_t *line = json_array_get(lines, expected);
            char text[64];
            snprintf(text, sizeof(text), "%d %s %s",
                     (int)json_integer_value(json_object_get(line, "below")),
                     json_string_value(json_object_get(line, "process")),
                     json_string_value(json_object_get(line, "request")));
            cr_expect_str_eq(text, c->lines[expected], "%s", c->request);
            expected++;
        }
        cr_expect_eq(json_array_size(lines), expected, "%s", c->request);
        json_decref(lines);
    }
    log_reader_free(logs);
}

typedef struct verdict_case {
    const char *line; /* the last one of the request */
    const char *verdict;
} verdict_case;

static const verdict_case verdict_cases[] = {
    {"{\"event\":\"answer\",\"status\":503,\"reason\":\"early_refusal\","
     "\"process\":\"a\"}",
     ""},
    {"{\"event\":\"served\",\"status\":200,\"process\":\"a\","
     "\"workspace\":\"alpha\"}",
     "workspace alpha, status 200, at a"},
    {"{\"event\":\"answer\",\"status\":429,\"reason\":\"over_cap\","
     "\"process\":\"a\",\"workspace\":\"alpha\",\"desired\":7}",
     "workspace alpha, status 429, refused by cap: used up over all nodes, at "
     "a, desired state 7"},
    {"{\"event\":\"answer\",\"status\":503,\"reason\":\"cap_unchecked\","
     "\"process\":\"a\",\"workspace\":\"alpha\",\"desired\":7}",
     "workspace alpha, status 503, refused by cap: nobody could say whether "
     "it is used up, at a, desired state 7"},
    {"{\"event\":\"answer\",\"status\":503,\"reason\":\"early_refusal\","
     "\"process\":\"a\",\"workspace\":\"alpha\",\"desired\":7}",
     "workspace alpha, status 503, refused by share: overload leaves less for "
     "its priority and workspace, at a, desired state 7"},
    {"{\"event\":\"answer\",\"status\":401,\"reason\":\"unknown_key\","
     "\"process\":\"a\",\"desired\":7}",
     "no workspace, status 401, refused by key: no desired state that may be "
     "in force has it, at a, desired state 7"},
    {"{\"event\":\"answer\",\"status\":503,\"reason\":"
     "\"key_not_confirmed\",\"process\":\"a\",\"desired\":7}",
     "no workspace, status 503, refused by key: unknown here, and a newer "
     "desired state may have it, at a, desired state 7"},
    {"{\"event\":\"answer\",\"status\":504,\"reason\":\"deadline\","
     "\"process\":\"a\",\"workspace\":\"alpha\",\"desired\":7}",
     "workspace alpha, status 504, at a, desired state 7"},
    {"{\"event\":\"door\",\"process\":\"b\",\"workspace\":\"alpha\"}", ""},
};

Test(explain, the_workspace_and_what_refused_it)
{
    for (size_t i = 0; i < COUNT(verdict_cases); i++) {
        char verdict[EXPLAIN_VERDICT_SIZE];
        json_t *lines = json_array();
        json_array_append_new(lines, json_pack("{s:s}", "event", "attempt"));
        json_array_append_new(lines,
                              json_loads(verdict_cases[i].line, 0, NULL));
        explain_verdict(verdict, sizeof(verdict), lines);
        cr_expect_str_eq(verdict, verdict_cases[i].verdict, "case %zu: %s", i,
                         verdict);
        json_decref(lines);
    }
}

Test(explain, a_missing_log)
{
    log_reader *logs = NULL;
    err e = ERR_INIT;
    cr_assert_eq(log_reader_new(&logs, &e), 0);
    cr_expect_eq(log_reader_read(logs, "/no/such/log", &e), ERR_IO);
    log_reader_free(logs);
}
