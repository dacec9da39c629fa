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
    double level; /* that the shares were last divided by */
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
    entry->cost_us += cost_us;
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
                remaining -= entry->cost_us * (1 - floor);
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
                entry->cost_us * (1 - floor) <= water * entry->weight) {
                full[i] = true;
                changed = true;
            }
        }
    }
    return water;
}

/* Divides the share `level`, 0 to 1, of all that was recorded. */
void
fair_share_divide(fair_share_table *table, double level)
{
    double total_us = 0;
    table->level = level;
    for (int i = 0; i < table->count; i++) {
        total_us += table->entries[i].cost_us;
    }
    double floor = level * FAIR_SHARE_FLOOR;
    double water =
        fair_share_water_level(table, total_us * (level - floor), floor);
    for (int i = 0; i < table->count; i++) {
        fair_share_entry *entry = &table->entries[i];
        double extra_us =
            MIN(entry->cost_us * (1 - floor), water * entry->weight);
        entry->share = entry->cost_us > 0 && level < 1
                           ? floor + extra_us / entry->cost_us
                           : level;
    }
}

/* Multiplies all recorded costs by `kept`, 0 to 1. */
void
fair_share_decay(fair_share_table *table, double kept)
{
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
