#include "node_metrics.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"

#define NODE_METRICS_REQUESTS "lav_workspace_requests_total{workspace=\""
#define NODE_METRICS_END "\",end=\""

struct node_metrics {
    GHashTable *workspaces; /* name -> node_metrics_workspace */
};

/* Creates an empty sum.  ERR_NO_MEMORY if memory is exhausted. */
int
node_metrics_new(node_metrics **out)
{
    node_metrics *metrics = calloc(1, sizeof(*metrics));
    if (metrics == NULL) {
        return ERR_NO_MEMORY;
    }
    metrics->workspaces =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    *out = metrics;
    return 0;
}

/* Frees the sum; NULL is allowed. */
void
node_metrics_free(node_metrics *metrics)
{
    if (metrics != NULL) {
        g_hash_table_destroy(metrics->workspaces);
        free(metrics);
    }
}

/* Copies the label value at `text` without its escapes, and returns what
 * follows; NULL if it is too long or does not end. */
static const char *
node_metrics_copy_label(char *out, size_t size, const char *text)
{
    size_t length = 0;
    for (; *text != '"'; text++) {
        if (*text == '\\') {
            text++;
        }
        if (*text == '\0' || length + 1 >= size) {
            return NULL;
        }
        out[length++] = *text;
    }
    out[length] = '\0';
    return text;
}

/* Adds one line of counts to its workspace.  A line that can't be read is left
 * out: a newer node may tell more. */
static void
node_metrics_add(node_metrics *metrics, const char *line)
{
    char name[WORKSPACE_NAME_SIZE];
    char end[WORKSPACE_NAME_SIZE];
    const char *rest = node_metrics_copy_label(
        name, sizeof(name), line + strlen(NODE_METRICS_REQUESTS));
    if (rest == NULL || !g_str_has_prefix(rest, NODE_METRICS_END)) {
        return;
    }
    rest = node_metrics_copy_label(end, sizeof(end),
                                   rest + strlen(NODE_METRICS_END));
    if (rest == NULL || !g_str_has_prefix(rest, "\"} ")) {
        return;
    }
    node_metrics_workspace *entry =
        g_hash_table_lookup(metrics->workspaces, name);
    if (entry == NULL) {
        entry = g_new0(node_metrics_workspace, 1);
        g_strlcpy(entry->name, name, sizeof(entry->name));
        g_hash_table_insert(metrics->workspaces, entry->name, entry);
    }
    for (int i = 0; i < WORKSPACE_OUTCOMES; i++) {
        if (strcmp(workspace_outcome_name((enum workspace_outcome)i), end) ==
            0) {
            entry->counts[i] += strtoull(rest + strlen("\"} "), NULL, 10);
        }
    }
}

/* Sets a value if the line is the gauge of that name. */
static void
node_metrics_read_gauge(int64_t *out, const char *line, const char *name)
{
    if (g_str_has_prefix(line, name) && line[strlen(name)] == ' ') {
        *out = (int64_t)strtod(line + strlen(name), NULL);
    }
}

/* Reads the metrics of one node and adds its counts to the sum. */
void
node_metrics_read(node_metrics_node *out, node_metrics *metrics,
                  const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);
    *out = (node_metrics_node){-1, -1, -1, -1};
    for (char **line = lines; *line != NULL; line++) {
        node_metrics_read_gauge(&out->version, *line, "lav_desired_version");
        node_metrics_read_gauge(&out->workspaces, *line, "lav_workspaces");
        node_metrics_read_gauge(&out->keys, *line, "lav_workspace_keys");
        node_metrics_read_gauge(&out->slots_lent, *line,
                                "lav_usage_slots_lent");
        if (g_str_has_prefix(*line, NODE_METRICS_REQUESTS)) {
            node_metrics_add(metrics, *line);
        }
    }
    g_strfreev(lines);
}

/* Order: the most refusals first, then by name. */
static gint
node_metrics_compare(gconstpointer x, gconstpointer y)
{
    const node_metrics_workspace *a = x;
    const node_metrics_workspace *b = y;
    uint64_t refused_a = workspace_outcomes_refused(a->counts);
    uint64_t refused_b = workspace_outcomes_refused(b->counts);
    return refused_a == refused_b
               ? strcmp(a->name, b->name)
               : (refused_a < refused_b) - (refused_a > refused_b);
}

/* Copies the workspaces with the most refusals, at most `max`, in this order;
 * returns how many. */
size_t
node_metrics_most_refused(node_metrics_workspace *out, size_t max,
                          const node_metrics *metrics)
{
    size_t count = 0;
    GList *entries = g_list_sort(g_hash_table_get_values(metrics->workspaces),
                                 node_metrics_compare);
    for (GList *link = entries; link != NULL && count < max;
         link = link->next) {
        out[count++] = *(const node_metrics_workspace *)link->data;
    }
    g_list_free(entries);
    return count;
}
