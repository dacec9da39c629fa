/* Numbers of any size in fields of callers and targets. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "mesh.h"

TestSuite(mesh_numbers, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

typedef struct keep_alive_case {
    const char *field;
    bool kept; /* after a response */
} keep_alive_case;

static const keep_alive_case keep_alive_cases[] = {
    {"timeout=60", true},
    {"timeout=0", false},
    {"timeout=-60", false},
    /* The number of microseconds exceeds 64 bits. */
    {"timeout=9300000000000", true},
    {"timeout=18446744073710", true},
    {"timeout=9223372036854775807", true},
    {"timeout=99999999999999999999", true},
};

/* How long a target keeps idle connections. */
Test(mesh_numbers, seconds_of_keep_alive)
{
    for (size_t i = 0; i < COUNT(keep_alive_cases); i++) {
        const keep_alive_case *c = &keep_alive_cases[i];
        char line[128];
        char id[32];
        harness_response response;
        snprintf(line, sizeof(line), "Keep-Alive: %s\r\n", c->field);
        snprintf(id, sizeof(id), "kept-%zu", i);
        harness_set_target_headers(0, line);
        harness_call(&response, 0, "POST", "/m/ok", id, "", 0);
        cr_expect_eq(response.status, 200);
        harness_free_response(&response);
        if (c->kept) {
            harness_sleep_ms(300);
            cr_expect_gt(harness_target_connection_count(0), 0, "%s",
                         c->field);
        }
        else {
            cr_expect(
                HARNESS_WAIT_FOR(harness_target_connection_count(0) == 0),
                "%s", c->field);
        }
    }
}

static const char *const deadline_cases[] = {
    "5000",
    "9223372036854775",    /* the most that microseconds can express */
    "9223372036854776",    /* one more */
    "9223372036854775807", /* the most of 64 bits */
    "99999999999999999999",
};

/* How long a caller waits: a time over the route's counts as the route's. */
Test(mesh_numbers, milliseconds_of_a_deadline)
{
    for (size_t i = 0; i < COUNT(deadline_cases); i++) {
        char request[256];
        harness_response response;
        int size = snprintf(request, sizeof(request),
                            "GET /m/ok HTTP/1.1\r\nHost: h.example\r\n"
                            "Lavenderfield-Attempt-Id: deadline-%zu\r\n"
                            "Lavenderfield-Deadline-Ms: %s\r\n\r\n",
                            i, deadline_cases[i]);
        int fd = harness_connect(0);
        harness_send(fd, request, (size_t)size);
        harness_read_response(&response, fd);
        cr_expect_eq(response.status, 200, "%s: %d", deadline_cases[i],
                     response.status);
        harness_free_response(&response);
        close(fd);
    }
}
