/* lav-explain: shows why a request was refused, retried or routed as it was,
 * from the decision logs that nodes keep in memory or from log files. */
#include <stdio.h>
#include <stdlib.h>

#include "explain_verdict.h"
#include "fleet.h"
#include "lav/id.h"
#include "log_reader.h"
#include "tool.h"

#define EXPLAIN_PATH_SIZE 128

static char *explain_platform;
static char *explain_node;
static char **explain_ids;
static char **explain_logs;
static gboolean explain_json;

static const GOptionEntry explain_entries[] = {
    {"platform", 0, 0, G_OPTION_ARG_STRING, &explain_platform,
     "Find the nodes through the platform", "URL"},
    {"node", 0, 0, G_OPTION_ARG_STRING, &explain_node,
     "Find the nodes through one of them", "URL"},
    {"log", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &explain_logs,
     "Read a node's log file instead; repeat for each node", "FILE"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &explain_json, "Print JSON", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &explain_ids, "",
     "REQUEST-ID"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Append one node's decisions on a request, each with the node's name. */
static void
explain_collect(json_t *out, const fleet_node *node, const char *path)
{
    json_t *response = fleet_get_json(node, path);
    size_t index;
    json_t *decision;
    json_array_foreach(json_object_get(response, "decisions"), index, decision)
    {
        json_object_set_new(decision, "node", json_string(node->name));
        json_array_append(out, decision);
    }
    json_decref(response);
}

/* Order decisions by time. */
static int
explain_compare(const void *x, const void *y)
{
    json_int_t a =
        json_integer_value(json_object_get(*(json_t *const *)x, "ms"));
    json_int_t b =
        json_integer_value(json_object_get(*(json_t *const *)y, "ms"));
    return (a > b) - (a < b);
}

/* Print decisions in order of time. */
static void
explain_print(json_t *decisions)
{
    size_t count = json_array_size(decisions);
    json_t **sorted = calloc(count + 1, sizeof(json_t *));
    if (sorted == NULL) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        sorted[i] = json_array_get(decisions, i);
    }
    qsort(sorted, count, sizeof(json_t *), explain_compare);
    for (size_t i = 0; i < count; i++) {
        printf("%lld %-16s %-48s %s\n",
               (long long)json_integer_value(json_object_get(sorted[i], "ms")),
               json_string_value(json_object_get(sorted[i], "node")),
               json_string_value(json_object_get(sorted[i], "request")),
               json_string_value(json_object_get(sorted[i], "decision")));
    }
    free(sorted);
}

/* Collect the decisions of all nodes; the caller releases them. */
static json_t *
explain_collect_all(const fleet *f, const char *request)
{
    char path[EXPLAIN_PATH_SIZE];
    json_t *decisions = json_array();
    snprintf(path, sizeof(path), "/lav/explain?id=%s", request);
    for (size_t i = 0; i < f->count; i++) {
        explain_collect(decisions, &f->nodes[i], path);
    }
    return decisions;
}

/* Print one log line: time, process, request id indented by call depth, event,
 * then all other fields as JSON. */
static void
explain_print_line(json_t *line)
{
    static const char *const shown[] = {"ms",    "process", "level",
                                        "event", "request", "below"};
    const char *request = json_string_value(json_object_get(line, "request"));
    printf("%lld %-20s %*s%s %s",
           (long long)json_integer_value(json_object_get(line, "ms")),
           json_string_value(json_object_get(line, "process")),
           2 * (int)json_integer_value(json_object_get(line, "below")), "",
           request, json_string_value(json_object_get(line, "event")));
    for (size_t i = 0; i < sizeof(shown) / sizeof(shown[0]); i++) {
        json_object_del(line, shown[i]);
    }
    char *rest = json_dumps(line, JSON_COMPACT);
    printf(" %s\n", rest);
    free(rest);
}

/* Explain a request from log files; returns the exit code. */
static int
explain_from_logs(const char *request)
{
    err e = ERR_INIT;
    log_reader *logs = NULL;
    int result = log_reader_new(&logs, &e);
    for (char **path = explain_logs; result == 0 && *path != NULL; path++) {
        result = log_reader_read(logs, *path, &e);
    }
    if (result < 0) {
        tool_print_error("lav-explain", &e);
        log_reader_free(logs);
        return TOOL_UNAVAILABLE;
    }
    if (log_reader_skipped_lines(logs) > 0) {
        fprintf(stderr, "lav-explain: skipped %zu lines that no node wrote\n",
                log_reader_skipped_lines(logs));
    }
    json_t *lines = log_reader_explain(logs, request);
    bool found = json_array_size(lines) > 0;
    if (explain_json) {
        json_dumpf(lines, stdout, JSON_INDENT(1));
        printf("\n");
    }
    else {
        char verdict[EXPLAIN_VERDICT_SIZE];
        size_t index = 0;
        json_t *line = NULL;
        explain_verdict(verdict, sizeof(verdict), lines);
        if (verdict[0] != '\0') {
            printf("%s: %s\n", request, verdict);
        }
        json_array_foreach(lines, index, line)
        {
            explain_print_line(line);
        }
    }
    json_decref(lines);
    log_reader_free(logs);
    return found ? TOOL_OK : TOOL_INVALID;
}

/* Explain a request from the decision logs of the nodes; returns the exit
 * code. */
static int
explain_from_nodes(const id *request)
{
    err e = ERR_INIT;
    fleet *f = calloc(1, sizeof(*f));
    if (f == NULL ||
        fleet_discover(f, explain_platform, explain_node, &e) < 0) {
        tool_print_error("lav-explain", &e);
        free(f);
        return TOOL_UNAVAILABLE;
    }
    json_t *decisions = explain_collect_all(f, request->text);
    bool found = json_array_size(decisions) > 0;
    if (explain_json) {
        json_dumpf(decisions, stdout, JSON_INDENT(1));
        printf("\n");
    }
    else {
        explain_print(decisions);
    }
    json_decref(decisions);
    free(f);
    return found ? TOOL_OK : TOOL_INVALID;
}

int
main(int argc, char **argv)
{
    id request;
    bool parsed = tool_parse(
        &argc, &argv, explain_entries, "- explain what happened to a request",
        "Exit status: 0 found, 1 not found, 2 bad arguments, 3 no "
        "response, or a log can't be read.",
        "lav-explain");
    bool one_id = parsed && explain_ids != NULL;
    if (one_id && explain_logs != NULL) {
        return explain_from_logs(explain_ids[0]);
    }
    if (!one_id || (explain_platform == NULL && explain_node == NULL) ||
        id_parse(&request, explain_ids[0]) < 0) {
        fprintf(stderr, "lav-explain: name --platform, --node or --log, and "
                        "one request id\n");
        return TOOL_USAGE;
    }
    return explain_from_nodes(&request);
}
