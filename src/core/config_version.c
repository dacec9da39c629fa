#include "lav/config_version.h"

/* Note a version that a peer or the platform named; true where it is newer
 * than the one in force and so has to be fetched. */
bool
config_version_note(config_version_state *v, uint64_t version)
{
    if (version > v->heard) {
        v->heard = version;
    }
    return version > v->active_version;
}

/* Put a version in force; false, and no change, where it is not newer. */
bool
config_version_apply(config_version_state *v, uint64_t version)
{
    if (version <= v->active_version) {
        return false;
    }
    v->active_version = version;
    if (version > v->heard) {
        v->heard = version;
    }
    return true;
}

/* Whether a newer version than the one in force is known of. */
bool
config_version_is_behind(const config_version_state *v)
{
    return v->heard > v->active_version;
}
