/*
 * handover: gives an accepted configuration to some nodes directly.  They
 * tell the others, so it is in force everywhere although the platform goes
 * out as soon as it has accepted.
 */
#ifndef LAV_TOOL_HANDOVER_H
#define LAV_TOOL_HANDOVER_H

#include "fleet.h"
#include "tool.h"

typedef struct handover {
    uint64_t version; /* as the platform has accepted it */
    const char *head; /* text of that version */
    const tool_file *files;
    size_t count; /* of the files; nodes hold the others already */
} handover;

size_t handover_send(const fleet *nodes, const handover *what);

#endif
