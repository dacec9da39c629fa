#include "view.h"

#include <stdlib.h>
#include <urcu-bp.h>

#include "lav/err.h"

struct view {
    view_config *config;
    view_fleet *fleet;
};

/* Make empty snapshots. */
int
view_new(view **out)
{
    view *v = calloc(1, sizeof(*v));
    if (v == NULL) {
        return ERR_NO_MEMORY;
    }
    v->config = calloc(1, sizeof(*v->config));
    v->fleet = calloc(1, sizeof(*v->fleet));
    if (v->config == NULL || v->fleet == NULL) {
        view_free(v);
        return ERR_NO_MEMORY;
    }
    *out = v;
    return 0;
}

/* Release the snapshots once no thread reads them; takes NULL. */
void
view_free(view *v)
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
view_read_begin(void)
{
    rcu_read_lock();
}

/* End of reading. */
void
view_read_end(void)
{
    rcu_read_unlock();
}

/* The configuration in force. */
const view_config *
view_config_get(view *v)
{
    return rcu_dereference(v->config);
}

/* The fleet as last seen. */
const view_fleet *
view_fleet_get(view *v)
{
    return rcu_dereference(v->fleet);
}

/* Replace the configuration; takes the landscape over.  One writer at a
 * time, and never within a read. */
int
view_config_set(view *v, uint64_t version, catalog *landscape)
{
    view_config *fresh = calloc(1, sizeof(*fresh));
    if (fresh == NULL) {
        catalog_free(landscape);
        return ERR_NO_MEMORY;
    }
    fresh->version = version;
    fresh->landscape = landscape;
    view_config *old = rcu_xchg_pointer(&v->config, fresh);
    synchronize_rcu();
    catalog_free(old->landscape);
    free(old);
    return 0;
}

/* Replace the fleet; as view_config_set(). */
int
view_fleet_set(view *v, const swim_list *members)
{
    size_t count = swim_count(members);
    view_fleet *fresh =
        malloc(sizeof(*fresh) + count * sizeof(fresh->entries[0]));
    if (fresh == NULL) {
        return ERR_NO_MEMORY;
    }
    fresh->count = count;
    for (size_t i = 0; i < count; i++) {
        fresh->entries[i] = *swim_get(members, i);
    }
    view_fleet *old = rcu_xchg_pointer(&v->fleet, fresh);
    synchronize_rcu();
    free(old);
    return 0;
}
