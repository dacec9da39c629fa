#include <jansson.h>

#include "lav/log.h"
#include "usage_gate_private.h"

/* Returns the node that owns a slot, for the log. */
const char *
usage_gate_node_name(const usage_gate *gate, uint64_t member)
{
    uint64_t key = member;
    const char *name = g_hash_table_lookup(gate->addresses, &key);
    return name == NULL ? "" : name;
}

/* Logs that a slot's share is lent to another node. */
void
usage_gate_note_owner(usage_gate *gate, int slot)
{
    uint64_t owner = usage_share_owner(gate->share, slot);
    if (owner == gate->owners[slot]) {
        return;
    }
    log_event(LOG_INFO, "usage_owner", NULL, "{s:i,s:s,s:s,s:i,s:I}", "slot",
              slot, "node", usage_gate_node_name(gate, owner), "was",
              usage_gate_node_name(gate, gate->owners[slot]), "members",
              usage_share_members(gate->share), "desired",
              (json_int_t)runtime_config_version(gate->n));
    gate->owners[slot] = owner;
}

/* Logs a sample of the refused requests, with the source of the decision. */
void
usage_gate_log_refusal(const usage_gate *gate, uint32_t workspace,
                       const usage_gate_result *result)
{
    int slot = usage_cap_slot(workspace);
    const struct workspace *entry = usage_gate_find(workspace, (void *)gate);
    if (!log_allow_line("usage_refused", USAGE_GATE_LINES_PER_S)) {
        return;
    }
    log_event(LOG_INFO, "usage_refused", NULL,
              "{s:s,s:s,s:I,s:i,s:s,s:I,s:I,s:I}", "workspace",
              entry == NULL ? "" : entry->name, "reason",
              reason_name(result->reason), "retry_after_us",
              (json_int_t)result->retry_after_us, "slot", slot, "from",
              usage_gate_node_name(gate, gate->owners[slot]), "version",
              (json_int_t)gate->versions[slot], "age_us",
              (json_int_t)(gate->n->l->now_us - gate->answered_us[slot]),
              "desired", (json_int_t)runtime_config_version(gate->n));
}

/* Writes gauges and counters of the usage caps, if there were any. */
void
usage_gate_write_metrics(bytebuf *out, const usage_gate *gate)
{
    int lent = 0;
    double held = 0;
    if (!ev_is_active(&gate->timer)) {
        return;
    }
    for (int i = 0; i < USAGE_CAP_SLOTS; i++) {
        lent += usage_share_owner(gate->share, i) != 0 ? 1 : 0;
        held += usage_owner_share(gate->owner, i, gate->n->l->now_us);
    }
    const struct {
        const char *name;
        const char *help;
        const char *type;
        double value;
    } values[] = {
        {"lav_usage_members", "Nodes that usage caps are divided among.",
         "gauge", usage_share_members(gate->share)},
        {"lav_usage_slots_lent", "Slots whose share is lent to an owner.",
         "gauge", lent},
        {"lav_usage_slots_held", "Slots whose caps this node grants.", "gauge",
         held},
        {"lav_usage_granted_total", "Requests taken from a usage cap.",
         "counter", (double)gate->granted},
        {"lav_usage_waited_total", "Requests that waited for an owner.",
         "counter", (double)gate->waited},
        {"lav_usage_messages_total", "Messages sent to owners.", "counter",
         (double)gate->sent},
        {"lav_usage_unanswered_total", "Messages without an answer.",
         "counter", (double)gate->failed}};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        bytebuf_appendf(out, "# HELP %s %s\n# TYPE %s %s\n%s %g\n",
                        values[i].name, values[i].help, values[i].name,
                        values[i].type, values[i].name, values[i].value);
    }
}
