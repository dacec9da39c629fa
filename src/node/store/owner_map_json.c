#include "owner_map_json.h"

#include <jansson.h>

/* Parse one epoch; ERR_INVALID if it is malformed or has too many slots. */
static int
owner_map_json_parse_epoch(dedup_epoch *out, json_t *json)
{
    json_t *slots = json_object_get(json, "slots");
    json_t *from = json_object_get(json, "from");
    if (!json_is_array(slots) || !json_is_integer(from) ||
        json_array_size(slots) > DEDUP_EPOCH_SLOTS_MAX) {
        return ERR_INVALID;
    }
    out->from_ms = json_integer_value(from);
    out->slot_count = json_array_size(slots);
    for (size_t i = 0; i < out->slot_count; i++) {
        json_int_t seed = 0;
        json_int_t owner_incarnation = 0;
        if (json_unpack(json_array_get(slots, i), "[I,I]", &seed,
                        &owner_incarnation) != 0) {
            return ERR_INVALID;
        }
        out->slots[i] =
            (dedup_slot){(uint64_t)seed, (uint64_t)owner_incarnation};
    }
    return 0;
}

/* Parse the map; ERR_INVALID if it is malformed, has too many epochs,
 * or their start times decrease. */
static int
owner_map_json_parse_root(dedup_owner_map *out, json_t *json)
{
    json_t *epochs = json_object_get(json, "epochs");
    json_t *horizon = json_object_get(json, "horizon");
    if (!json_is_array(epochs) || !json_is_integer(horizon) ||
        json_array_size(epochs) > DEDUP_EPOCHS_MAX) {
        return ERR_INVALID;
    }
    out->horizon_ms = json_integer_value(horizon);
    out->epoch_count = json_array_size(epochs);
    for (size_t i = 0; i < out->epoch_count; i++) {
        if (owner_map_json_parse_epoch(&out->epochs[i],
                                       json_array_get(epochs, i)) < 0) {
            return ERR_INVALID;
        }
        if (i > 0 && out->epochs[i].from_ms < out->epochs[i - 1].from_ms) {
            return ERR_INVALID;
        }
    }
    return 0;
}

/* Parse the text of a map; `version` is the version of the object.
 * ERR_INVALID if it is malformed. */
int
owner_map_json_parse(dedup_owner_map *out, const char *text, uint64_t version,
                     err *e)
{
    json_t *json = json_loads(text, 0, NULL);
    *out = (dedup_owner_map){.version = version};
    int result = owner_map_json_parse_root(out, json);
    json_decref(json);
    if (result < 0) {
        return ERR_SET(e, result, "the owner map is malformed");
    }
    return 0;
}

/* Format a map; free() the text. NULL without memory. */
char *
owner_map_json_format(const dedup_owner_map *map)
{
    json_t *epochs = json_array();
    for (size_t i = 0; i < map->epoch_count; i++) {
        const dedup_epoch *epoch = &map->epochs[i];
        json_t *slots = json_array();
        for (size_t j = 0; j < epoch->slot_count; j++) {
            json_array_append_new(
                slots,
                json_pack("[I,I]", (json_int_t)epoch->slots[j].seed,
                          (json_int_t)epoch->slots[j].owner_incarnation));
        }
        json_array_append_new(epochs, json_pack("{s:I,s:o}", "from",
                                                (json_int_t)epoch->from_ms,
                                                "slots", slots));
    }
    json_t *json = json_pack("{s:I,s:o}", "horizon",
                             (json_int_t)map->horizon_ms, "epochs", epochs);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}
