/* The node beside a target falls silent for a while, and nothing is heard of
 * it.  What runs at the target goes on, is neither started again elsewhere nor
 * given up, and its response reaches the caller. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "mesh.h"

#define SILENT_MS 1500 /* shorter than the route's timeout of 5 s */

TestSuite(mesh_silent, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

typedef struct silence_case {
    const char *name;
    const char *method;
    const char *path;
    bool store_too; /* the store hangs meanwhile */
} silence_case;

static const silence_case silence_cases[] = {
    {"not idempotent", "POST", "/n/slow", false},
    {"idempotent", "GET", "/i/slow", false},
    {"not idempotent, the store hangs", "POST", "/n/slow", true},
    {"idempotent, the store hangs", "GET", "/i/slow", true},
};

/* Send the request of a case and let the node beside the target that runs it
 * be silent. */
static void
play_silence(const silence_case *c, const char *id)
{
    char request[256];
    harness_response response;
    int size =
        snprintf(request, sizeof(request),
                 "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                 "Lavenderfield-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
                 c->method, c->path, id);
    int fd = harness_connect(0);
    harness_send(fd, request, (size_t)size);
    cr_assert(HARNESS_WAIT_FOR(harness_run_count(id) == 1), "%s", c->name);
    int node = harness_last_run_node(id);
    if (c->store_too) {
        harness_set_store_mode(HARNESS_STORE_HANGS);
    }
    harness_signal_node(node, SIGSTOP);
    harness_sleep_ms(SILENT_MS);
    harness_signal_node(node, SIGCONT);
    harness_set_store_mode(HARNESS_STORE_UP);
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 200, "%s: %d", c->name, response.status);
    cr_expect(response.complete, "%s", c->name);
    cr_expect_eq(harness_run_count(id), 1, "%s: %d runs", c->name,
                 harness_run_count(id));
    harness_free_response(&response);
    close(fd);
}

Test(mesh_silent, running_work_goes_on)
{
    for (size_t i = 0; i < COUNT(silence_cases); i++) {
        char id[32];
        snprintf(id, sizeof(id), "silent-%zu", i);
        play_silence(&silence_cases[i], id);
    }
}
