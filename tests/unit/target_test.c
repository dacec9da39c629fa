/* Parsing of the announcement that a target sends to its node; the message is
 * external input. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "target_info.h"

typedef struct target_info_case {
    const char *text;
    target_info expected;
} target_info_case;

static const target_info_case target_info_cases[] = {
    {"{\"url\": \"http://a:1\", \"slots\": 50, \"draining\": false, "
     "\"cold\": true, \"start\": 17}",
     {"http://a:1", 50, false, true, 17}},
    {"{\"url\": \"\", \"slots\": 512, \"draining\": true, \"cold\": false, "
     "\"start\": 0}",
     {"", 512, true, false, 0}},
};

Test(target, an_announcement_is_parsed)
{
    for (size_t k = 0;
         k < sizeof(target_info_cases) / sizeof(target_info_cases[0]); k++) {
        const target_info_case *c = &target_info_cases[k];
        target_info parsed;
        err e = ERR_INIT;
        cr_assert_eq(target_info_parse(&parsed, c->text, &e), 0, "%s",
                     c->text);
        cr_assert_str_eq(parsed.url, c->expected.url);
        cr_assert_eq(parsed.slots, c->expected.slots);
        cr_assert_eq(parsed.draining, c->expected.draining);
        cr_assert_eq(parsed.cold, c->expected.cold);
        cr_assert_eq(parsed.start, c->expected.start);
    }
}

static const char *const target_info_invalid[] = {
    "",
    "[]",
    "{\"url\": \"http://a:1\"",
    /* without `start`; with an unknown member; with a wrong type */
    "{\"url\": \"u\", \"slots\": 5, \"draining\": false, \"cold\": true}",
    "{\"url\": \"u\", \"slots\": 5, \"draining\": false, \"cold\": true, "
    "\"start\": 1, \"more\": 1}",
    "{\"url\": \"u\", \"slots\": \"5\", \"draining\": false, \"cold\": true, "
    "\"start\": 1}",
    /* one slot below and one above the range */
    "{\"url\": \"u\", \"slots\": 0, \"draining\": false, \"cold\": true, "
    "\"start\": 1}",
    "{\"url\": \"u\", \"slots\": 513, \"draining\": false, \"cold\": true, "
    "\"start\": 1}",
};

Test(target, an_invalid_announcement_is_refused)
{
    for (size_t k = 0;
         k < sizeof(target_info_invalid) / sizeof(target_info_invalid[0]);
         k++) {
        target_info parsed;
        err e = ERR_INIT;
        cr_assert_eq(target_info_parse(&parsed, target_info_invalid[k], &e),
                     ERR_INVALID, "%s", target_info_invalid[k]);
    }
}

/* A URL of the buffer's size leaves no space for the terminating NUL. */
Test(target, a_url_too_long_is_refused)
{
    char url[NODECFG_URL_SIZE + 1];
    char text[NODECFG_URL_SIZE + 128];
    target_info parsed;
    err e = ERR_INIT;
    for (size_t length = NODECFG_URL_SIZE - 1; length <= NODECFG_URL_SIZE;
         length++) {
        memset(url, 'u', length);
        url[length] = '\0';
        snprintf(text, sizeof(text),
                 "{\"url\": \"%s\", \"slots\": 1, \"draining\": false, "
                 "\"cold\": false, \"start\": 1}",
                 url);
        int expected = length < NODECFG_URL_SIZE ? 0 : ERR_INVALID;
        cr_assert_eq(target_info_parse(&parsed, text, &e), expected);
    }
}
