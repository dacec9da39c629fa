#include "lav/departed_targets.h"

#include <glib.h>
#include <string.h>

/* Records that a target announced its departure.  It started no later than the
 * Unix time `started_by_ms`, in ms. */
void
departed_targets_add(departed_targets *departed, const char *instance,
                     int64_t started_by_ms)
{
    departed_targets_entry *entry =
        &departed->entries[departed->count++ % DEPARTED_TARGETS_MAX];
    g_strlcpy(entry->instance, instance, sizeof(entry->instance));
    entry->started_by_ms = started_by_ms;
}

/* Whether the target that started at the Unix time `born_ms`, in ms, has
 * announced its departure; a later start under the same name has not. */
bool
departed_targets_contains(const departed_targets *departed,
                          const char *instance, int64_t born_ms)
{
    unsigned used = MIN(departed->count, DEPARTED_TARGETS_MAX);
    for (unsigned i = 0; i < used; i++) {
        if (born_ms <= departed->entries[i].started_by_ms &&
            strcmp(departed->entries[i].instance, instance) == 0) {
            return true;
        }
    }
    return false;
}
