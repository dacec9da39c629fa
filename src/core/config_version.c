#include "lav/config_version.h"

/* Note a version that a peer or the platform reported.  True if it is newer
 * than the active one and so has to be fetched. */
bool
config_version_note(config_version_state *state, uint64_t version)
{
    if (version > state->heard) {
        state->heard = version;
    }
    return version > state->active_version;
}

/* Activate a version; false, without a change, if it is not newer than the
 * active one. */
bool
config_version_apply(config_version_state *state, uint64_t version)
{
    if (version <= state->active_version) {
        return false;
    }
    state->active_version = version;
    if (version > state->heard) {
        state->heard = version;
    }
    return true;
}

/* Whether a version newer than the active one is known. */
bool
config_version_is_behind(const config_version_state *state)
{
    return state->heard > state->active_version;
}
