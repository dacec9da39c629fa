/* What the targets say of themselves, each from a thread of its own. */
#include <stdio.h>

#include "lav/clock.h"
#include "sok.h"

#define SOK_HEARTBEAT_MS 250

/* Say that the target leaves; it counts from the acknowledgement on. */
static bool
sok_leave(const sok_node *node, enum sok_target how)
{
    int status = how == SOK_TARGET_DRAINS
                     ? pfr_beat(node->index, "draining", 0)
                     : pfr_leave(node->index);
    if (status == 200) {
        pfr_target_closes(node->index, clock_now_us() + (int64_t)SOK_DRAIN_MS *
                                                            CLOCK_US_PER_MS);
    }
    return status == 200;
}

/* Register the target beside a node, over and over, as it is told to. */
void *
sok_register(void *payload)
{
    sok_node *node = payload;
    bool told = false;
    int lives = 0;
    while (!atomic_load(&node->s->finished)) {
        enum sok_target wanted = (enum sok_target)atomic_load(&node->target);
        switch (wanted) {
        case SOK_TARGET_READY:
            pfr_beat(node->index, "ready", 0);
            break;
        case SOK_TARGET_DRAINS:
        case SOK_TARGET_LEAVES:
            told = told || sok_leave(node, wanted);
            break;
        case SOK_TARGET_NEW: {
            char instance[SOK_ID_SIZE];
            snprintf(instance, sizeof(instance), "i-%d-%d", node->index,
                     ++lives);
            pfr_new_lifetime(node->index, instance);
            told = false;
            atomic_store(&node->target, SOK_TARGET_READY);
            continue;
        }
        }
        pfr_sleep_ms(SOK_HEARTBEAT_MS);
    }
    return NULL;
}
