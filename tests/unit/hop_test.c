/* Tables of cases for the header of messages between nodes. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "hop.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

TestSuite(hop);

/* The first of each is valid. */
static const char *const hop_responses[] = {
    "0 0 0 1 1 0 0 0 1 0 0 0 0",   "",
    "0 0 0 1 1 0 0 0 1 0 0 0",     "9 0 0 1 1 0 0 0 1 0 0 0 0",
    "0 999 0 1 1 0 0 0 1 0 0 0 0", "0 0 0 1 1 -1 0 0 1 0 0 0 0",
    "0 0 0 1 1 0 -1 0 1 0 0 0 0",  "0 0 0 1 1 0 0 1001 1 0 0 0 0",
    "0 0 0 1 1 0 0 0 9 0 0 0 0",   "0 0 0 1 1 0 0 0 1 0 0 -1 0",
    "0 0 0 1 1 0 0 0 1 0 0 0 -1",  "x y z 1 1 0 0 0 1 0 0 0 0"};
static const char *const hop_requests[] = {
    "1 1 1 1 0 80 0 1 1 1 0 250 i",
    "",
    "1 1 1 1 0 80 0 1 1 1 0 250",
    "1 1 -1 1 0 80 0 1 1 1 0 250 i",
    "1 1 1 0 0 80 0 1 1 1 0 250 i",
    "1 1 1 1 -1 80 0 1 1 1 0 250 i",
    "1 1 1 1 0 80 -1 1 1 1 0 250 i",
    "1 1 1 1 0 0 0 1 1 1 0 250 i",
    "1 1 1 1 0 70000 0 1 1 1 0 250 i",
    "1 1 99999999999999 1 0 80 0 1 1 1 0 250 i",
    "1 1 1 1 0 80 0 1 1 1 0 1001 i",
    "1 1 1 1 0 80 0 1 1 1 0 -1 i",
    "1 1 1 1 0 80 0 1 1 1 0 i"};

/* The last values of a response are optional, as older nodes don't send the
 * nonce, or whether they take retries. */
Test(hop, responses_name_their_attempt)
{
    static const struct {
        const char *text;
        uint64_t nonce;
        bool no_retries;
    } cases[] = {{"0 0 0 1 1 0 0 0 1 0 0 0 0", 0, false},
                 {"0 0 0 1 1 0 0 0 1 0 0 0 0 1f", 0x1f, false},
                 {"0 0 0 1 1 0 0 0 1 0 0 0 0 1f 0", 0x1f, false},
                 {"0 0 0 1 1 0 0 0 1 0 0 0 0 1f 1", 0x1f, true}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        hop_response reply;
        http_str text = {cases[i].text, strlen(cases[i].text)};
        cr_assert_eq(hop_read_response(&reply, text), 0);
        cr_expect_eq(reply.nonce, cases[i].nonce, "%s", cases[i].text);
        cr_expect_eq(reply.report.no_retries, cases[i].no_retries, "%s",
                     cases[i].text);
    }
}

typedef struct hop_workspace_case {
    const char *value; /* NULL: no such field */
    bool valid;
    uint32_t workspace;
} hop_workspace_case;

static const hop_workspace_case hop_workspace_cases[] = {
    {NULL, true, WORKSPACE_NONE},
    {"1f", true, 0x1f},
    {"ffffffff", true, UINT32_MAX},
    {"1ffffffff", false, 0},
    {"0", false, 0},
    {"", false, 0},
    {"-1", false, 0},
    {"1 ", false, 0},
    {"0x1f", false, 0},
    {"name", false, 0},
};

/* The workspace travels in a line of its own, which is left out if there is
 * none. */
Test(hop, workspaces)
{
    hop_request request = {0};
    for (size_t i = 0; i < COUNT(hop_workspace_cases); i++) {
        const hop_workspace_case *c = &hop_workspace_cases[i];
        http_str value = {c->value, c->value == NULL ? 0 : strlen(c->value)};
        int result = hop_read_workspace(&request, value);
        cr_expect_eq(result == 0, c->valid, "case %zu", i);
        if (c->valid) {
            bytebuf out = {0};
            char line[64];
            cr_expect_eq(request.workspace, c->workspace, "case %zu", i);
            hop_write_request(&out, &request);
            bytebuf_append(&out, "", 1);
            snprintf(line, sizeof(line), "Lav-Workspace: %s\r\n", c->value);
            cr_expect_eq(strstr(bytebuf_data(&out), line) != NULL,
                         c->value != NULL);
            cr_expect_eq(strstr(bytebuf_data(&out), "Lav-Workspace") != NULL,
                         c->value != NULL);
            bytebuf_clear(&out);
        }
    }
}

Test(hop, headers_are_validated)
{
    hop_response reply;
    hop_request request;
    for (size_t i = 0; i < COUNT(hop_responses); i++) {
        http_str text = {hop_responses[i], strlen(hop_responses[i])};
        cr_expect_eq(hop_read_response(&reply, text) == 0, i == 0, "reply %zu",
                     i);
    }
    for (size_t i = 0; i < COUNT(hop_requests); i++) {
        http_str text = {hop_requests[i], strlen(hop_requests[i])};
        cr_expect_eq(hop_read_request(&request, text) == 0, i == 0,
                     "request %zu", i);
    }
}
