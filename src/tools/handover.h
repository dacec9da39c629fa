/*
 * handover: sends an accepted configuration directly to a few nodes.  They
 * propagate it to the others by gossip, so it becomes active everywhere even
 * if the platform fails right after accepting it.
 */
#ifndef LAV_TOOL_HANDOVER_H
#define LAV_TOOL_HANDOVER_H

#include "fleet.h"
#include "tool.h"

typedef struct handover {
    uint64_t version; /* assigned by the platform */
    const char *head; /* text of the manifest of that version */
    const tool_file *files;
    size_t count; /* of the published files; nodes already hold the others */
} handover;

size_t handover_send(const fleet *nodes, const handover *update);

#endif
