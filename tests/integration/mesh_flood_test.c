/* Targets in trouble that send bytes without end: callers get their final
 * response, the node closes the connection, and neither its memory nor its log
 * grows with what comes. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_private.h"
#include "mesh.h"

#define PEAK_MAX_KB (64 * 1024) /* a quarter of the memory of a node */
#define FLOODS 48               /* of which some wait for a slot */
#define LOG_LINES_MAX                                                         \
    3 /* about one request, at a node, beside one an attempt */

TestSuite(mesh_flood, .init = mesh_start, .fini = harness_stop, .timeout = 60);

typedef struct flood_case {
    const char *kind;
    int status; /* of a request that must not be repeated */
} flood_case;

/* Bytes that are no response to the request. */
static const flood_case flood_cases[] = {
    {"garbage", 502},
    {"newlines", 502},
    {"head", 502},
    {"fields", 502},
    {"informational", 502},
    {"others", 502},
    {"reason", 502},
    {"field-name", 502},
    {"informational-head", 502},
    {"chunk-size", 502},
    {"trailer-fields", 502},
    {"other-length", 502},
    {"other-chunked", 502},
    {"other-eof", 502},
    {"extension", 502},
    {"trailer", 502},
    {"error-length", 502},
    {"error-chunked", 502},
    {"error-eof", 502},
    {"refusal", 503},
    {"refusal-sealed", 503},
};

static void
check_node(int node, const char *kind, const char *id)
{
    cr_expect_lt(harness_node_peak_kb(node), PEAK_MAX_KB, "%s: %ld KiB", kind,
                 harness_node_peak_kb(node));
    cr_expect_leq(harness_log_count(node, id),
                  LOG_LINES_MAX + harness_arrival_count(id), "%s: %d lines",
                  kind, harness_log_count(node, id));
}

Test(mesh_flood, bytes_that_are_no_response)
{
    for (size_t i = 0; i < COUNT(flood_cases); i++) {
        const flood_case *c = &flood_cases[i];
        char path[64];
        char id[64];
        harness_response response;
        snprintf(path, sizeof(path), "/n/flood-%s", c->kind);
        snprintf(id, sizeof(id), "no-response-%s", c->kind);
        harness_call(&response, 0, "POST", path, id, "", 0);
        cr_expect_eq(response.status, c->status, "%s: %d", c->kind,
                     response.status);
        cr_expect(HARNESS_WAIT_FOR(harness_was_disconnected(id)), "%s",
                  c->kind);
        for (int node = 0; node < 3; node++) {
            check_node(node, c->kind, id);
        }
        harness_free_response(&response);
        harness_call(&response, 0, "POST", "/n/ok", c->kind, "", 0);
        cr_expect_eq(response.status, 200, "after %s: %d", c->kind,
                     response.status);
        harness_free_response(&response);
    }
}

/* A response that never ends is relayed until the time of its route is up, and
 * is not taken for a complete one. */
Test(mesh_flood, a_response_that_does_not_end)
{
    static const char *const kinds[] = {"length", "chunked", "eof"};
    for (size_t i = 0; i < COUNT(kinds); i++) {
        char path[64];
        char bytes[16384];
        char id[64];
        ssize_t got = 0;
        snprintf(id, sizeof(id), "endless-%s", kinds[i]);
        snprintf(path, sizeof(path), "/q/flood-%s", kinds[i]);
        int fd = harness_start_call(0, "GET", path, id);
        while ((got = read(fd, bytes, sizeof(bytes))) > 0) {
        }
        cr_expect_lt(got, 0, "%s: ended in order", kinds[i]);
        cr_expect(HARNESS_WAIT_FOR(harness_was_disconnected(id)), "%s",
                  kinds[i]);
        for (int node = 0; node < 3; node++) {
            check_node(node, kinds[i], id);
        }
        close(fd);
    }
}

/* Many of them at the same time, whose callers do not read what comes. */
Test(mesh_flood, many_at_a_time)
{
    static const char *const kinds[] = {
        "head",          "fields", "extension", "error-eof",
        "other-chunked", "length", "chunked",   "eof"};
    int fds[FLOODS];
    char id[64];
    for (int i = 0; i < FLOODS; i++) {
        const char *kind = kinds[i % (int)COUNT(kinds)];
        char path[64];
        snprintf(id, sizeof(id), "many-%d", i);
        snprintf(path, sizeof(path), "/n/flood-%s", kind);
        fds[i] = harness_start_call(0, "POST", path, id);
    }
    for (int i = 0; i < FLOODS; i++) {
        snprintf(id, sizeof(id), "many-%d", i);
        cr_expect(HARNESS_WAIT_FOR(harness_run_count(id) == 0 ||
                                   harness_was_disconnected(id)),
                  "%s", id);
        close(fds[i]);
    }
    for (int node = 0; node < 3; node++) {
        cr_expect_lt(harness_node_peak_kb(node), PEAK_MAX_KB, "%ld KiB",
                     harness_node_peak_kb(node));
    }
    harness_response response;
    harness_call(&response, 0, "POST", "/n/ok", "after-many", "", 0);
    cr_expect_eq(response.status, 200, "%d", response.status);
    harness_free_response(&response);
}

/* What a node sends at present. */
static const char *peer_kind;

static void
serve_flooding_peer(int fd, int index)
{
    harness_request request;
    (void)index;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    if (harness_read_request(&request, fd)) {
        pthread_mutex_lock(&harness_lock);
        const char *kind = peer_kind;
        pthread_mutex_unlock(&harness_lock);
        (void)harness_send_flood(fd, kind, "");
    }
    free(request.body);
}

/* Another process answers at the address of a node: requests, and the claims
 * of their responses. */
Test(mesh_flood, a_node)
{
    int listener = mesh_add_routed_node("flood", "/f/", serve_flooding_peer);
    for (size_t i = 0; i < COUNT(flood_cases); i++) {
        harness_response response;
        pthread_mutex_lock(&harness_lock);
        peer_kind = flood_cases[i].kind;
        pthread_mutex_unlock(&harness_lock);
        harness_call(&response, 0, "POST", "/f/ok", flood_cases[i].kind, "",
                     0);
        cr_expect_eq(response.status, 502, "%s: %d", flood_cases[i].kind,
                     response.status);
        harness_free_response(&response);
    }
    cr_expect_lt(harness_node_peak_kb(0), PEAK_MAX_KB, "%ld KiB",
                 harness_node_peak_kb(0));
    shutdown(listener, SHUT_RDWR);
}

/* The caller disconnects while the target floods. */
Test(mesh_flood, callers_that_leave)
{
    static const char *const kinds[] = {"other-eof", "length", "extension"};
    for (size_t i = 0; i < COUNT(kinds); i++) {
        char path[64];
        char id[64];
        snprintf(id, sizeof(id), "leaves-%s", kinds[i]);
        snprintf(path, sizeof(path), "/i/flood-%s", kinds[i]);
        int fd = harness_start_call(0, "GET", path, id);
        cr_assert(HARNESS_WAIT_FOR(harness_run_count(id) > 0));
        close(fd);
        cr_expect(HARNESS_WAIT_FOR(harness_was_disconnected(id)), "%s",
                  kinds[i]);
    }
}

/* The health check after a restart of the node is answered with a flood; the
 * target is used after its next heartbeat, once it has passed a check. */
Test(mesh_flood, health_checks)
{
    harness_set_target_health(1, HARNESS_HEALTH_FLOOD, "");
    mesh_restart_node(1);
    cr_assert(harness_wait_ready(1));
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(1, "target_not_adopted")));
    cr_expect_lt(harness_node_peak_kb(1), PEAK_MAX_KB, "%ld KiB",
                 harness_node_peak_kb(1));
    harness_set_target_health(1, 0, "");
    int confirmed = harness_log_count(1, "target_confirmed");
    cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
    cr_assert(HARNESS_WAIT_FOR(harness_log_count(1, "target_confirmed") >
                               confirmed));
    harness_response response;
    harness_call(&response, 0, "POST", "/n/shed-at-2", "healthy", "", 0);
    cr_expect_eq(response.status, 200, "%d", response.status);
    harness_free_response(&response);
}
