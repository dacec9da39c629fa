/* What the targets say of themselves to the nodes beside them. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "harness_private.h"

/* Send a heartbeat with any body for an instance to the node's control port.
 * Returns the status of the response, or 0 when there was none. */
int
harness_send_heartbeat_body(int node, const char *instance, const char *text)
{
    char *request = g_strdup_printf(
        "PUT /api/instances/%s HTTP/1.1\r\nHost: x\r\n"
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
        instance, strlen(text), text);
    int status = harness_request_status(
        harness_nodes[node].ports[HARNESS_CONTROL], request);
    g_free(request);
    return status;
}

/* Write the body of a heartbeat of the target beside a node; `sequence` 0
 * stands for the next number. */
void
harness_format_heartbeat(char *out, size_t size, int node, const char *state,
                         int sequence)
{
    harness_node *k = &harness_nodes[node];
    if (sequence == 0) {
        sequence = ++k->sequence;
    }
    snprintf(out, size,
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
             "\"version\":\"v1\",\"concurrency\":40,\"state\":\"%s\","
             "\"warmup_left\":\"0ms\",\"sequence\":%d,\"born\":%ld}",
             k->service, k->ports[HARNESS_TARGET], state, sequence, k->born);
}

/* Send the heartbeat of the target beside a node; `sequence` 0 stands for the
 * next number.  Returns the response status, or 0 when there was none. */
int
harness_send_heartbeat(int node, const char *state, int sequence)
{
    char text[1024];
    harness_format_heartbeat(text, sizeof(text), node, state, sequence);
    return harness_send_heartbeat_body(node, harness_nodes[node].instance,
                                       text);
}

/* Delete the registration of an instance at the control port of a node.
 * Returns the status of the response, or 0 when there was none. */
int
harness_deregister(int node, const char *instance)
{
    char request[512];
    snprintf(request, sizeof(request),
             "DELETE /api/instances/%s HTTP/1.1\r\nHost: x\r\n\r\n", instance);
    return harness_request_status(harness_nodes[node].ports[HARNESS_CONTROL],
                                  request);
}

/* Delete the registration of the target beside a node, as above. */
int
harness_deregister_target(int node)
{
    return harness_deregister(node, harness_nodes[node].instance);
}

/* Replace the target beside a node by an instance whose reported start time is
 * `born_change` from that of the one before. */
static void
harness_change_target_instance(int node, const char *instance, int born_change)
{
    harness_node *k = &harness_nodes[node];
    k->born += born_change;
    k->sequence = 0;
    snprintf(k->instance, sizeof(k->instance), "%s", instance);
    harness_set_target_instance(node, instance);
}

/* Replace the target beside a node by a later instance.  It does not register
 * before harness_send_heartbeat(). */
void
harness_replace_instance(int node, const char *instance)
{
    harness_change_target_instance(node, instance, 1);
}

/* The same on a host whose clock was set back: the new instance reports an
 * earlier start time than the one before. */
void
harness_replace_instance_clock_back(int node, const char *instance)
{
    harness_change_target_instance(node, instance, -1);
}
