#include "snapshot.h"

#include <stdlib.h>
#include <urcu-bp.h>

#include "lav/err.h"

struct snapshot {
    snapshot_config *config;
    snapshot_fleet *fleet;
};

/* Create empty snapshots. */
int
snapshot_new(snapshot **out)
{
    snapshot *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_NO_MEMORY;
    }
    s->config = calloc(1, sizeof(*s->config));
    s->fleet = calloc(1, sizeof(*s->fleet));
    if (s->config == NULL || s->fleet == NULL) {
        snapshot_free(s);
        return ERR_NO_MEMORY;
    }
    *out = s;
    return 0;
}

/* Free the snapshots once no thread reads them; NULL is allowed. */
void
snapshot_free(snapshot *s)
{
    if (s == NULL) {
        return;
    }
    if (s->config != NULL) {
        catalog_free(s->config->catalog);
    }
    free(s->config);
    free(s->fleet);
    free(s);
}

/* Begin a read-side section: snapshots obtained in it stay valid until it
 * ends. Any thread may call this, including those of libraries. */
void
snapshot_read_lock(void)
{
    rcu_read_lock();
}

/* End a read-side section. */
void
snapshot_read_unlock(void)
{
    rcu_read_unlock();
}

/* The active configuration; only within a read-side section. */
const snapshot_config *
snapshot_get_config(snapshot *s)
{
    return rcu_dereference(s->config);
}

/* The fleet as last published; only within a read-side section. */
const snapshot_fleet *
snapshot_get_fleet(snapshot *s)
{
    return rcu_dereference(s->fleet);
}

/* Replace the configuration and take ownership of the catalog, also on
 * failure. Waits for readers: one writer at a time, and never within a
 * read-side section. */
int
snapshot_set_config(snapshot *s, uint64_t version, catalog *landscape)
{
    snapshot_config *next = calloc(1, sizeof(*next));
    if (next == NULL) {
        catalog_free(landscape);
        return ERR_NO_MEMORY;
    }
    next->version = version;
    next->catalog = landscape;
    snapshot_config *old = rcu_xchg_pointer(&s->config, next);
    synchronize_rcu();
    catalog_free(old->catalog);
    free(old);
    return 0;
}

/* Replace the fleet; the same rules as for snapshot_set_config() apply. */
int
snapshot_set_fleet(snapshot *s, const swim_list *members)
{
    size_t count = swim_count(members);
    snapshot_fleet *next =
        malloc(sizeof(*next) + count * sizeof(next->entries[0]));
    if (next == NULL) {
        return ERR_NO_MEMORY;
    }
    next->count = count;
    for (size_t i = 0; i < count; i++) {
        next->entries[i] = *swim_get(members, i);
    }
    snapshot_fleet *old = rcu_xchg_pointer(&s->fleet, next);
    synchronize_rcu();
    free(old);
    return 0;
}
