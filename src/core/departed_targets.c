#include "lav/departed_targets.h"

#include <glib.h>
#include <string.h>

/* A target has said that it leaves; its start was no later than the Unix time
 * `wall_ms`. */
void
departed_targets_add(departed_targets *d, const char *instance,
                     int64_t wall_ms)
{
    departed_targets_entry *entry =
        &d->entries[d->count++ % DEPARTED_TARGETS_MAX];
    g_strlcpy(entry->instance, instance, sizeof(entry->instance));
    entry->wall_ms = wall_ms;
}

/* Whether the start of that target at the Unix time `born_ms` is one that
 * has left; a later start under the same name is not. */
bool
departed_targets_contains(const departed_targets *d, const char *instance,
                          int64_t born_ms)
{
    unsigned kept = MIN(d->count, DEPARTED_TARGETS_MAX);
    for (unsigned i = 0; i < kept; i++) {
        if (born_ms <= d->entries[i].wall_ms &&
            strcmp(d->entries[i].instance, instance) == 0) {
            return true;
        }
    }
    return false;
}
