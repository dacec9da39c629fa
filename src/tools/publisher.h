/*
 * publisher: publishes service files by one conditional update of the manifest
 * in the platform's store.
 *
 * An accepted configuration is never lost.  If the response to a write is
 * lost, the manifest is read back and the write recognized by its nonce or by
 * the hashes of the files.
 */
#ifndef LAV_TOOL_PUBLISHER_H
#define LAV_TOOL_PUBLISHER_H

#include "fleet.h"
#include "lav/objstore.h"
#include "tool.h"

typedef struct publisher_options {
    const char *expect; /* expected hash of the replaced file, or NULL */
    int64_t
        timeout_ms; /* how long to retry while the platform is unavailable */
    const fleet *nodes; /* nodes to hand the configuration to, or NULL */
} publisher_options;

#define PUBLISHER_OPTIONS_INIT                                                \
    {                                                                         \
        NULL, 10000, NULL                                                     \
    }

int publisher_publish(uint64_t *out_version, objstore *platform,
                      const tool_file *files, size_t count,
                      const publisher_options *options, err *e);

#endif
