/* lav-platform-node as real processes between the stand-ins of the store and
 * the targets: what callers and targets receive, for valid and for malformed
 * messages and for each fault of a target. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh.h"

TestSuite(mesh, .init = mesh_start, .fini = harness_stop, .timeout = 60);

typedef struct response_case {
    const char *method;
    const char *path;
    int status;
    int runs_min;
    int runs_max;
} response_case;

static const response_case response_cases[] = {
    {"GET", "/i/ok", 200, 1, 1},
    {"POST", "/n/ok", 200, 1, 1},
    {"PUT", "/n/ok", 200, 1, 1},
    {"DELETE", "/n/ok", 200, 1, 1},
    {"POST", "/m/ok", 200, 1, 1},
    {"HEAD", "/i/ok", 200, 1, 1},
    {"GET", "/none/ok", 404, 0, 0},
    {"GET", "/i/shed-at-1", 200, 1, 1},
    {"POST", "/n/shed-at-2", 200, 1, 1},
    {"POST", "/n/shed", 503, 0, 0},
    {"GET", "/i/reset-at-1", 200, 1, 2},
    {"GET", "/i/reset", 502, 2, 2},
    {"GET", "/i/reset-or-shed", 502, 1, 1}, /* may have run, so no 503 */
    {"POST", "/n/reset", 502, 1, 1},
    {"GET", "/i/cut-at-2", 200, 1, 2},
    {"POST", "/n/cut", 502, 1, 1},
    {"POST", "/n/garbage", 502, 1, 1},
    {"POST", "/n/noseal", 502, 1, 1},
    {"POST", "/n/encoded", 502, 1, 1},
    {"POST", "/n/fail", 500, 1, 1},
    {"POST", "/n/toeof", 200, 1, 1},
    {"POST", "/n/close", 200, 1, 1},
    {"POST", "/n/late", 200, 1, 1},
    {"POST", "/n/extra", 200, 1, 1},
    {"POST", "/n/ok", 200, 1, 1},
    {"GET", "/i/extra", 200, 1, 1},
    {"GET", "/i/ok", 200, 1, 1},
    {"GET", "/i/late", 200, 1, 1},
    {"GET", "/i/ok", 200, 1, 1},
    {"GET", "/q/hang", 504, 1, 2},
};

Test(mesh, answers_and_runs)
{
    for (int round = 0; round < 3; round++) {
        for (size_t i = 0; i < COUNT(response_cases); i++) {
            const response_case *c = &response_cases[i];
            char id[32];
            char expected[64];
            harness_response response;
            snprintf(id, sizeof(id), "case-%d-%zu", round, i);
            harness_call(&response, 0, c->method, c->path, id, NULL, 0);
            int runs = harness_run_count(id);
            cr_expect_eq(response.status, c->status, "%s %s: %d", c->method,
                         c->path, response.status);
            cr_expect(runs >= c->runs_min && runs <= c->runs_max,
                      "%s %s: %d runs", c->method, c->path, runs);
            if (response.status == 200 && strcmp(c->method, "HEAD") != 0) {
                snprintf(expected, sizeof(expected), "answer to %s", id);
                cr_expect(
                    response.complete && response.length == strlen(expected) &&
                        memcmp(response.body, expected, response.length) == 0,
                    "%s %s: body", c->method, c->path);
                cr_expect_not_null(strstr(response.head, "seal-of-"));
            }
            harness_free_response(&response);
        }
    }
}

/* A target closes the connection after a response without announcing it.  A
 * non-idempotent request sent on that connection would be lost and could not
 * be repeated, so the node must not reuse it. */
Test(mesh, connections_that_are_closed_without_notice)
{
    for (int i = 0; i < 200; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "closed-%d", i);
        harness_call(&response, 0, "POST", "/n/close", id, "", 0);
        cr_assert_eq(response.status, 200, "request %d: %d, %d runs", i,
                     response.status, harness_run_count(id));
        harness_free_response(&response);
    }
}

static const size_t body_sizes[] = {0, 1, 1000, 65536, 200000, 2000000};

Test(mesh, bodies_pass_whole_both_ways)
{
    char *body = malloc(2000000);
    for (int i = 0; i < 2000000; i++) {
        body[i] = (char)(i * 31 + i / 251);
    }
    for (size_t i = 0; i < COUNT(body_sizes); i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "body-%zu", i);
        harness_call(&response, 0, "POST", "/n/echo", id, body, body_sizes[i]);
        cr_expect_eq(response.status, 200, "size %zu", body_sizes[i]);
        cr_expect_eq(response.length, body_sizes[i]);
        cr_expect(response.complete &&
                  memcmp(response.body, body, body_sizes[i]) == 0);
        harness_free_response(&response);
    }
    free(body);
}

Test(mesh, chunks_pass_too)
{
    harness_response response;
    const char *request = "POST /n/echo HTTP/1.1\r\nHost: h.example\r\n"
                          "Lavenderfield-Attempt-Id: chunks\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    int fd = harness_connect(0);
    harness_send(fd, request, strlen(request));
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 200);
    cr_expect_eq(response.length, 11);
    cr_expect_eq(memcmp(response.body, "hello world", 11), 0);
    harness_free_response(&response);
    close(fd);
}

/* Pipelining: two requests in one write get their responses in order. */
Test(mesh, requests_behind_one_another)
{
    const char *requests = "POST /n/slow HTTP/1.1\r\nHost: h.example\r\n"
                           "Lavenderfield-Attempt-Id: first\r\n"
                           "Content-Length: 2\r\n\r\nab"
                           "GET /i/ok HTTP/1.1\r\nHost: h.example\r\n"
                           "Lavenderfield-Attempt-Id: second\r\n\r\n";
    const char *const bodies[] = {"answer to first", "answer to second"};
    int fd = harness_connect(0);
    harness_send(fd, requests, strlen(requests));
    for (int i = 0; i < 2; i++) {
        harness_response response;
        harness_read_response(&response, fd);
        cr_expect_eq(response.status, 200);
        cr_expect_eq(response.length, strlen(bodies[i]));
        cr_expect_eq(memcmp(response.body, bodies[i], response.length), 0);
        harness_free_response(&response);
    }
    close(fd);
}

typedef struct bad_case {
    const char *head;
    int status;
} bad_case;

#define ID "Lavenderfield-Attempt-Id: bad\r\n"

static const bad_case bad_cases[] = {
    {"GET /i/ok HTTP/1.1\r\n" ID "\r\n", 400},
    {"GET /i/ok HTTP/1.1\r\nHost: h.example\r\nHost: other\r\n" ID "\r\n",
     400},
    {"GET /i/ok HTTP/1.1\r\nHost: h.example\r\n\r\n", 400},
    {"GET i/ok HTTP/1.1\r\nHost: h.example\r\n" ID "\r\n", 400},
    {"POST /n/ok HTTP/1.1\r\nHost: h.example\r\n" ID
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
     "GET /i/smuggled HTTP/1.1\r\nHost: h.example\r\n"
     "Lavenderfield-Attempt-Id: smuggled\r\n\r\n",
     400},
    {"POST /n/ok HTTP/1.1\r\nHost: h.example\r\n" ID
     "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     400},
    {"POST /n/ok HTTP/1.1\r\nHost: h.example\r\n" ID
     "Content-Length: x\r\n\r\n",
     400},
    {"POST /n/ok HTTP/1.1\r\nHost: h.example\r\n" ID
     "Content-Length: 99999999\r\n\r\n",
     413},
    {"\1\2\3\4\r\n\r\n", 400},
};

Test(mesh, malformed_requests)
{
    for (size_t i = 0; i < COUNT(bad_cases); i++) {
        harness_response response;
        int fd = harness_connect(0);
        harness_send(fd, bad_cases[i].head, strlen(bad_cases[i].head));
        harness_read_response(&response, fd);
        cr_expect_eq(response.status, bad_cases[i].status, "case %zu: %d", i,
                     response.status);
        harness_free_response(&response);
        close(fd);
    }
    cr_expect_eq(harness_arrival_count("bad"), 0);
    cr_expect_eq(harness_arrival_count("smuggled"), 0);
}

Test(mesh, heads_over_the_limit)
{
    char request[8192];
    harness_response response;
    int size = snprintf(request, sizeof(request),
                        "GET /i/ok HTTP/1.1\r\nHost: h.example\r\n" ID
                        "X-Long: %05000d\r\n\r\n",
                        7);
    int fd = harness_connect(0);
    harness_send(fd, request, (size_t)size);
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 431);
    harness_free_response(&response);
    close(fd);
}

/* An incomplete head gets 408 after the header timeout of 2 s. */
Test(mesh, heads_that_take_too_long)
{
    harness_response response;
    int fd = harness_connect(0);
    harness_send(fd, "GET /i/ok HT", 12);
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 408);
    harness_free_response(&response);
    close(fd);
}

/* The node sets its own header fields and drops forged and hop-by-hop ones;
 * all others reach the target. */
Test(mesh, headers_sent_to_the_target)
{
    harness_response response;
    const char *request =
        "POST /n/ok HTTP/1.1\r\nHost: h.example\r\n"
        "Lavenderfield-Attempt-Id: told\r\n"
        "Lavenderfield-Caller-Service: forged\r\n"
        "Lavenderfield-Expected-Instance: forged\r\n"
        "Lavenderfield-Deadline-Ms: 700\r\n"
        "Lav-Hop: forged\r\nX-Own: kept\r\nConnection: X-Hop\r\n"
        "X-Hop: dropped\r\nContent-Length: 0\r\n\r\n";
    int fd = harness_connect(0);
    harness_send(fd, request, strlen(request));
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 200);
    const char *head = harness_received_head("told");
    cr_expect_not_null(strstr(head, "Lavenderfield-Caller-Service: near\r\n"));
    cr_expect_null(strstr(head, "forged"));
    cr_expect_not_null(strstr(head, "X-Own: kept\r\n"));
    cr_expect_null(strstr(head, "dropped"));
    cr_expect_null(strstr(head, "Lav-Hop"));
    const char *left = strstr(head, "Lavenderfield-Deadline-Ms: ");
    cr_assert_not_null(left);
    int left_ms = atoi(left + strlen("Lavenderfield-Deadline-Ms: "));
    cr_expect(left_ms > 0 && left_ms <= 700, "%d", left_ms);
    harness_free_response(&response);
    close(fd);
}

/* Before the first desired state calls are refused with Retry-After. */
Test(unready, without_a_desired_state, .fini = harness_stop, .timeout = 60)
{
    harness_response response;
    static const char *const services[] = {"near"};
    harness_start(1, services);
    cr_assert(HARNESS_WAIT_FOR(harness_ready_status(0) == 503));
    harness_call(&response, 0, "POST", "/n/ok", "early", "", 0);
    cr_expect_eq(response.status, 503);
    cr_expect_not_null(strstr(response.head, "Retry-After: "));
    cr_expect_eq(harness_arrival_count("early"), 0);
    harness_free_response(&response);
}
