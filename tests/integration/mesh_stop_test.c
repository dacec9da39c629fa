/* A planned stop while requests are under way: each gets a response, and none
 * is told that it has not run if it has. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define SLOTS 40 /* of a target */
#define TARGETS 2

TestSuite(mesh_stop, .init = mesh_start, .fini = harness_stop, .timeout = 60);

/* Send a request on a new connection and don't wait for its response. */
static int
send_request(int node, const char *method, const char *path, const char *id)
{
    char request[256];
    int fd = harness_connect(node);
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Content-Length: 0\r\n\r\n",
                        method, path, id);
    harness_send(fd, request, (size_t)size);
    return fd;
}

/* Returns the status of the response on a connection, 0 if it ends without a
 * complete one. */
static int
read_status(int fd)
{
    harness_response response;
    harness_read_response(&response, fd);
    int status = response.complete ? response.status : 0;
    harness_free_response(&response);
    close(fd);
    return status;
}

/* Fill both targets of a service through node 0 with requests that get no
 * response; returns how many were sent. */
static int
fill_targets(int *fds)
{
    int sent = 0;
    for (int i = 0; i < TARGETS * SLOTS; i++) {
        char id[32];
        snprintf(id, sizeof(id), "fill-%d", i);
        fds[sent++] = send_request(0, "POST", "/n/hang", id);
    }
    harness_sleep_ms(300);
    return sent;
}

/* Requests whose target stayed silent lost their connection when the process
 * ended, shortly before the platform would have killed it. */
Test(mesh_stop, requests_at_a_silent_target)
{
    static const char *const paths[] = {"/n/hang", "/i/hang", "/m/hang"};
    int fds[COUNT(paths)];
    harness_signal_node(0, SIGTERM);
    harness_sleep_ms(500);
    for (size_t i = 0; i < COUNT(paths); i++) {
        fds[i] = send_request(0, i == 1 ? "GET" : "POST", paths[i], paths[i]);
    }
    for (size_t i = 0; i < COUNT(paths); i++) {
        int status = read_status(fds[i]);
        cr_expect_eq(status, 502, "%s: %d", paths[i], status);
        cr_expect_eq(harness_run_count(paths[i]), 1, "%s", paths[i]);
    }
    cr_expect_eq(harness_wait_node_exit(0), 0);
}

/* Requests that still wait for a slot have not run, and are told so. */
Test(mesh_stop, requests_in_a_queue)
{
    int fds[TARGETS * SLOTS];
    int refused = 0;
    int sent = fill_targets(fds);
    harness_signal_node(0, SIGTERM);
    for (int i = 0; i < sent; i++) {
        char id[32];
        int status = read_status(fds[i]);
        snprintf(id, sizeof(id), "fill-%d", i);
        cr_expect_eq(status, harness_run_count(id) > 0 ? 502 : 503,
                     "%s: %d, run %d times", id, status,
                     harness_run_count(id));
        refused += status == 503;
    }
    cr_expect_gt(refused, 0);
    cr_expect_eq(harness_wait_node_exit(0), 0);
}
