/*
 * config_version_state: which configuration is in force.  Versions only rise, whatever
 * order answers, watches and peers bring them in.
 *
 * Promise: an accepted configuration is in force everywhere within seconds
 * and never reverts.
 */
#ifndef LAV_CONFIG_VERSION_H
#define LAV_CONFIG_VERSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct config_version_state {
    uint64_t active_version; /* version that this node acts by; 0: none yet */
    uint64_t heard;          /* highest version that anyone has named */
} config_version_state;

bool config_version_note(config_version_state *v, uint64_t version);
bool config_version_apply(config_version_state *v, uint64_t version);
bool config_version_is_behind(const config_version_state *v);

#ifdef __cplusplus
}
#endif

#endif
