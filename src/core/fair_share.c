#include "lav/fair_share.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

/* Cost below which an entry may be given to another workspace, 1 us. */
#define FAIR_SHARE_COST_NEGLIGIBLE_US 1.0

#define FAIR_SHARE_CREDIT_MAX 2.0

struct fair_share_table {
    fair_share_entry entries[FAIR_SHARE_WORKSPACES_MAX];
    int count;
    GRand *random;
    double requests; /* recent ones, decayed as their costs are */
    double unit_us;  /* mean cost of a request; 0: none was seen */
    double usual_us; /* cost that is usual for a unit of weight */
    double level;    /* as divided last, with the floor and water level */
    double floor;
    double water;
};

/* Creates a table that admits everything.  ERR_NO_MEMORY if memory is
 * exhausted. */
int
fair_share_new(fair_share_table **out, uint64_t seed)
{
    fair_share_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->random = g_rand_new_with_seed((guint32)seed);
    table->level = 1;
    *out = table;
    return 0;
}

/* Frees the table; NULL is allowed. */
void
fair_share_free(fair_share_table *table)
{
    if (table != NULL) {
        g_rand_free(table->random);
        free(table);
    }
}

/* Returns the entry of a workspace; a new one, or one that is no longer used,
 * if it has none.  When all are in use, the last one is shared. */
static fair_share_entry *
fair_share_get(fair_share_table *table, uint32_t workspace)
{
    fair_share_entry *unused = NULL;
    for (int i = 0; i < table->count; i++) {
        fair_share_entry *entry = &table->entries[i];
        if (entry->workspace == workspace) {
            return entry;
        }
        if (entry->cost_us < FAIR_SHARE_COST_NEGLIGIBLE_US) {
            unused = entry;
        }
    }
    if (table->count < FAIR_SHARE_WORKSPACES_MAX) {
        unused = &table->entries[table->count++];
    }
    if (unused == NULL) {
        return &table->entries[FAIR_SHARE_WORKSPACES_MAX - 1];
    }
    /* Nodes must not admit and refuse in step, so the first credit is
     * random. */
    *unused = (fair_share_entry){.workspace = workspace,
                                 .share = table->level,
                                 .credit = g_rand_double(table->random)};
    return unused;
}

/* Estimates what a workspace asks for: by its recent requests, and, as far as
 * these are few and don't contradict it, by what is usual for its weight (the
 * mean of a gamma distribution after so many requests). */
static double
fair_share_estimate(const fair_share_table *table,
                    const fair_share_entry *entry)
{
    double expected_us = entry->weight * table->usual_us;
    if (expected_us <= 0 || table->unit_us <= 0) {
        return entry->cost_us;
    }
    double off = (entry->cost_us - expected_us) / table->unit_us;
    double variance = expected_us / table->unit_us + 1;
    double doubt = off * off / variance /
                   (FAIR_SHARE_PRIOR_DEVIATIONS * FAIR_SHARE_PRIOR_DEVIATIONS);
    double prior_us = FAIR_SHARE_PRIOR_REQUESTS * table->unit_us / (1 + doubt);
    return (prior_us + entry->cost_us) / (prior_us / expected_us + 1);
}

/* Sets the share of a workspace from what all get. */
static void
fair_share_set_share(const fair_share_table *table, fair_share_entry *entry)
{
    double most_us = entry->demand_us * (1 - table->floor);
    double extra_us = MIN(most_us, table->water * entry->weight);
    entry->share = entry->demand_us > 0 && table->level < 1
                       ? table->floor + extra_us / entry->demand_us
                       : table->level;
}

/* Records a request of a workspace that takes `cost_us` at the service, and
 * returns the entry by which it is admitted; it is valid until the next call.
 * The weight is the usage cap, in requests a second. */
fair_share_entry *
fair_share_record(fair_share_table *table, const workspace *from,
                  double cost_us)
{
    fair_share_entry *entry = fair_share_get(table, from->id);
    entry->weight =
        from->rate_per_s > 0 ? from->rate_per_s : FAIR_SHARE_WEIGHT_DEFAULT;
    if (entry->cost_us <= 0) {
        entry->demand_us = fair_share_estimate(table, entry);
        fair_share_set_share(table, entry);
    }
    entry->cost_us += cost_us;
    table->requests += 1;
    return entry;
}

/* Returns the water level, in us for each unit of weight, at which `to_give`
 * us are given away, each workspace getting no more than it asks for beyond
 * its floor. */
static double
fair_share_water_level(const fair_share_table *table, double to_give,
                       double floor)
{
    bool full[FAIR_SHARE_WORKSPACES_MAX] = {false};
    double water = 0;
    for (bool changed = true; changed;) {
        double weight = 0;
        double remaining = to_give;
        changed = false;
        for (int i = 0; i < table->count; i++) {
            const fair_share_entry *entry = &table->entries[i];
            if (full[i]) {
                remaining -= entry->demand_us * (1 - floor);
            }
            else {
                weight += entry->weight;
            }
        }
        if (weight <= 0) {
            return G_MAXDOUBLE;
        }
        water = MAX(remaining, 0) / weight;
        for (int i = 0; i < table->count; i++) {
            const fair_share_entry *entry = &table->entries[i];
            if (!full[i] &&
                entry->demand_us * (1 - floor) <= water * entry->weight) {
                full[i] = true;
                changed = true;
            }
        }
    }
    return water;
}

/* Order of entries: by the cost for a unit of weight. */
static int
fair_share_compare(const void *x, const void *y)
{
    const fair_share_entry *a = *(const fair_share_entry *const *)x;
    const fair_share_entry *b = *(const fair_share_entry *const *)y;
    double first = a->cost_us * b->weight;
    double second = b->cost_us * a->weight;
    return (first > second) - (first < second);
}

/* Measures what is usual: the mean cost of a request, and the cost for a unit
 * of weight below which half of the weight lies, so that one workspace that
 * asks for many times its part does not change it. */
static void
fair_share_measure(fair_share_table *table)
{
    const fair_share_entry *sorted[FAIR_SHARE_WORKSPACES_MAX];
    double weight = 0;
    double total_us = 0;
    for (int i = 0; i < table->count; i++) {
        sorted[i] = &table->entries[i];
        weight += table->entries[i].weight;
        total_us += table->entries[i].cost_us;
    }
    qsort(sorted, (size_t)table->count, sizeof(const fair_share_entry *),
          fair_share_compare);
    double below = 0;
    table->usual_us = 0;
    for (int i = 0; i < table->count && below < weight / 2; i++) {
        below += sorted[i]->weight;
        table->usual_us = sorted[i]->cost_us / sorted[i]->weight;
    }
    table->unit_us = table->requests > 0 ? total_us / table->requests : 0;
}

/* Divides the share `level`, 0 to 1, of all that was recorded. */
void
fair_share_divide(fair_share_table *table, double level)
{
    double total_us = 0;
    fair_share_measure(table);
    for (int i = 0; i < table->count; i++) {
        fair_share_entry *entry = &table->entries[i];
        entry->demand_us = fair_share_estimate(table, entry);
        total_us += entry->demand_us;
    }
    table->level = level;
    table->floor = level * FAIR_SHARE_FLOOR;
    table->water = fair_share_water_level(
        table, total_us * (level - table->floor), table->floor);
    for (int i = 0; i < table->count; i++) {
        fair_share_set_share(table, &table->entries[i]);
    }
}

/* Multiplies all recorded costs by `kept`, 0 to 1. */
void
fair_share_decay(fair_share_table *table, double kept)
{
    table->requests *= kept;
    for (int i = 0; i < table->count; i++) {
        table->entries[i].cost_us *= kept;
    }
}

/* Whether to admit the request that was just recorded for the entry. */
bool
fair_share_admit(fair_share_entry *entry)
{
    entry->credit = MIN(entry->credit + entry->share, FAIR_SHARE_CREDIT_MAX);
    if (entry->credit < 1) {
        return false;
    }
    entry->credit -= 1;
    return true;
}

/* Returns the number of workspaces that are told apart. */
int
fair_share_count(const fair_share_table *table)
{
    return table->count;
}
