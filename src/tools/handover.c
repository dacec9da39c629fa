#include "handover.h"

#include <stdio.h>
#include <string.h>

#include "rpc_sync.h"
#include "lav/id.h"

#define HANDOVER_COPIES                                                       \
    3 /* the configuration survives the loss of two nodes */
#define HANDOVER_ATTEMPTS_MAX                                                 \
    9 /* limit on nodes contacted; some may be down */
#define HANDOVER_TIMEOUT_MS 300 /* for the reply of one node; usually 1 ms */

/* Send one object; true if the node stored this version or a newer one. */
static bool
handover_send_object(const fleet_node *node, const char *key, uint64_t version,
                     const char *text)
{
    msg request = {.kind = MSG_OBJECT};
    msg reply;
    err e = ERR_INIT;
    snprintf(request.object.key, sizeof(request.object.key), "%s", key);
    request.object.version = version;
    request.object.body.bytes = (char *)text; /* only read */
    request.object.body.length = strlen(text);
    if (rpc_sync_request(&reply, node->address, node->control_port, &request,
                         HANDOVER_TIMEOUT_MS, &e) < 0) {
        fprintf(stderr,
                "lav-publish: could not send configuration to %s: %s\n",
                node->name, e.message);
        return false;
    }
    bool accepted =
        reply.kind == MSG_OBJECT && reply.object.version >= version;
    msg_clear(&reply);
    if (!accepted) {
        fprintf(stderr, "lav-publish: %s did not accept %s\n", node->name,
                key);
    }
    return accepted;
}

/* Send the files, then the manifest that refers to them. */
static bool
handover_send_to_node(const fleet_node *node, const handover *update)
{
    char key[MSG_KEY_SIZE];
    for (size_t i = 0; i < update->count; i++) {
        snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX,
                 update->files[i].hash);
        if (!handover_send_object(node, key, update->version,
                                  update->files[i].text)) {
            return false;
        }
    }
    return handover_send_object(node, MANIFEST_KEY, update->version,
                                update->head);
}

/* Send an accepted configuration to some of the nodes, starting at a random
 * one; returns the number of nodes that accepted it.  Failures are reported
 * on stderr. */
size_t
handover_send(const fleet *nodes, const handover *update)
{
    size_t accepted = 0;
    size_t first = nodes->count > 0 ? id_random() % nodes->count : 0;
    for (size_t i = 0; i < nodes->count && i < HANDOVER_ATTEMPTS_MAX &&
                       accepted < HANDOVER_COPIES;
         i++) {
        accepted += handover_send_to_node(
            &nodes->nodes[(first + i) % nodes->count], update);
    }
    return accepted;
}
