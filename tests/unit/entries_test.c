/* Objects of the store and records of nodes, as other writers may leave
 * them. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "platform_object.h"

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
