#include "store_sync_member.h"

#include <jansson.h>
#include <stdio.h>

/* Format a member object; `refreshed_ms` is the wall-clock time of the write.
 * free() the text; NULL without memory. */
char *
store_sync_member_format(const swim_member *entry, int64_t refreshed_ms)
{
    json_t *json = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I}", "name", entry->name,
        "service", entry->service, "availability_zone", entry->zone, "address",
        entry->address, "peer_port", (int)entry->peer_port, "control_port",
        (int)entry->control_port, "callers_port", (int)entry->callers_port,
        "incarnation", (json_int_t)entry->incarnation, "refreshed",
        (json_int_t)refreshed_ms);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* Parse a member object; ERR_INVALID if it is malformed. Its state is
 * SWIM_STARTING until the member reports its own state by gossip. */
int
store_sync_member_parse(swim_member *out, int64_t *out_refreshed_ms,
                        const char *text)
{
    const char *name = NULL;
    const char *service = NULL;
    const char *zone = NULL;
    const char *address = NULL;
    int peer_port = 0;
    int control_port = 0;
    int callers_port = 0;
    json_int_t incarnation = 0;
    json_int_t refreshed = 0;
    json_t *json = json_loads(text, 0, NULL);
    int failed = json_unpack(
        json, "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I}", "name", &name,
        "service", &service, "availability_zone", &zone, "address", &address,
        "peer_port", &peer_port, "control_port", &control_port, "callers_port",
        &callers_port, "incarnation", &incarnation, "refreshed", &refreshed);
    if (failed != 0) {
        json_decref(json);
        return ERR_INVALID;
    }
    *out = (swim_member){0};
    snprintf(out->name, sizeof(out->name), "%s", name);
    snprintf(out->service, sizeof(out->service), "%s", service);
    snprintf(out->zone, sizeof(out->zone), "%s", zone);
    snprintf(out->address, sizeof(out->address), "%s", address);
    out->peer_port = (uint16_t)peer_port;
    out->control_port = (uint16_t)control_port;
    out->callers_port = (uint16_t)callers_port;
    out->incarnation = (uint64_t)incarnation;
    out->state = SWIM_STARTING;
    *out_refreshed_ms = refreshed;
    json_decref(json);
    return 0;
}
