#include "lav/orphan_calls.h"

#include <stdio.h>

#define ORPHAN_CALLS_MAX 1000000 /* a load above it is no load */

static bool
orphan_calls_is_count(int value)
{
    return value >= 0 && value <= ORPHAN_CALLS_MAX;
}

/* Read "running,waiting,slots"; false where it is anything else. */
bool
orphan_calls_load_parse(orphan_calls_load *out, const char *text)
{
    orphan_calls_load load;
    int end = 0;
    if (sscanf(text, "%9d,%9d,%9d%n", &load.running, &load.waiting,
               &load.slots, &end) != 3 ||
        text[end] != '\0' || !orphan_calls_is_count(load.running) ||
        !orphan_calls_is_count(load.waiting) ||
        !orphan_calls_is_count(load.slots)) {
        return false;
    }
    *out = load;
    return true;
}

/* The node has started and handed nothing to its target yet. */
void
orphan_calls_init(orphan_calls *r, const orphan_calls_load *load)
{
    r->calls = load->running + load->waiting;
}

/* The target told its load in an answer, while `own` calls of this start were
 * there, the answered one among them.  The number of earlier calls only
 * falls: calls of this start may be on their way.  True where it changed. */
bool
orphan_calls_update(orphan_calls *r, const orphan_calls_load *load, int own)
{
    int left = load->running + load->waiting - own;
    if (left < 0) {
        left = 0;
    }
    if (left >= r->calls) {
        return false;
    }
    r->calls = left;
    return true;
}

/* Calls of the earlier start that still hold slots. */
int
orphan_calls_count(const orphan_calls *r)
{
    return r->calls;
}
