/*
 * usage_gate_private: the usage caps at a node, shared by the sources that let
 * requests wait, that exchange messages with owners and that tell what happens.
 */
#ifndef LAV_USAGE_GATE_PRIVATE_H
#define LAV_USAGE_GATE_PRIVATE_H

#include "lav/usage_owner.h"
#include "usage_gate.h"

/* Largest number of lines a second about refused requests. */
#define USAGE_GATE_LINES_PER_S 4

struct usage_gate {
    runtime *n;
    ev_timer timer; /* runs once a workspace had a cap */
    int periods;
    usage_share *share;
    usage_owner *owner;
    GHashTable *addresses; /* member id -> node name, char * */
    GQueue waiting[USAGE_CAP_SLOTS];
    uint64_t owners[USAGE_CAP_SLOTS];   /* as logged last */
    uint64_t versions[USAGE_CAP_SLOTS]; /* of the owners' desired states */
    int64_t answered_us[USAGE_CAP_SLOTS];
    int64_t suspended_us;
    uint64_t sent;
    uint64_t failed;
    uint64_t granted;
    uint64_t waited;
};

const workspace *usage_gate_find(uint32_t id, void *payload);
void usage_gate_settle(usage_gate *gate, int slot);
void usage_gate_check_clock(usage_gate *gate);
void usage_gate_send(usage_gate *gate, int slot);
const char *usage_gate_node_name(const usage_gate *gate, uint64_t member);
void usage_gate_note_owner(usage_gate *gate, int slot);
void usage_gate_log_refusal(const usage_gate *gate, uint32_t workspace,
                            const usage_gate_result *result);

#endif
