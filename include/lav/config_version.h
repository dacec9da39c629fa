/*
 * config_version: which version of the configuration is active at a node.  It
 * only increases, in whatever order responses, watches and peers deliver
 * versions.
 *
 * Guarantee: an accepted configuration is active everywhere within seconds and
 * never reverts.
 */
#ifndef LAV_CONFIG_VERSION_H
#define LAV_CONFIG_VERSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct config_version_state {
    uint64_t active_version; /* 0: none yet */
    uint64_t heard;          /* highest version seen so far */
} config_version_state;

bool config_version_note(config_version_state *state, uint64_t version);
bool config_version_apply(config_version_state *state, uint64_t version);
bool config_version_is_behind(const config_version_state *state);

#ifdef __cplusplus
}
#endif

#endif
