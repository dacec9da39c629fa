/* Splitting of JSON whose parts may be unreadable for a decoder. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lav/json_split.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define DEEP 200000
#define PARTS_MAX 6

typedef struct split_case {
    const char *text;
    int count; /* -1: cannot be split */
    const char *parts[PARTS_MAX];
} split_case;

static const split_case split_cases[] = {
    {"[]", 0, {0}},
    {"{}", 0, {0}},
    {" [ 1 , -2.5e+3,\"a\", true,null ,[ ] ] ",
     6,
     {"1", "-2.5e+3", "\"a\"", "true", "null", "[ ]"}},
    {"{\"a\":1,\"b\" : {\"a\":[2,3]} ,\"c\":\"\"}",
     3,
     {"1", "{\"a\":[2,3]}", "\"\""}},
    {"[{\"x\":1e400},{\"x\":123456789012345678901234567890123456789}]",
     2,
     {"{\"x\":1e400}", "{\"x\":123456789012345678901234567890123456789}"}},
    {"[\"\\ud800\",\"\\u0000\",\"\\\"]\",\"\xff\"]",
     4,
     {"\"\\ud800\"", "\"\\u0000\"", "\"\\\"]\"", "\"\xff\""}},
    {"{\"\\u0061\":1,\"\":2}", 2, {"1", "2"}},
    {"", -1, {0}},
    {"5", -1, {0}},
    {"\"a\"", -1, {0}},
    {"[1", -1, {0}},
    {"[1}", -1, {0}},
    {"{\"a\"}", -1, {0}},
    {"[1] 2", -1, {0}},
    {"[1,]", -1, {0}},
    {"[01]", -1, {0}},
};

Test(json_split, parts)
{
    for (size_t i = 0; i < COUNT(split_cases); i++) {
        const split_case *c = &split_cases[i];
        err e = ERR_INIT;
        json_parts *parts = NULL;
        int result = json_split(&parts, c->text, strlen(c->text), &e);
        cr_assert_eq(result == 0, c->count >= 0, "%s: %s", c->text, e.message);
        if (c->count < 0) {
            cr_expect_neq(e.message[0], '\0', "%s", c->text);
            continue;
        }
        cr_assert_eq(json_parts_count(parts), (size_t)c->count, "%s", c->text);
        for (int j = 0; j < c->count; j++) {
            json_part part = json_parts_get(parts, (size_t)j);
            cr_expect(part.length == strlen(c->parts[j]) &&
                          memcmp(part.text, c->parts[j], part.length) == 0,
                      "%s: \"%.*s\"", c->text, (int)part.length, part.text);
        }
        json_parts_free(parts);
    }
}

/* Names that need decoding are not found; of equal names, the last counts. */
Test(json_split, members_by_name)
{
    const char *text = "{\"a\":1,\"ab\":2,\"\\u0061b\":3,\"a\":4,\"\":5}";
    json_parts *parts = NULL;
    cr_assert_eq(json_split(&parts, text, strlen(text), NULL), 0);
    static const struct {
        const char *name;
        int64_t value; /* -1: not found */
    } cases[] = {{"a", 4}, {"ab", 2}, {"b", -1}, {"", 5}, {"abc", -1}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        int64_t value = -1;
        json_part part = json_parts_find(parts, cases[i].name);
        cr_expect_eq(json_part_get_int(&value, &part),
                     cases[i].value < 0 ? ERR_INVALID : 0, "%s",
                     cases[i].name);
        cr_expect_eq(value, cases[i].value, "%s", cases[i].name);
    }
    json_part none = json_parts_find(NULL, "a");
    cr_expect_eq(none.length, 0);
    json_parts_free(parts);
}

typedef struct int_case {
    const char *text;
    bool valid;
    int64_t value;
} int_case;

static const int_case int_cases[] = {
    {"[0]", true, 0},
    {"[-7]", true, -7},
    {"[9223372036854775807]", true, INT64_MAX},
    {"[9223372036854775808]", false, 0},
    {"[123456789012345678901234567890]", false, 0},
    {"[1.0]", false, 0},
    {"[1e3]", false, 0},
    {"[\"1\"]", false, 0},
    {"[true]", false, 0},
};

Test(json_split, integers)
{
    for (size_t i = 0; i < COUNT(int_cases); i++) {
        const int_case *c = &int_cases[i];
        json_parts *parts = NULL;
        int64_t value = 0;
        cr_assert_eq(json_split(&parts, c->text, strlen(c->text), NULL), 0);
        json_part part = json_parts_get(parts, 0);
        cr_expect_eq(json_part_get_int(&value, &part) == 0, c->valid, "%s",
                     c->text);
        cr_expect_eq(value, c->value, "%s", c->text);
        json_parts_free(parts);
    }
}

/* Deep nesting neither overflows the stack nor hides what stands beside it. */
Test(json_split, deep_nesting)
{
    GString *text = g_string_new("[1,");
    for (int i = 0; i < DEEP; i++) {
        g_string_append(text, i % 2 == 0 ? "[" : "{\"a\":");
    }
    g_string_append(text, "0");
    for (int i = DEEP - 1; i >= 0; i--) {
        g_string_append_c(text, i % 2 == 0 ? ']' : '}');
    }
    g_string_append(text, ",2]");
    json_parts *parts = NULL;
    cr_assert_eq(json_split(&parts, text->str, text->len, NULL), 0);
    cr_assert_eq(json_parts_count(parts), 3);
    json_part deep = json_parts_get(parts, 1);
    cr_expect_null(json_part_decode(&deep));
    json_part last = json_parts_get(parts, 2);
    json_t *value = json_part_decode(&last);
    cr_expect_eq(json_integer_value(value), 2);
    json_decref(value);
    json_parts_free(parts);
    g_string_free(text, TRUE);
}

Test(json_split, too_many_parts)
{
    GString *text = g_string_new("[0");
    for (int i = 0; i < JSON_SPLIT_PARTS_MAX; i++) {
        g_string_append(text, ",0");
    }
    g_string_append(text, "]");
    json_parts *parts = NULL;
    cr_expect_eq(json_split(&parts, text->str, text->len, NULL), ERR_FULL);
    g_string_free(text, TRUE);
}

/* Fuzzing: changed and cut texts.  What can be split has parts that lie in the
 * text, one after the other. */
Test(json_split, random_bytes)
{
    GRand *random = g_rand_new_with_seed(20261205);
    for (int round = 0; round < 30000; round++) {
        const char *valid =
            split_cases[(size_t)round % COUNT(split_cases)].text;
        gint32 length = (gint32)strlen(valid);
        char *text = g_memdup2(valid, (gsize)length + 1);
        for (int i = 0; length > 0 && i < round % 4; i++) {
            text[g_rand_int_range(random, 0, length)] =
                (char)g_rand_int_range(random, 0, 256);
        }
        size_t kept = (size_t)g_rand_int_range(random, length / 2, length + 1);
        json_parts *parts = NULL;
        const char *before = text;
        int result = json_split(&parts, text, kept, NULL);
        for (size_t i = 0; result == 0 && i < json_parts_count(parts); i++) {
            json_part part = json_parts_get(parts, i);
            cr_assert(part.length > 0 && part.text > before &&
                      part.text + part.length < text + kept);
            before = part.text + part.length - 1;
            json_decref(json_part_decode(&part));
        }
        json_parts_free(parts);
        g_free(text);
    }
    g_rand_free(random);
}
