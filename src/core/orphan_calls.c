#include "lav/orphan_calls.h"

#include <stdio.h>

#define ORPHAN_CALLS_LOAD_MAX 1000000 /* larger values are invalid */

/* Whether a value of a load report is in range. */
static bool
orphan_calls_is_count(int value)
{
    return value >= 0 && value <= ORPHAN_CALLS_LOAD_MAX;
}

/* Parses "running,waiting,slots", which may be followed by ",percent" (above
 * 0); false if the text is anything else. */
bool
orphan_calls_load_parse(orphan_calls_load *out, const char *text)
{
    orphan_calls_load load = {0};
    int end = 0;
    int percent_end = 0;
    if (sscanf(text, "%9d,%9d,%9d%n", &load.running, &load.waiting,
               &load.slots, &end) != 3) {
        return false;
    }
    if (sscanf(text + end, ",%9d%n", &load.host_percent, &percent_end) == 1 &&
        (load.host_percent <= 0 ||
         !orphan_calls_is_count(load.host_percent))) {
        return false;
    }
    if (text[end + percent_end] != '\0' ||
        !orphan_calls_is_count(load.running) ||
        !orphan_calls_is_count(load.waiting) ||
        !orphan_calls_is_count(load.slots)) {
        return false;
    }
    *out = load;
    return true;
}

/* Initializes the count from the first load report, before this start of the
 * node has dispatched any call to its target. */
void
orphan_calls_init(orphan_calls *orphans, const orphan_calls_load *load)
{
    orphans->calls = load->running + load->waiting;
}

/* Updates the count from a load report that came with a response, while `own`
 * calls of this start were at the target, including the one responded to.  The
 * count only falls, as calls of this start may still be in transit.  True if
 * it changed. */
bool
orphan_calls_update(orphan_calls *orphans, const orphan_calls_load *load,
                    int own)
{
    int left = load->running + load->waiting - own;
    if (left < 0) {
        left = 0;
    }
    if (left >= orphans->calls) {
        return false;
    }
    orphans->calls = left;
    return true;
}

/* Returns the calls of the earlier start that still occupy slots. */
int
orphan_calls_count(const orphan_calls *orphans)
{
    return orphans->calls;
}
