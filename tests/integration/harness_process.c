/* What a node's process wrote and used. */
#include <stdio.h>
#include <string.h>

#include "harness_private.h"

/* How many lines of a node's log contain a text. */
int
harness_log_count(int node, const char *text)
{
    char path[128];
    char line[4096];
    int count = 0;
    snprintf(path, sizeof(path), "%s/node%d.log", harness_log_dir(), node);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        count += strstr(line, text) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return count;
}

/* Whether a line of a node's log contains a text. */
bool
harness_log_contains(int node, const char *text)
{
    return harness_log_count(node, text) > 0;
}

/* Most memory that a node's process has had resident, in KiB; 0 if that can't
 * be read. */
long
harness_node_peak_kb(int node)
{
    char path[64];
    char line[256];
    long peak_kb = 0;
    snprintf(path, sizeof(path), "/proc/%d/status",
             (int)harness_nodes[node].pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        sscanf(line, "VmHWM: %ld", &peak_kb);
    }
    if (file != NULL) {
        fclose(file);
    }
    return peak_kb;
}
