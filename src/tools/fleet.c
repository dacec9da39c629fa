#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/objstore.h"
#include "store_sync.h"
#include "store_sync_member.h"

#define FLEET_STALE_MS 180000 /* an older object is no member */
#define FLEET_TIMEOUT_S 2
#define FLEET_ANSWER_MAX (4 * 1024 * 1024)

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

static int
fleet_listed(const char *key, uint64_t version, const char *value,
             void *payload)
{
    (void)key;
    (void)version;
    swim_member entry;
    int64_t refreshed_ms = 0;
    if (store_sync_member_parse(&entry, &refreshed_ms, value) == 0 &&
        clock_wall_ms() - refreshed_ms < FLEET_STALE_MS) {
        fleet_add(payload, entry.name, entry.address, entry.callers_port,
                  entry.control_port);
    }
    return 0;
}

static int
fleet_from_platform(fleet *out, const char *url, err *e)
{
    objstore *platform = NULL;
    int result = objstore_new(&platform, url, e);
    if (result == 0) {
        result = objstore_list(platform, STORE_SYNC_MEMBER_PREFIX,
                               fleet_listed, out, e);
    }
    objstore_free(platform);
    return result;
}

static int
fleet_from_node(fleet *out, const char *url, err *e)
{
    fleet_node asked = {0};
    size_t index;
    json_t *member;
    snprintf(asked.url, sizeof(asked.url), "%s", url);
    json_t *status = fleet_get_json(&asked, "/lav/status");
    if (status == NULL) {
        return ERR_SET(e, ERR_UNAVAILABLE, "no answer of %s", url);
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

/* Find the nodes: by the platform's list, or by the view of one node where
 * `node` (its callers' address, "http://...") is given. */
int
fleet_discover(fleet *out, const char *platform, const char *node, err *e)
{
    out->count = 0;
    if (node != NULL) {
        return fleet_from_node(out, node, e);
    }
    return fleet_from_platform(out, platform, e);
}

/* Ask a node for a JSON document; NULL without an answer. */
json_t *
fleet_get_json(const fleet_node *node, const char *path)
{
    char *text = NULL;
    if (http_sync_get_text(&text, node->url, path, FLEET_TIMEOUT_S,
                           FLEET_ANSWER_MAX) < 0) {
        return NULL;
    }
    json_t *json = json_loads(text, 0, NULL);
    free(text);
    return json;
}
