/*
 * instance_private: the table of the fleet's nodes, shared by the sources that
 * keep it and that choose from it.
 */
#ifndef LAV_INSTANCE_PRIVATE_H
#define LAV_INSTANCE_PRIVATE_H

#include <glib.h>

#include "lav/instance.h"

typedef struct instance_entry {
    instance_record record;
    bool known;
    uint32_t service; /* hash of its name */
    instance_load_report report;
    int64_t reported_at_us;
    int outstanding;       /* calls of this node in progress there */
    int sent_since_report; /* calls sent there after the last report */
    int failed_tries;      /* consecutive, to reach its node */
    int64_t retry_at_us;
    bool awaiting_probe; /* gets no calls until its node answers a probe */
    bool node_answers;   /* it does, but for another instance */
    int64_t unreachable_since_us;
    bool leaving; /* as its instance has said in a response */
    int64_t leaving_cutoff_us;
    int64_t leaving_probe_at_us; /* when its node is asked what follows */
} instance_entry;

struct instance_table {
    instance_entry *entries;
    int count;
    int known_count;
    uint64_t first_incarnation; /* lowest ever known; 0: none */
    GHashTable *by_node;        /* node -> handle + 1 */
    GHashTable *by_service;     /* hash of a service -> GArray of handles */
    instance_notes *notes;
    GRand *random;
};

GArray *instance_group(const instance_table *table, uint32_t service);
bool instance_is_ready(const instance_entry *entry, const char *service);

#endif
