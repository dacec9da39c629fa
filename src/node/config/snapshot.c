#include "snapshot.h"

#include <stdlib.h>
#include <urcu-bp.h>

#include "lav/err.h"

struct snapshot {
    snapshot_config *config;
    snapshot_fleet *fleet;
};

/* Make empty snapshots. */
int
snapshot_new(snapshot **out)
{
    snapshot *v = calloc(1, sizeof(*v));
    if (v == NULL) {
        return ERR_NO_MEMORY;
    }
    v->config = calloc(1, sizeof(*v->config));
    v->fleet = calloc(1, sizeof(*v->fleet));
    if (v->config == NULL || v->fleet == NULL) {
        snapshot_free(v);
        return ERR_NO_MEMORY;
    }
    *out = v;
    return 0;
}

/* Release the snapshots once no thread reads them; takes NULL. */
void
snapshot_free(snapshot *v)
{
    if (v == NULL) {
        return;
    }
    if (v->config != NULL) {
        catalog_free(v->config->landscape);
    }
    free(v->config);
    free(v->fleet);
    free(v);
}

/* Begin to read: snapshots got after this stay valid until the end.  Any
 * thread may read, those of the libraries too. */
void
snapshot_read_lock(void)
{
    rcu_read_lock();
}

/* End of reading. */
void
snapshot_read_unlock(void)
{
    rcu_read_unlock();
}

/* The configuration in force. */
const snapshot_config *
snapshot_get_config(snapshot *v)
{
    return rcu_dereference(v->config);
}

/* The fleet as last seen. */
const snapshot_fleet *
snapshot_get_fleet(snapshot *v)
{
    return rcu_dereference(v->fleet);
}

/* Replace the configuration; takes the landscape over.  One writer at a
 * time, and never within a read. */
int
snapshot_set_config(snapshot *v, uint64_t version, catalog *landscape)
{
    snapshot_config *fresh = calloc(1, sizeof(*fresh));
    if (fresh == NULL) {
        catalog_free(landscape);
        return ERR_NO_MEMORY;
    }
    fresh->version = version;
    fresh->landscape = landscape;
    snapshot_config *old = rcu_xchg_pointer(&v->config, fresh);
    synchronize_rcu();
    catalog_free(old->landscape);
    free(old);
    return 0;
}

/* Replace the fleet; as snapshot_set_config(). */
int
snapshot_set_fleet(snapshot *v, const swim_list *members)
{
    size_t count = swim_count(members);
    snapshot_fleet *fresh =
        malloc(sizeof(*fresh) + count * sizeof(fresh->entries[0]));
    if (fresh == NULL) {
        return ERR_NO_MEMORY;
    }
    fresh->count = count;
    for (size_t i = 0; i < count; i++) {
        fresh->entries[i] = *swim_get(members, i);
    }
    snapshot_fleet *old = rcu_xchg_pointer(&v->fleet, fresh);
    synchronize_rcu();
    free(old);
    return 0;
}
