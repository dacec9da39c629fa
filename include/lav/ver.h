/*
 * ver: which configuration is in force.  Versions only rise, whatever
 * order answers, watches and peers bring them in.
 *
 * Promise: an accepted configuration is in force everywhere within seconds
 * and never reverts.
 */
#ifndef LAV_VER_H
#define LAV_VER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct ver {
    uint64_t in_force; /* version that this node acts by; 0: none yet */
    uint64_t heard;    /* highest version that anyone has named */
} ver;

bool ver_hear(ver *v, uint64_t version);
bool ver_apply(ver *v, uint64_t version);
bool ver_behind(const ver *v);

#ifdef __cplusplus
}
#endif

#endif
