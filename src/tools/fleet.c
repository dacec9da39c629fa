#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/objstore.h"
#include "store_sync.h"
#include "store_sync_member.h"

#define FLEET_MEMBER_TTL_MS 180000 /* older member records are ignored */
#define FLEET_TIMEOUT_S 2
#define FLEET_RESPONSE_SIZE_MAX (4 * 1024 * 1024)

/* Append a node; ignored when the list is full. */
static void
fleet_add(fleet *out, const char *name, const char *address, int port,
          int control_port)
{
    if (out->count == SWIM_MEMBERS_MAX) {
        return;
    }
    fleet_node *node = &out->nodes[out->count++];
    snprintf(node->name, sizeof(node->name), "%s", name);
    snprintf(node->address, sizeof(node->address), "%s", address);
    node->control_port = (uint16_t)control_port;
    snprintf(node->url, sizeof(node->url), "http://%s:%d", address, port);
}

/* Add the node of one member record, unless it is invalid or stale.  Always
 * returns 0, so that the listing goes on. */
static int
fleet_on_member(const char *key, uint64_t version, const char *value,
                void *payload)
{
    (void)key;
    (void)version;
    swim_member entry;
    int64_t refreshed_ms = 0;
    if (store_sync_member_parse(&entry, &refreshed_ms, value) == 0 &&
        clock_wall_ms() - refreshed_ms < FLEET_MEMBER_TTL_MS) {
        fleet_add(payload, entry.name, entry.address, entry.callers_port,
                  entry.control_port);
    }
    return 0;
}

/* List the members in the platform's store. */
static int
fleet_from_platform(fleet *out, const char *url, err *e)
{
    objstore *platform = NULL;
    int result = objstore_new(&platform, url, e);
    if (result == 0) {
        result = objstore_list(platform, STORE_SYNC_MEMBER_PREFIX,
                               fleet_on_member, out, e);
    }
    objstore_free(platform);
    return result;
}

/* Take the members that one node lists, without dead ones and without control
 * ports; ERR_UNAVAILABLE if it does not respond. */
static int
fleet_from_node(fleet *out, const char *url, err *e)
{
    fleet_node queried = {0};
    size_t index;
    json_t *member;
    snprintf(queried.url, sizeof(queried.url), "%s", url);
    json_t *status = fleet_get_json(&queried, "/lav/status");
    if (status == NULL) {
        return ERR_SET(e, ERR_UNAVAILABLE, "no response from %s", url);
    }
    json_array_foreach(json_object_get(status, "members"), index, member)
    {
        const char *name = NULL;
        const char *address = NULL;
        const char *state = NULL;
        int port = 0;
        if (json_unpack(member, "{s:s,s:s,s:i,s:s}", "name", &name, "address",
                        &address, "callers_port", &port, "state",
                        &state) == 0 &&
            strcmp(state, "dead") != 0) {
            fleet_add(out, name, address, port, 0);
        }
    }
    json_decref(status);
    return 0;
}

/* Discover the nodes: from the member list of the node at `node` (URL of its
 * caller-facing listener, "http://...") if given, else from the platform. */
int
fleet_discover(fleet *out, const char *platform, const char *node, err *e)
{
    out->count = 0;
    if (node != NULL) {
        return fleet_from_node(out, node, e);
    }
    return fleet_from_platform(out, platform, e);
}

/* Fetch a JSON document from a node; NULL if there is no response within
 * FLEET_TIMEOUT_S or it is not valid JSON.  The caller releases it. */
json_t *
fleet_get_json(const fleet_node *node, const char *path)
{
    char *text = NULL;
    if (http_sync_get_text(&text, node->url, path, FLEET_TIMEOUT_S,
                           FLEET_RESPONSE_SIZE_MAX) < 0) {
        return NULL;
    }
    json_t *json = json_loads(text, 0, NULL);
    free(text);
    return json;
}
