#include "lav/json_split.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

#define JSON_SPLIT_WHITESPACE " \t\r\n"
#define JSON_SPLIT_INT_SIZE 24 /* bytes of a 64-bit integer, with the NUL */

/* Results of a parser callback. */
#define JSON_SPLIT_CONTINUE 1
#define JSON_SPLIT_CANCEL 0

struct json_parts {
    GArray *list; /* of json_part */
};

typedef struct json_splitter {
    yajl_handle parser;
    GArray *list;
    const char *text;
    size_t depth;    /* of the containers that are open */
    size_t start;    /* offset after the previous part, or its name */
    json_part named; /* name of the member whose value follows */
    bool is_scalar;  /* the text is no object or array */
    bool is_full;
} json_splitter;

/* Ends a part at the parser's position.  Only a separator and whitespace can
 * stand before it. */
static int
json_split_add(json_splitter *s)
{
    size_t end = yajl_get_bytes_consumed(s->parser);
    json_part part = s->named;
    while (s->start < end &&
           strchr(JSON_SPLIT_WHITESPACE ",:", s->text[s->start]) != NULL) {
        s->start++;
    }
    part.text = s->text + s->start;
    part.length = end - s->start;
    s->start = end;
    if (s->list->len == JSON_SPLIT_PARTS_MAX) {
        s->is_full = true;
        return JSON_SPLIT_CANCEL;
    }
    g_array_append_val(s->list, part);
    return JSON_SPLIT_CONTINUE;
}

/* A value that is neither an object nor an array ends. */
static int
json_split_end_scalar(json_splitter *s)
{
    if (s->depth == 0) {
        s->is_scalar = true;
        return JSON_SPLIT_CANCEL;
    }
    return s->depth == 1 ? json_split_add(s) : JSON_SPLIT_CONTINUE;
}

static int
json_split_on_null(void *payload)
{
    return json_split_end_scalar(payload);
}

static int
json_split_on_boolean(void *payload, int value)
{
    (void)value;
    return json_split_end_scalar(payload);
}

static int
json_split_on_number(void *payload, const char *text, size_t length)
{
    (void)text;
    (void)length;
    return json_split_end_scalar(payload);
}

static int
json_split_on_string(void *payload, const unsigned char *text, size_t length)
{
    (void)text;
    (void)length;
    return json_split_end_scalar(payload);
}

/* An object or an array begins. */
static int
json_split_on_start(void *payload)
{
    json_splitter *s = payload;
    s->depth++;
    if (s->depth == 1) {
        s->start = yajl_get_bytes_consumed(s->parser);
    }
    return JSON_SPLIT_CONTINUE;
}

/* An object or an array ends. */
static int
json_split_on_end(void *payload)
{
    json_splitter *s = payload;
    s->depth--;
    return s->depth == 1 ? json_split_add(s) : JSON_SPLIT_CONTINUE;
}

/* The name of a member.  Only one without escapes is kept: the parser's copy
 * of any other does not last. */
static int
json_split_on_key(void *payload, const unsigned char *name, size_t length)
{
    json_splitter *s = payload;
    if (s->depth == 1) {
        size_t end = yajl_get_bytes_consumed(s->parser);
        const char *in_text =
            s->text + end - 1 - length; /* before the quote */
        bool kept = length < end && (const char *)name == in_text;
        s->named = (json_part){.name = kept ? in_text : "",
                               .name_length = kept ? length : 0};
        s->start = end;
    }
    return JSON_SPLIT_CONTINUE;
}

static const yajl_callbacks json_split_callbacks = {
    .yajl_null = json_split_on_null,
    .yajl_boolean = json_split_on_boolean,
    .yajl_number = json_split_on_number,
    .yajl_string = json_split_on_string,
    .yajl_start_map = json_split_on_start,
    .yajl_map_key = json_split_on_key,
    .yajl_end_map = json_split_on_end,
    .yajl_start_array = json_split_on_start,
    .yajl_end_array = json_split_on_end,
};

/* Splits the text of an object or array.  The parts point into it and must not
 * outlive it.  Returns ERR_INVALID if it is malformed or neither of both,
 * ERR_FULL if it has more than JSON_SPLIT_PARTS_MAX parts, or
 * ERR_NO_MEMORY. */
int
json_split(json_parts **out, const char *text, size_t length, err *e)
{
    json_splitter s = {.text = text};
    s.parser = yajl_alloc(&json_split_callbacks, NULL, &s);
    if (s.parser == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "out of memory for a JSON parser");
    }
    s.list = g_array_new(FALSE, FALSE, sizeof(json_part));
    /* What the strings hold is checked when a part is decoded. */
    yajl_config(s.parser, yajl_dont_validate_strings, 1);
    yajl_status status =
        yajl_parse(s.parser, (const unsigned char *)text, length);
    size_t at = yajl_get_bytes_consumed(s.parser);
    if (status == yajl_status_ok) {
        status = yajl_complete_parse(s.parser);
    }
    int result = 0;
    if (s.is_full) {
        result =
            ERR_SET(e, ERR_FULL, "more than %d parts", JSON_SPLIT_PARTS_MAX);
    }
    else if (s.is_scalar || status != yajl_status_ok) {
        result = ERR_SET(e, ERR_INVALID, "%s at byte %zu",
                         s.is_scalar ? "neither an object nor an array"
                                     : "malformed JSON",
                         at);
    }
    yajl_free(s.parser);
    if (result < 0) {
        g_array_free(s.list, TRUE);
        return result;
    }
    *out = g_new(json_parts, 1);
    (*out)->list = s.list;
    return 0;
}

/* Frees the parts, but not the text; accepts NULL. */
void
json_parts_free(json_parts *parts)
{
    if (parts != NULL) {
        g_array_free(parts->list, TRUE);
        g_free(parts);
    }
}

/* Returns the number of parts. */
size_t
json_parts_count(const json_parts *parts)
{
    return parts->list->len;
}

/* Returns a part by its index, which must be below the count. */
json_part
json_parts_get(const json_parts *parts, size_t index)
{
    return g_array_index(parts->list, json_part, index);
}

/* Returns the last member of a name, as a decoder would; an empty part if
 * there is none, or no parts (NULL). */
json_part
json_parts_find(const json_parts *parts, const char *name)
{
    size_t length = strlen(name);
    for (size_t i = parts == NULL ? 0 : parts->list->len; i > 0; i--) {
        json_part part = json_parts_get(parts, i - 1);
        if (part.name_length == length && part.name != NULL &&
            memcmp(part.name, name, length) == 0) {
            return part;
        }
    }
    return (json_part){0};
}

/* Whether the value is an array. */
bool
json_part_is_array(const json_part *part)
{
    return part->length > 0 && part->text[0] == '[';
}

/* Whether the value is `true`. */
bool
json_part_is_true(const json_part *part)
{
    return part->length == strlen("true") &&
           memcmp(part->text, "true", part->length) == 0;
}

/* Reads an integer; ERR_INVALID if the value is another one or out of
 * range. */
int
json_part_get_int(int64_t *out, const json_part *part)
{
    char text[JSON_SPLIT_INT_SIZE];
    gint64 value = 0;
    if (part->length == 0 || part->length >= sizeof(text)) {
        return ERR_INVALID;
    }
    memcpy(text, part->text, part->length);
    text[part->length] = '\0';
    if (!g_ascii_string_to_signed(text, 10, G_MININT64, G_MAXINT64, &value,
                                  NULL)) {
        return ERR_INVALID;
    }
    *out = value;
    return 0;
}

/* Decodes the value; NULL if jansson cannot read it, or if the part is
 * empty. */
json_t *
json_part_decode(const json_part *part)
{
    return part->length == 0
               ? NULL
               : json_loadb(part->text, part->length, JSON_DECODE_ANY, NULL);
}
