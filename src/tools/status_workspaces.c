#include "status_workspaces.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/http_sync.h"
#include "node_metrics.h"
#include "tool.h"

#define STATUS_WORKSPACES_TIMEOUT_S 2
#define STATUS_WORKSPACES_SIZE_MAX (4 * 1024 * 1024) /* bytes, of metrics */

/* Fetches the metrics of all nodes and adds them to the sum.  Returns what each
 * node tells, in the order of `urls`; the caller releases it. */
static json_t *
status_workspaces_collect(node_metrics *metrics, char *const *urls,
                          size_t *answered)
{
    json_t *nodes = json_array();
    for (; *urls != NULL; urls++) {
        char *text = NULL;
        node_metrics_node node;
        if (http_sync_get_text(&text, *urls, "/metrics",
                               STATUS_WORKSPACES_TIMEOUT_S,
                               STATUS_WORKSPACES_SIZE_MAX) < 0) {
            json_array_append_new(nodes, json_pack("{s:s,s:b}", "node", *urls,
                                                   "unreachable", 1));
            continue;
        }
        node_metrics_read(&node, metrics, text);
        free(text);
        json_array_append_new(
            nodes, json_pack("{s:s,s:I,s:I,s:I,s:I}", "node", *urls, "desired",
                             (json_int_t)node.version, "workspaces",
                             (json_int_t)node.workspaces, "keys",
                             (json_int_t)node.keys, "slots_lent",
                             (json_int_t)node.slots_lent));
        (*answered)++;
    }
    return nodes;
}

/* Returns the workspaces with the most refusals; the caller releases them. */
static json_t *
status_workspaces_list(const node_metrics *metrics)
{
    node_metrics_workspace most[NODE_METRICS_SHOWN_MAX];
    size_t count =
        node_metrics_most_refused(most, NODE_METRICS_SHOWN_MAX, metrics);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *entry = json_pack("{s:s}", "workspace", most[i].name);
        for (int j = 0; j < WORKSPACE_OUTCOMES; j++) {
            json_object_set_new(
                entry, workspace_outcome_name((enum workspace_outcome)j),
                json_integer((json_int_t)most[i].counts[j]));
        }
        json_array_append_new(list, entry);
    }
    return list;
}

/* Prints one number of a node or a workspace; "-" if it tells none. */
static void
status_workspaces_print_number(const json_t *object, const char *key,
                               int width)
{
    const json_t *value = json_object_get(object, key);
    if (value == NULL || json_integer_value(value) < 0) {
        printf(" %*s", width, "-");
    }
    else {
        printf(" %*" JSON_INTEGER_FORMAT, width, json_integer_value(value));
    }
}

/* Prints nodes or workspaces as a table. */
static void
status_workspaces_print_table(const json_t *rows, const char *name,
                              const char *const *columns)
{
    size_t index = 0;
    json_t *row = NULL;
    printf("%-32s", name);
    for (const char *const *column = columns; *column != NULL; column++) {
        printf(" %16s", *column);
    }
    json_array_foreach(rows, index, row)
    {
        printf("\n%-32s", json_string_value(json_object_get(row, name)));
        if (json_is_true(json_object_get(row, "unreachable"))) {
            printf(" no response");
            continue;
        }
        for (const char *const *column = columns; *column != NULL; column++) {
            status_workspaces_print_number(row, *column, 16);
        }
    }
    printf("\n");
}

/* Fetches the metrics of the nodes at `urls`, ended by NULL, and prints them.
 * Returns the exit status: TOOL_UNAVAILABLE if no node responds. */
int
status_workspaces_print(char *const *urls, bool json)
{
    static const char *const node_columns[] = {"desired", "workspaces", "keys",
                                               "slots_lent", NULL};
    const char *columns[WORKSPACE_OUTCOMES + 1] = {NULL};
    node_metrics *metrics = NULL;
    size_t answered = 0;
    if (node_metrics_new(&metrics) < 0) {
        fprintf(stderr, "lav-status: no memory\n");
        return TOOL_UNAVAILABLE;
    }
    for (int i = 0; i < WORKSPACE_OUTCOMES; i++) {
        columns[i] = workspace_outcome_name((enum workspace_outcome)i);
    }
    json_t *nodes = status_workspaces_collect(metrics, urls, &answered);
    json_t *workspaces = status_workspaces_list(metrics);
    if (json) {
        json_t *both =
            json_pack("{s:O,s:O}", "nodes", nodes, "workspaces", workspaces);
        json_dumpf(both, stdout, JSON_INDENT(1));
        printf("\n");
        json_decref(both);
    }
    else {
        status_workspaces_print_table(nodes, "node", node_columns);
        printf("\n");
        status_workspaces_print_table(workspaces, "workspace", columns);
    }
    json_decref(nodes);
    json_decref(workspaces);
    node_metrics_free(metrics);
    return answered > 0 ? TOOL_OK : TOOL_UNAVAILABLE;
}
