/* Requests without end, at each address of a node: they get a response, the
 * connection is closed, and the memory of the node stays bounded. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "broken_request.h"
#include "broken_response.h"
#include "mesh.h"

TestSuite(mesh_endless, .init = mesh_start, .fini = harness_stop,
          .timeout = 120);

#define PEAK_MAX_KB (64 * 1024) /* a quarter of the memory of a node */

/* A request that goes on without end after its start. */
typedef struct endless_case {
    const char *name;
    const char *start;
    const char *repeated;
    int status;
} endless_case;

#define LINE "POST " BROKEN_REQUEST_PATH " HTTP/1.1\r\n"
#define HEAD LINE "Host: h.example\r\nLavenderfield-Attempt-Id: endless\r\n"
#define CHUNKS HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"

static const endless_case endless_cases[] = {
    {"no text", "", "\1\2\3", 400},
    {"empty lines", "", "\r\n", 431},
    {"method", "", "A", 501},
    {"target", "POST /", "a", 431},
    {"version", "POST / HTTP/1.1", "1", 400},
    {"name", LINE, "a", 431},
    {"value", LINE "X-Odd: ", "a", 431},
    {"blanks for a value", LINE "X-Odd:", " ", 431},
    {"fields", LINE, "X-Odd: a\r\n", 431},
    {"empty fields", LINE, "a:\r\n", 431},
    {"digits of a length", LINE "Content-Length: ", "0", 431},
    {"lengths", LINE, "Content-Length: 2\r\n", 400},
    {"folded lines", LINE "X-Odd: a\r\n", " a\r\n", 400},
};

/* At the callers' address only: the others respond to the head, or have a
 * smaller limit for bodies. */
static const endless_case endless_body_cases[] = {
    {"digits of a chunk size", HEAD "Transfer-Encoding: chunked\r\n\r\n", "0",
     431},
    {"chunk extension", CHUNKS "2;", "a", 431},
    {"value of a trailer field", CHUNKS "0\r\nX-Odd: ", "a", 431},
    {"trailer fields", CHUNKS "0\r\n", "X-Odd: a\r\n", 431},
};

/* Send each request of a table to a port. */
static void
send_each(int port, const endless_case *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        harness_response response;
        int fd = harness_connect_port(port);
        cr_assert_geq(fd, 0);
        harness_send(fd, cases[i].start, strlen(cases[i].start));
        cr_expect(broken_response_repeat(fd, cases[i].repeated),
                  "%s: not closed", cases[i].name);
        harness_read_response(&response, fd);
        cr_expect_eq(response.status, cases[i].status, "%s: %d", cases[i].name,
                     response.status);
        harness_free_response(&response);
        close(fd);
    }
    cr_expect_lt(harness_node_peak_kb(0), PEAK_MAX_KB, "%ld KiB",
                 harness_node_peak_kb(0));
}

Test(mesh_endless, heads_of_callers)
{
    send_each(harness_callers_port(0), endless_cases, COUNT(endless_cases));
}

Test(mesh_endless, bodies_of_callers)
{
    send_each(harness_callers_port(0), endless_body_cases,
              COUNT(endless_body_cases));
    cr_expect_eq(harness_arrival_count("endless"), 0);
}

Test(mesh_endless, heads_of_peers)
{
    send_each(harness_peers_port(0), endless_cases, COUNT(endless_cases));
}

Test(mesh_endless, heads_at_the_control_address)
{
    send_each(harness_nodes[0].ports[HARNESS_CONTROL], endless_cases,
              COUNT(endless_cases));
}

#define UNFINISHED 2000
#define UNFINISHED_BYTES 60000 /* of each head */

/* Unfinished heads on many connections. */
static void
open_unfinished(int port)
{
    static const char start[] =
        "POST " BROKEN_REQUEST_PATH " HTTP/1.1\r\nX-Odd: ";
    int fds[UNFINISHED];
    char *filler = malloc(UNFINISHED_BYTES);
    memset(filler, 'a', UNFINISHED_BYTES);
    for (int i = 0; i < UNFINISHED; i++) {
        fds[i] = harness_connect_port(port);
        cr_assert_geq(fds[i], 0);
        harness_send(fds[i], start, strlen(start));
        harness_send(fds[i], filler, UNFINISHED_BYTES);
    }
    harness_response response;
    harness_call(&response, 0, "POST", BROKEN_REQUEST_PATH, "beside", "", 0);
    cr_expect_eq(response.status, 200, "%d", response.status);
    harness_free_response(&response);
    cr_expect_lt(harness_node_peak_kb(0), PEAK_MAX_KB, "%ld KiB",
                 harness_node_peak_kb(0));
    for (int i = 0; i < UNFINISHED; i++) {
        close(fds[i]);
    }
    free(filler);
}

Test(mesh_endless, unfinished_heads_of_callers)
{
    open_unfinished(harness_callers_port(0));
}

Test(mesh_endless, unfinished_heads_of_peers)
{
    open_unfinished(harness_peers_port(0));
}

Test(mesh_endless, unfinished_heads_at_the_control_address)
{
    open_unfinished(harness_nodes[0].ports[HARNESS_CONTROL]);
}
