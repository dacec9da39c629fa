/* Objects of the store and records of nodes, as other writers may leave
 * them. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "platform_object.h"
#include "record_json.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

typedef struct object_case {
    const char *text;
    const char *name; /* NULL: cannot be used */
    int64_t revision;
    const char *spec;
} object_case;

static const object_case object_cases[] = {
    {"{\"metadata\":{\"name\":\"n\",\"revision\":7},\"spec\":{\"a\":1}}", "n",
     7, "{\"a\":1}"},
    {"{\"spec\":[1e400],\"metadata\":{\"revision\":7,\"name\":\"n\"}}", "n", 7,
     "[1e400]"},
    {"{\"metadata\":{\"name\":\"n\",\"odd\":1e400}}", "n", 0, ""},
    {"{\"metadata\":{\"name\":\"n\",\"revision\":1e99}}", "n", 0, ""},
    {"{\"metadata\":{\"name\":\"n\",\"revision\":-1}}", "n", 0, ""},
    {"{\"metadata\":{\"name\":\"n\",\"revision\":99999999999999999999}}", "n",
     0, ""},
    {"{\"metadata\":{\"name\":\"n\",\"revision\":\"7\"}}", "n", 0, ""},
    {"{\"metadata\":{\"name\":\"\\u006e\"}}", "n", 0, ""},
    {"{\"metadata\":{\"name\":\"\"}}", NULL, 0, ""},
    {"{\"metadata\":{\"name\":5}}", NULL, 0, ""},
    {"{\"metadata\":{\"name\":\"\xff\"}}", NULL, 0, ""},
    {"{\"metadata\":{\"name\":\"\\ud800\"}}", NULL, 0, ""},
    {"{\"metadata\":{\"name\":\"a\\u0000b\"}}", NULL, 0, ""},
    {"{\"metadata\":{}}", NULL, 0, ""},
    {"{\"metadata\":[]}", NULL, 0, ""},
    {"{\"metadata\":5}", NULL, 0, ""},
    {"{\"spec\":{}}", NULL, 0, ""},
    {"{}", NULL, 0, ""},
    {"[]", NULL, 0, ""},
    {"null", NULL, 0, ""},
    {"{", NULL, 0, ""},
    {"", NULL, 0, ""},
};

Test(entries, objects)
{
    for (size_t i = 0; i < COUNT(object_cases); i++) {
        const object_case *c = &object_cases[i];
        err e = ERR_INIT;
        platform_object object;
        json_part value = {.text = c->text, .length = strlen(c->text)};
        int result = platform_object_decode(&object, &value, &e);
        cr_expect_eq(result == 0, c->name != NULL, "%s", c->text);
        if (result == 0) {
            cr_expect_str_eq(object.name, c->name, "%s", c->text);
            cr_expect_eq(object.revision, c->revision, "%s", c->text);
            cr_expect(
                object.spec.length == strlen(c->spec) &&
                    memcmp(object.spec.text, c->spec, object.spec.length) == 0,
                "%s", c->text);
        }
        else {
            cr_expect_neq(e.message[0], '\0', "%s", c->text);
        }
        platform_object_clear(&object);
    }
}

/* A record with all its fields, of which one is replaced. */
typedef struct record_case {
    const char *field;
    const char *value;
    bool valid;
} record_case;

#define LONG_NAME                                                             \
    "\"012345678901234567890123456789012345678901234567890123456789012345678" \
    "9"                                                                       \
    "0123456789012345678901234567890123456789\""

static const record_case record_cases[] = {
    {"node", "\"n\"", true},
    {"node", "\"\xc3\xa4\"", true},
    {"node", "\"\"", false},
    {"node", "\"a b\"", false},
    {"node", "\"a\\r\\nb\"", false},
    {"node", LONG_NAME, false},
    {"node", "5", false},
    {"service", "\"\"", false},
    {"service", "null", false},
    {"service", LONG_NAME, false},
    {"zone", "\"\"", true},
    {"zone", "5", false},
    {"target", "\"i-1\"", true},
    {"target", "\"\"", false},
    {"target", "\"a b\"", false},
    {"target", "\"a\\r\\nX-Header: b\"", false},
    {"target", "\"a\\u007fb\"", false},
    {"target", LONG_NAME, false},
    {"peer", "\"127.0.0.1:65535\"", true},
    {"peer", "\"127.0.0.1:65536\"", false},
    {"peer", "\"127.0.0.1:0\"", false},
    {"peer", "\"127.0.0.1:-1\"", false},
    {"peer", "\"127.0.0.1\"", false},
    {"peer", "\"host:80\"", false},
    {"started_ms", "0", true},
    {"started_ms", "-1", false},
    {"started_ms", "9223372036854775807", false},
    {"incarnation", "0", false},
    {"incarnation", "9223372036854775807", false},
    {"sequence", "-1", false},
    {"slots", "0", true},
    {"slots", "-1", false},
    {"slots", "100001", false},
    {"slots", "4294967297", false},
    {"slots", "1.0", false},
    {"state", "\"ready\"", true},
    {"state", "\"resting\"", false},
    {"state", "5", false},
};

static json_t *
valid_record(void)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "node", "n",
                     "service", "s", "zone", "z", "peer", "127.0.0.1:80",
                     "target", "i-1", "started_ms", 1000, "incarnation", 5,
                     "sequence", 1, "state", "ready", "slots", 40);
}

Test(entries, records)
{
    for (size_t i = 0; i < COUNT(record_cases); i++) {
        const record_case *c = &record_cases[i];
        err e = ERR_INIT;
        instance_record record;
        json_t *value = valid_record();
        json_t *odd = json_loads(c->value, JSON_DECODE_ANY, NULL);
        cr_assert_not_null(odd, "%s", c->value);
        json_object_set_new(value, c->field, odd);
        int result = record_json_decode(&record, value, &e);
        cr_expect_eq(result == 0, c->valid, "%s = %s: %s", c->field, c->value,
                     e.message);
        json_decref(value);
    }
}

/* A node whose target has not registered has no name for it. */
Test(entries, records_without_a_target)
{
    static const char *const states[] = {"starting", "gone", "draining",
                                         "ready"};
    for (size_t i = 0; i < COUNT(states); i++) {
        instance_record record;
        json_t *value = valid_record();
        json_object_set_new(value, "target", json_string(""));
        json_object_set_new(value, "state", json_string(states[i]));
        cr_expect_eq(record_json_decode(&record, value, NULL) == 0,
                     strcmp(states[i], "starting") == 0, "%s", states[i]);
        json_decref(value);
    }
}
