/* Registration and heartbeats of the targets, one thread for each. */
#include <stdio.h>

#include "lav/clock.h"
#include "soak.h"

#define SOAK_HEARTBEAT_MS 250

/* Announces that the target leaves.  The drain limit counts from the
 * acknowledgement on.  Returns whether it was acknowledged. */
static bool
soak_leave(const soak_node *node, enum soak_target_state how)
{
    int status = how == SOAK_TARGET_DRAINING
                     ? harness_send_heartbeat(node->index, "draining", 0)
                     : harness_deregister_target(node->index);
    if (status == 200) {
        harness_set_target_close_time(
            node->index,
            clock_now_us() + (int64_t)SOAK_DRAIN_MAX_MS * CLOCK_US_PER_MS);
    }
    return status == 200;
}

/* Sends the heartbeats of a node's target and applies the state requested
 * for it, until the run is finished. */
void *
soak_run_registrar(void *payload)
{
    soak_node *node = payload;
    bool told = false;
    int lives = 0;
    while (!atomic_load(&node->s->finished)) {
        enum soak_target_state wanted =
            (enum soak_target_state)atomic_load(&node->target);
        switch (wanted) {
        case SOAK_TARGET_READY:
            harness_send_heartbeat(node->index, "ready", 0);
            break;
        case SOAK_TARGET_DRAINING:
        case SOAK_TARGET_DEREGISTERED:
            told = told || soak_leave(node, wanted);
            break;
        case SOAK_TARGET_REPLACED: {
            char instance[SOAK_ID_SIZE];
            snprintf(instance, sizeof(instance), "i-%d-%d", node->index,
                     ++lives);
            harness_replace_instance(node->index, instance);
            told = false;
            atomic_store(&node->target, SOAK_TARGET_READY);
            continue;
        }
        }
        harness_sleep_ms(SOAK_HEARTBEAT_MS);
    }
    return NULL;
}
