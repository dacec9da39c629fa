/* Targets in trouble that send bytes without end until the node closes the
 * connection. */
#include <stdio.h>
#include <string.h>

#include "broken_response.h"
#include "harness_private.h"

#define OWN                                                                   \
    "Lavenderfield-Attempt-Id: %s\r\nLavenderfield-Response-Seal: seal\r\n"
#define UNSEALED "Lavenderfield-Attempt-Id: %s\r\n"
#define OTHER                                                                 \
    "Lavenderfield-Attempt-Id: another\r\nLavenderfield-Response-Seal: x\r\n"
#define LENGTH "Content-Length: 900000000000\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* What is sent once, with the id of the request for %s, and then over and
 * over again. */
typedef struct harness_flood_kind {
    const char *name;
    const char *start;
    const char *repeated;
    bool refuses; /* the request counts as not executed */
} harness_flood_kind;

static const harness_flood_kind harness_flood_kinds[] = {
    {"garbage", "", "\1\2\3", false},
    {"newlines", "", "\r\n", false},
    {"head", "HTTP/1.1 200 OK\r\n" OWN "X-Filler: ", "a", false},
    {"fields", "HTTP/1.1 200 OK\r\n" OWN, "X-Filler: a\r\n", false},
    {"reason", "HTTP/1.1 200 ", "a", false},
    {"field-name", "HTTP/1.1 200 OK\r\n" OWN, "a", false},
    {"informational-head", "HTTP/1.1 103 Early Hints\r\nX-Filler: ", "a",
     false},
    {"informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
    {"others", "",
     "HTTP/1.1 200 OK\r\n" OTHER "Content-Length: 5\r\n\r\nother", false},
    {"other-length", "HTTP/1.1 200 OK\r\n" OTHER LENGTH, "a", false},
    {"other-chunked", "HTTP/1.1 200 OK\r\n" OTHER CHUNKED, "1\r\na\r\n",
     false},
    {"other-eof", "HTTP/1.1 200 OK\r\n" OTHER "\r\n", "a", false},
    {"chunk-size", "HTTP/1.1 200 OK\r\n" OWN CHUNKED, "0", false},
    {"extension", "HTTP/1.1 200 OK\r\n" OWN CHUNKED "5;x=", "a", false},
    {"trailer", "HTTP/1.1 200 OK\r\n" OWN CHUNKED "2\r\nok\r\n0\r\nX-T: ", "a",
     false},
    {"trailer-fields", "HTTP/1.1 200 OK\r\n" OWN CHUNKED "2\r\nok\r\n0\r\n",
     "X-T: a\r\n", false},
    {"error-length", "HTTP/1.1 500 Error\r\n" UNSEALED LENGTH, "a", false},
    {"error-chunked", "HTTP/1.1 500 Error\r\n" UNSEALED CHUNKED, "1\r\na\r\n",
     false},
    {"error-eof", "HTTP/1.1 500 Error\r\n" UNSEALED "\r\n", "a", false},
    {"refusal",
     "HTTP/1.1 503 Full\r\n" UNSEALED
     "Lavenderfield-Not-Executed: 1\r\n" LENGTH,
     "a", true},
    {"refusal-sealed",
     "HTTP/1.1 503 Full\r\n" OWN "Lavenderfield-Not-Executed: 1\r\n" LENGTH,
     "a", true},
    {"length", "HTTP/1.1 200 OK\r\n" OWN LENGTH, "a", false},
    {"chunked", "HTTP/1.1 200 OK\r\n" OWN CHUNKED, "1\r\na\r\n", false},
    {"eof", "HTTP/1.1 200 OK\r\n" OWN "\r\n", "a", false},
};

/* The kind of a flood by name; NULL if there is none. */
static const harness_flood_kind *
harness_find_flood_kind(const char *name)
{
    for (size_t i = 0;
         i < sizeof(harness_flood_kinds) / sizeof(harness_flood_kinds[0]);
         i++) {
        if (strcmp(harness_flood_kinds[i].name, name) == 0) {
            return &harness_flood_kinds[i];
        }
    }
    return NULL;
}

/* Whether a request that is answered with this flood counts as executed. */
bool
harness_flood_runs(const char *name)
{
    const harness_flood_kind *kind = harness_find_flood_kind(name);
    return kind != NULL && !kind->refuses;
}

/* Send a flood of a kind; whether the client closed the connection. */
bool
harness_send_flood(int fd, const char *name, const char *id)
{
    const harness_flood_kind *kind = harness_find_flood_kind(name);
    char start[512];
    int size = snprintf(start, sizeof(start), kind->start, id);
    harness_send(fd, start, (size_t)size);
    return broken_response_repeat(fd, kind->repeated);
}
