#include "lav/workspace_counts.h"

#include <stdlib.h>
#include <string.h>

#include "lav/err.h"

struct workspace_counts {
    workspace_counts_entry entries[WORKSPACE_COUNTS_MAX];
    size_t count;
};

/* Creates counts of no workspace.  ERR_NO_MEMORY if memory is exhausted. */
int
workspace_counts_new(workspace_counts **out)
{
    *out = calloc(1, sizeof(**out));
    return *out == NULL ? ERR_NO_MEMORY : 0;
}

/* Frees the counts; NULL is allowed. */
void
workspace_counts_free(workspace_counts *counts)
{
    free(counts);
}

/* Returns how many of the requests that ended so were refused; `counts` has an
 * item for each outcome. */
uint64_t
workspace_outcomes_refused(const uint64_t *counts)
{
    uint64_t sum = 0;
    for (int i = WORKSPACE_BY_KEY; i < WORKSPACE_OUTCOMES; i++) {
        sum += counts[i];
    }
    return sum;
}

/* Returns how many requests of a workspace were refused. */
static uint64_t
workspace_counts_refused(const workspace_counts_entry *entry)
{
    return workspace_outcomes_refused(entry->counts);
}

/* Counts the end of a request. */
void
workspace_counts_add(workspace_counts *counts, uint32_t workspace,
                     enum workspace_outcome outcome)
{
    workspace_counts_entry *entry = NULL;
    for (size_t i = 0; i < counts->count; i++) {
        if (counts->entries[i].workspace == workspace) {
            counts->entries[i].counts[outcome]++;
            return;
        }
        if (entry == NULL || workspace_counts_refused(&counts->entries[i]) <
                                 workspace_counts_refused(entry)) {
            entry = &counts->entries[i];
        }
    }
    if (counts->count < WORKSPACE_COUNTS_MAX) {
        entry = &counts->entries[counts->count++];
    }
    *entry = (workspace_counts_entry){.workspace = workspace};
    entry->counts[outcome] = 1;
}

/* Order of entries: the most refusals first. */
static int
workspace_counts_compare(const void *x, const void *y)
{
    uint64_t a = workspace_counts_refused(x);
    uint64_t b = workspace_counts_refused(y);
    return (a < b) - (a > b);
}

/* Copies the workspaces with the most refusals, at most `max`, in this order;
 * returns how many.  Those without any are left out. */
size_t
workspace_counts_most_refused(workspace_counts_entry *out, size_t max,
                              const workspace_counts *counts)
{
    workspace_counts_entry sorted[WORKSPACE_COUNTS_MAX];
    size_t found = 0;
    memcpy(sorted, counts->entries, counts->count * sizeof(sorted[0]));
    qsort(sorted, counts->count, sizeof(sorted[0]), workspace_counts_compare);
    while (found < counts->count && found < max &&
           workspace_counts_refused(&sorted[found]) > 0) {
        out[found] = sorted[found];
        found++;
    }
    return found;
}

/* Returns the name of an outcome, as metrics show it. */
const char *
workspace_outcome_name(enum workspace_outcome outcome)
{
    static const char *const names[WORKSPACE_OUTCOMES] = {
        [WORKSPACE_SERVED] = "served",
        [WORKSPACE_FAILED] = "failed",
        [WORKSPACE_BY_KEY] = "refused_by_key",
        [WORKSPACE_BY_CAP] = "refused_by_cap",
        [WORKSPACE_UNCHECKED] = "cap_unchecked",
        [WORKSPACE_BY_SHARE] = "refused_by_share"};
    return names[outcome];
}

/* Returns the outcome of a request that ends with an error response of the
 * node itself. */
enum workspace_outcome
workspace_outcome_of(enum reason reason)
{
    switch (reason) {
    case REASON_UNKNOWN_KEY:
    case REASON_KEY_NOT_CONFIRMED:
        return WORKSPACE_BY_KEY;
    case REASON_OVER_CAP:
        return WORKSPACE_BY_CAP;
    case REASON_CAP_UNCHECKED:
        return WORKSPACE_UNCHECKED;
    case REASON_EARLY_REFUSAL:
        return WORKSPACE_BY_SHARE;
    default:
        return WORKSPACE_FAILED;
    }
}
