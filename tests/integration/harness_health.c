/* Health and load as the targets report them. */
#include <stdio.h>
#include <string.h>

#include "harness_private.h"

static int harness_health_statuses[HARNESS_NODES_MAX];   /* 0: 200 */
static char harness_load_reports[HARNESS_NODES_MAX][32]; /* "": no report */

/* All targets are healthy and report no load. */
void
harness_health_reset(void)
{
    memset(harness_health_statuses, 0, sizeof(harness_health_statuses));
    memset(harness_load_reports, 0, sizeof(harness_load_reports));
}

/* Set the status with which the target beside a node answers health checks (0:
 * 200) and the load report that it puts into all its responses ("": none). */
void
harness_set_target_health(int node, int status, const char *load)
{
    pthread_mutex_lock(&harness_lock);
    harness_health_statuses[node] = status;
    snprintf(harness_load_reports[node], sizeof(harness_load_reports[node]),
             "%s", load);
    pthread_mutex_unlock(&harness_lock);
}

/* The header line with the load report of the target beside a node, or "". */
void
harness_format_load_header(char *out, size_t size, int node)
{
    pthread_mutex_lock(&harness_lock);
    out[0] = '\0';
    if (harness_load_reports[node][0] != '\0') {
        snprintf(out, size, "Lavenderfield-Instance-Load: %s\r\n",
                 harness_load_reports[node]);
    }
    pthread_mutex_unlock(&harness_lock);
}

/* Answer a health check. */
void
harness_serve_health(int fd, const char *name, int node)
{
    char headers[256];
    char load[96];
    harness_format_load_header(load, sizeof(load), node);
    pthread_mutex_lock(&harness_lock);
    int status = harness_health_statuses[node] == 0
                     ? 200
                     : harness_health_statuses[node];
    pthread_mutex_unlock(&harness_lock);
    if (status == HARNESS_HEALTH_FLOOD) {
        harness_send_flood(fd, "eof", name);
        return;
    }
    snprintf(headers, sizeof(headers), "Lavenderfield-Instance-Id: %s\r\n%s",
             name, load);
    harness_write_response(fd, status, headers, "", 0);
}
