#include "lav/rsd.h"

#include <stdio.h>

#define RSD_CALLS_MAX 1000000 /* a load above it is no load */

static bool
rsd_is_count(int value)
{
    return value >= 0 && value <= RSD_CALLS_MAX;
}

/* Read "running,waiting,slots"; false where it is anything else. */
bool
rsd_load_parse(rsd_load *out, const char *text)
{
    rsd_load load;
    int end = 0;
    if (sscanf(text, "%9d,%9d,%9d%n", &load.running, &load.waiting,
               &load.slots, &end) != 3 ||
        text[end] != '\0' || !rsd_is_count(load.running) ||
        !rsd_is_count(load.waiting) || !rsd_is_count(load.slots)) {
        return false;
    }
    *out = load;
    return true;
}

/* The node has started and handed nothing to its target yet. */
void
rsd_begin(rsd *r, const rsd_load *load)
{
    r->calls = load->running + load->waiting;
}

/* The target told its load in an answer, while `own` calls of this start were
 * there, the answered one among them.  The number of earlier calls only
 * falls: calls of this start may be on their way.  True where it changed. */
bool
rsd_told(rsd *r, const rsd_load *load, int own)
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
rsd_calls(const rsd *r)
{
    return r->calls;
}
