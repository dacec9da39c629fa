/*
 * json_split: finds the members of a JSON object, or the elements of an array,
 * as parts of the text, without decoding them.
 *
 * Meant for messages of which other writers wrote parts.  JSON that jansson
 * refuses, such as numbers out of range, lone surrogates and deep nesting,
 * makes the whole text unreadable if it is decoded at once; split first, only
 * the part that holds it is.  Time is linear in the length of the text, and
 * nesting costs one byte of memory a level.
 */
#ifndef LAV_JSON_SPLIT_H
#define LAV_JSON_SPLIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define JSON_SPLIT_PARTS_MAX 65536 /* of one object or array */

/* A piece of the text that was split; empty: there is none. */
typedef struct json_part {
    const char *name; /* of a member, not terminated; NULL: an element */
    size_t name_length;
    const char *text; /* the value, as JSON */
    size_t length;
} json_part;

typedef struct json_parts json_parts;

int json_split(json_parts **out, const char *text, size_t length, err *e);
void json_parts_free(json_parts *parts);
size_t json_parts_count(const json_parts *parts);
json_part json_parts_get(const json_parts *parts, size_t index);
json_part json_parts_find(const json_parts *parts, const char *name);

bool json_part_is_array(const json_part *part);
bool json_part_is_true(const json_part *part);
int json_part_get_int(int64_t *out, const json_part *part);
json_t *json_part_decode(const json_part *part);

#ifdef __cplusplus
}
#endif

#endif
