#include "lav/ver.h"

/* Note a version that a peer or the platform named; true where it is newer
 * than the one in force and so has to be fetched. */
bool
ver_hear(ver *v, uint64_t version)
{
    if (version > v->heard) {
        v->heard = version;
    }
    return version > v->in_force;
}

/* Put a version in force; false, and no change, where it is not newer. */
bool
ver_apply(ver *v, uint64_t version)
{
    if (version <= v->in_force) {
        return false;
    }
    v->in_force = version;
    if (version > v->heard) {
        v->heard = version;
    }
    return true;
}

/* Whether a newer version than the one in force is known of. */
bool
ver_behind(const ver *v)
{
    return v->heard > v->in_force;
}
