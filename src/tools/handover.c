#include "handover.h"

#include <stdio.h>
#include <string.h>

#include "rpc_sync.h"
#include "lav/id.h"

#define HANDOVER_NODES 3 /* so that the loss of two of them loses nothing */
#define HANDOVER_TRIES 9 /* nodes asked at most; some may be gone */
#define HANDOVER_WAIT_MS 300 /* for the answer of one; usually 1 ms */

/* Give one object; true where the node has taken it. */
static bool
handover_object(const fleet_node *node, const char *key, uint64_t version,
                const char *text)
{
    msg question = {.kind = MSG_OBJECT};
    msg answer;
    err e = ERR_INIT;
    snprintf(question.object.key, sizeof(question.object.key), "%s", key);
    question.object.version = version;
    question.object.body.bytes = (char *)text; /* only read */
    question.object.body.length = strlen(text);
    if (rpc_sync_request(&answer, node->address, node->control_port, &question,
                         HANDOVER_WAIT_MS, &e) < 0) {
        fprintf(stderr, "lav-publish: not handed to %s: %s\n", node->name,
                e.message);
        return false;
    }
    bool taken = answer.kind == MSG_OBJECT && answer.object.version >= version;
    msg_clear(&answer);
    if (!taken) {
        fprintf(stderr, "lav-publish: %s did not take %s\n", node->name, key);
    }
    return taken;
}

static bool
handover_send_to_node(const fleet_node *node, const handover *what)
{
    char key[MSG_KEY_SIZE];
    for (size_t i = 0; i < what->count; i++) {
        snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX,
                 what->files[i].hash);
        if (!handover_object(node, key, what->version, what->files[i].text)) {
            return false;
        }
    }
    return handover_object(node, MANIFEST_KEY, what->version, what->head);
}

/* Give an accepted configuration to some of the nodes, beginning with any;
 * returns how many have put it in force.  What fails is reported on stderr. */
size_t
handover_send(const fleet *nodes, const handover *what)
{
    size_t taken = 0;
    size_t first = nodes->count > 0 ? id_random() % nodes->count : 0;
    for (size_t i = 0;
         i < nodes->count && i < HANDOVER_TRIES && taken < HANDOVER_NODES;
         i++) {
        taken += handover_send_to_node(
            &nodes->nodes[(first + i) % nodes->count], what);
    }
    return taken;
}
