#include "own.h"

#include <jansson.h>

static int
own_parse_epoch(amo_epoch *out, json_t *json)
{
    json_t *members = json_object_get(json, "members");
    json_t *from = json_object_get(json, "from");
    if (!json_is_array(members) || !json_is_integer(from) ||
        json_array_size(members) > AMO_MEMBERS_MAX) {
        return ERR_INVALID;
    }
    out->from_ms = json_integer_value(from);
    out->member_count = json_array_size(members);
    for (size_t i = 0; i < out->member_count; i++) {
        out->members[i] =
            (uint64_t)json_integer_value(json_array_get(members, i));
    }
    return 0;
}

static int
own_parse_json(amo_map *out, json_t *json)
{
    json_t *epochs = json_object_get(json, "epochs");
    json_t *horizon = json_object_get(json, "horizon");
    if (!json_is_array(epochs) || !json_is_integer(horizon) ||
        json_array_size(epochs) > AMO_EPOCHS_MAX) {
        return ERR_INVALID;
    }
    out->horizon_ms = json_integer_value(horizon);
    out->epoch_count = json_array_size(epochs);
    for (size_t i = 0; i < out->epoch_count; i++) {
        if (own_parse_epoch(&out->epochs[i], json_array_get(epochs, i)) < 0) {
            return ERR_INVALID;
        }
        if (i > 0 && out->epochs[i].from_ms < out->epochs[i - 1].from_ms) {
            return ERR_INVALID;
        }
    }
    return 0;
}

/* Parse the object's text; `version` is the platform's. */
int
own_parse(amo_map *out, const char *text, uint64_t version, err *e)
{
    json_t *json = json_loads(text, 0, NULL);
    *out = (amo_map){.version = version};
    int result = own_parse_json(out, json);
    json_decref(json);
    if (result < 0) {
        return err_set(e, result, "the map of owners is not of a known form");
    }
    return 0;
}

/* Text of a map; free() after, NULL without memory. */
char *
own_format(const amo_map *map)
{
    json_t *epochs = json_array();
    for (size_t i = 0; i < map->epoch_count; i++) {
        const amo_epoch *epoch = &map->epochs[i];
        json_t *members = json_array();
        for (size_t j = 0; j < epoch->member_count; j++) {
            json_array_append_new(members,
                                  json_integer((json_int_t)epoch->members[j]));
        }
        json_array_append_new(epochs, json_pack("{s:I,s:o}", "from",
                                                (json_int_t)epoch->from_ms,
                                                "members", members));
    }
    json_t *json = json_pack("{s:I,s:o}", "horizon",
                             (json_int_t)map->horizon_ms, "epochs", epochs);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}
