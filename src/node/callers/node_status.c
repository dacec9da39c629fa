#include "node_status.h"

#include <jansson.h>
#include <sys/resource.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/config_version.h"

/* All counters by name. */
static json_t *
node_status_counters(void)
{
    json_t *counters = json_object();
    for (int i = 0; i < COUNTER_COUNT; i++) {
        json_object_set_new(counters, counter_get_name((enum counter_id)i),
                            json_integer((json_int_t)counter_get(i)));
    }
    return counters;
}

/* Counts of the reasons that have occurred, by name. */
static json_t *
node_status_reasons(void)
{
    json_t *reasons = json_object();
    for (int i = 0; i < REASON_COUNT; i++) {
        uint64_t value = counter_get_reason((enum reason)i);
        if (value > 0) {
            json_object_set_new(reasons, reason_name((enum reason)i),
                                json_integer((json_int_t)value));
        }
    }
    return reasons;
}

/* The members of the fleet as this node sees them. */
static json_t *
node_status_members(node *n)
{
    json_t *members = json_array();
    snapshot_read_lock();
    const snapshot_fleet *fleet = snapshot_get_fleet(n->snapshot);
    for (size_t i = 0; i < fleet->count; i++) {
        const swim_member *entry = &fleet->entries[i];
        json_array_append_new(
            members,
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:s}", "name", entry->name,
                      "service", entry->service, "availability_zone",
                      entry->zone, "address", entry->address, "callers_port",
                      (int)entry->callers_port, "state",
                      swim_state_name(entry->state)));
    }
    snapshot_read_unlock();
    return members;
}

/* Version of the active configuration; 0 if there is none. */
static uint64_t
node_status_config_version(node *n)
{
    snapshot_read_lock();
    uint64_t version = snapshot_get_config(n->snapshot)->version;
    snapshot_read_unlock();
    return version;
}

/* Load and state flags of this node and its target. */
static json_t *
node_status_load(node *n)
{
    const node_load *load = &n->load;
    return json_pack(
        "{s:i,s:i,s:i,s:i,s:i,s:b,s:b,s:b}", "callers",
        atomic_load(&load->callers), "serving", atomic_load(&load->serving),
        "limit", atomic_load(&load->limit), "slots", atomic_load(&load->slots),
        "level", atomic_load(&load->level), "ready", atomic_load(&load->ready),
        "draining", atomic_load(&load->draining), "stopping",
        atomic_load(&load->stopping));
}

/* CPU time (microseconds) and peak memory (KiB) of this process. */
static json_t *
node_status_cost(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    json_int_t cpu_us =
        (json_int_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
            CLOCK_US_PER_S +
        usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return json_pack("{s:I,s:I}", "cpu_us", cpu_us, "peak_memory_kb",
                     (json_int_t)usage.ru_maxrss);
}

/* The complete status, as returned by /lav/status; free() the text. */
char *
node_status_format(node *n)
{
    json_t *status = json_pack(
        "{s:s,s:s,s:s,s:I,s:I,s:o,s:o,s:o,s:o,s:o}", "node", n->settings.name,
        "service", n->settings.service, "availability_zone", n->settings.zone,
        "incarnation", (json_int_t)n->incarnation, "config_version",
        (json_int_t)node_status_config_version(n), "load", node_status_load(n),
        "cost", node_status_cost(), "counters", node_status_counters(),
        "reasons", node_status_reasons(), "members", node_status_members(n));

    char *text = json_dumps(status, JSON_COMPACT);
    json_decref(status);
    return text;
}

/* The logged decisions on one request, as returned by /lav/explain; free()
 * the text. */
char *
node_status_format_decisions(node *n, const char *request)
{
    json_t *reply =
        json_pack("{s:s,s:o}", "node", n->settings.name, "decisions",
                  decision_log_find(n->decisions, request));
    char *text = json_dumps(reply, JSON_COMPACT);
    json_decref(reply);
    return text;
}

/* Reply to a report of the local target: calls in progress and state flags;
 * free() the text. */
char *
node_status_format_target(node *n)
{
    json_t *reply = json_pack(
        "{s:i,s:i,s:b,s:b,s:b}", "serving", atomic_load(&n->load.serving),
        "callers", atomic_load(&n->load.callers), "draining",
        atomic_load(&n->load.draining), "drained",
        atomic_load(&n->load.drained), "ready", atomic_load(&n->load.ready));
    char *text = json_dumps(reply, JSON_COMPACT);
    json_decref(reply);
    return text;
}
