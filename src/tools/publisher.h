/*
 * publisher: puts service files in force through one conditional update of
 * the head on the platform.
 *
 * Promise: an accepted configuration is never lost.  A write whose answer
 * was lost is read back and found by its nonce or its hashes.
 */
#ifndef LAV_TOOL_PUBLISHER_H
#define LAV_TOOL_PUBLISHER_H

#include "fleet.h"
#include "lav/objstore.h"
#include "tool.h"

typedef struct publisher_options {
    const char *expect;  /* hash of the one file that is replaced, or NULL */
    int64_t patience_ms; /* how long the platform may be away */
    const fleet *nodes;  /* some are given what was accepted; or NULL */
} publisher_options;

#define PUBLISHER_OPTIONS_INIT                                                \
    {                                                                         \
        NULL, 10000, NULL                                                     \
    }

int publisher_publish(uint64_t *out_version, objstore *platform,
                      const tool_file *files, size_t count,
                      const publisher_options *options, err *e);

#endif
