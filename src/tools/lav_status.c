/* lav-status: prints the nodes with their state, configuration version, load
 * and counters. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "status_workspaces.h"
#include "tool.h"

static char *status_platform;
static char *status_node;
static char **status_metrics;
static gboolean status_json;

static const GOptionEntry status_entries[] = {
    {"platform", 0, 0, G_OPTION_ARG_STRING, &status_platform,
     "Find the nodes through the platform", "URL"},
    {"node", 0, 0, G_OPTION_ARG_STRING, &status_node,
     "Find the nodes through one of them", "URL"},
    {"metrics", 0, 0, G_OPTION_ARG_STRING_ARRAY, &status_metrics,
     "Read the metrics of a node on the users' platform instead; repeat for "
     "each node",
     "URL"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &status_json, "Print JSON", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Fetch the status of all nodes; one that does not respond is marked as
 * unreachable.  The caller releases it. */
static json_t *
status_collect(const fleet *f)
{
    json_t *nodes = json_array();
    for (size_t i = 0; i < f->count; i++) {
        json_t *status = fleet_get_json(&f->nodes[i], "/lav/status");
        if (status == NULL) {
            status = json_pack("{s:s,s:b}", "node", f->nodes[i].name,
                               "unreachable", 1);
        }
        json_array_append_new(nodes, status);
    }
    return nodes;
}

static json_int_t
status_int(json_t *object, const char *group, const char *key)
{
    return json_integer_value(
        json_object_get(json_object_get(object, group), key));
}

static const char *
status_state(json_t *node)
{
    json_t *load = json_object_get(node, "load");
    if (json_is_true(json_object_get(load, "draining"))) {
        return "leaving";
    }
    return json_is_true(json_object_get(load, "ready")) ? "ready" : "starting";
}

static void
status_print_node(json_t *node)
{
    const char *name = json_string_value(json_object_get(node, "node"));
    if (json_is_true(json_object_get(node, "unreachable"))) {
        printf("%-20s no response\n", name);
        return;
    }
    printf(
        "%-20s %-12s %-12s %-9s %7lld %7lld/%-5lld %6lld %9lld %8lld "
        "%8lld\n",
        name, json_string_value(json_object_get(node, "service")),
        json_string_value(json_object_get(node, "availability_zone")),
        status_state(node),
        (long long)json_integer_value(json_object_get(node, "config_version")),
        (long long)status_int(node, "load", "serving"),
        (long long)status_int(node, "load", "limit"),
        (long long)status_int(node, "load", "level"),
        (long long)status_int(node, "counters", "done"),
        (long long)status_int(node, "counters", "not_run"),
        (long long)status_int(node, "counters", "unknown"));
}

/* Print how often each reason occurred, summed over the nodes. */
static void
status_print_reasons(json_t *nodes)
{
    json_t *totals = json_object();
    size_t index;
    json_t *node;
    const char *reason;
    json_t *value;
    json_array_foreach(nodes, index, node)
    {
        json_object_foreach(json_object_get(node, "reasons"), reason, value)
        {
            json_int_t sum =
                json_integer_value(json_object_get(totals, reason)) +
                json_integer_value(value);
            json_object_set_new(totals, reason, json_integer(sum));
        }
    }
    printf("\nreason                    count\n");
    json_object_foreach(totals, reason, value)
    {
        printf("%-22s %8lld\n", reason, (long long)json_integer_value(value));
    }
    json_decref(totals);
}

static void
status_print(json_t *nodes)
{
    size_t index;
    json_t *node;
    printf("%-20s %-12s %-12s %-9s %7s %13s %6s %9s %8s %8s\n", "node",
           "service", "zone", "state", "config", "serving/limit", "level",
           "done", "not-run", "unknown");
    json_array_foreach(nodes, index, node)
    {
        status_print_node(node);
    }
    status_print_reasons(nodes);
}

int
main(int argc, char **argv)
{
    err e = ERR_INIT;
    if (!tool_parse(&argc, &argv, status_entries,
                    "- show the state of the nodes",
                    "Exit status: 0 printed, 2 bad arguments, 3 neither the "
                    "platform nor the node responds.",
                    "lav-status") ||
        (status_platform == NULL && status_node == NULL &&
         status_metrics == NULL)) {
        fprintf(stderr, "lav-status: name --platform or --node, or "
                        "--metrics\n");
        return TOOL_USAGE;
    }
    if (status_metrics != NULL) {
        return status_workspaces_print(status_metrics, status_json);
    }
    fleet *f = calloc(1, sizeof(*f));
    if (f == NULL || fleet_discover(f, status_platform, status_node, &e) < 0) {
        tool_print_error("lav-status", &e);
        free(f);
        return TOOL_UNAVAILABLE;
    }
    json_t *nodes = status_collect(f);
    if (status_json) {
        json_dumpf(nodes, stdout, JSON_INDENT(1));
        printf("\n");
    }
    else {
        status_print(nodes);
    }
    json_decref(nodes);
    free(f);
    return TOOL_OK;
}
