#include "record_json.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "http_listener.h"

#define RECORD_JSON_ADDRESS_SIZE 32 /* bytes, with the NUL */

/* Returns the address at which other nodes reach a node. */
struct sockaddr_in
record_json_address(const instance_record *record)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_addr.s_addr = record->ip,
                                .sin_port = record->port};
}

/* Encodes a record as a new JSON object, which the caller releases. */
json_t *
record_json_encode(const instance_record *record)
{
    char address[RECORD_JSON_ADDRESS_SIZE];
    struct sockaddr_in peer_address = record_json_address(record);
    http_listener_format_address(address, sizeof(address), &peer_address);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:i}", "node", record->node,
        "service", record->service, "zone", record->zone, "peer", address,
        "target", record->instance, "started_ms", (json_int_t)record->born_ms,
        "incarnation", (json_int_t)record->incarnation, "sequence",
        (json_int_t)record->sequence, "state",
        instance_state_name(record->state), "slots", record->slots);
}

/* Copies a string; false if it does not fit. */
static bool
record_json_copy(char *out, size_t size, const char *text)
{
    return g_strlcpy(out, text, size) < size;
}

/* Copies a name of a node or an instance; false if it is none. */
static bool
record_json_copy_name(char *out, const char *text)
{
    g_strlcpy(out, text, INSTANCE_NAME_SIZE);
    return instance_name_is_valid(text);
}

/* Decodes the record of another node; ERR_INVALID with a message if a field is
 * missing, has the wrong type or is out of range.  Only a node whose target
 * has not registered yet has no name for it.  The bound on an incarnation lets
 * it always be incremented. */
int
record_json_decode(instance_record *out, json_t *value, err *e)
{
    const char *node = NULL;
    const char *service = NULL;
    const char *zone = NULL;
    const char *peer = NULL;
    const char *target = NULL;
    const char *state = NULL;
    json_int_t started_ms = 0;
    json_int_t incarnation = 0;
    json_int_t sequence = 0;
    json_int_t slots = 0;
    json_error_t error;
    *out = (instance_record){0};
    if (json_unpack_ex(value, &error, 0,
                       "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:I}", "node",
                       &node, "service", &service, "zone", &zone, "peer",
                       &peer, "target", &target, "started_ms", &started_ms,
                       "incarnation", &incarnation, "sequence", &sequence,
                       "state", &state, "slots", &slots) < 0) {
        return ERR_SET(e, ERR_INVALID, "invalid node record: %s", error.text);
    }
    struct sockaddr_in peer_address;
    if (!record_json_copy_name(out->node, node) ||
        !record_json_copy(out->service, sizeof(out->service), service) ||
        out->service[0] == '\0' ||
        !record_json_copy(out->zone, sizeof(out->zone), zone) ||
        http_listener_parse_address(&peer_address, peer) < 0 ||
        instance_state_parse(&out->state, state) < 0 ||
        (!record_json_copy_name(out->instance, target) &&
         (target[0] != '\0' || out->state != INSTANCE_STARTING)) ||
        slots < 0 || slots > INSTANCE_SLOTS_MAX || started_ms < 0 ||
        started_ms > INSTANCE_TIME_MS_MAX || incarnation <= 0 ||
        incarnation > INSTANCE_TIME_MS_MAX || sequence < 0) {
        return ERR_SET(e, ERR_INVALID,
                       "invalid node record: a value is out of range");
    }
    out->ip = peer_address.sin_addr.s_addr;
    out->port = peer_address.sin_port;
    out->slots = (int)slots;
    out->born_ms = started_ms;
    out->incarnation = (uint64_t)incarnation;
    out->sequence = (uint64_t)sequence;
    return 0;
}
