/* Workspaces: which key a request needs, what the target gets in its place,
 * and keys that an operator has withdrawn. */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define EXEMPT_ROUTE                                                          \
    "{\"host\":\"h.example\",\"path_prefix\":\"/x/\",\"route_type\":"         \
    "\"idempotent\",\"timeout\":\"5000ms\",\"target_latency\":\"1000ms\","    \
    "\"priority\":0,\"max_attempts\":2,\"service\":\"far\",\"auth_exempt\":"  \
    "true}"
#define WORKSPACE_ROUTES                                                      \
    "[" ROUTE("/i/", "idempotent", "5000ms", "far") "," ROUTE(                \
        "/n/", "non_idempotent", "5000ms",                                    \
        "far") "," ROUTE("/m/", "non_idempotent", "5000ms",                   \
                         "near") "," EXEMPT_ROUTE "]"
#define WORKSPACE(name, keys)                                                 \
    "{\"name\":\"" name "\",\"api_keys\":[" keys "],\"priority\":1,"          \
    "\"rate_per_s\":0,\"burst\":0}"

/* "alpha" has two keys, of which version 3 withdraws the first. */
#define BOTH_KEYS                                                             \
    "[" WORKSPACE("alpha", "\"key-a1\",\"key-a2\"") "," WORKSPACE(            \
        "beta", "\"key-b\"") "]"
#define ONE_KEY                                                               \
    "[" WORKSPACE("alpha", "\"key-a2\"") "," WORKSPACE("beta", "\"key-b\"") "]"

#define A1 "Authorization: Bearer key-a1\r\n"
#define A2 "Authorization: Bearer key-a2\r\n"
#define B "Authorization: Bearer key-b\r\n"

#define SLOTS 38        /* that a target is given, of its 40 */
#define SILENCE_MS 4000 /* after which a node takes itself for cut off */
#define PAUSE_MS 50     /* between two tries */
#define SETTLE_MS 200   /* in which all watches of a change are answered */
#define REFUSED_STATES 6

/* Whether the nodes from `first` on have put a version in force. */
static bool
is_in_force(int first, int version)
{
    char text[64];
    snprintf(text, sizeof(text), "\"event\":\"workspaces\",\"version\":%d,",
             version);
    for (int i = first; i < MESH_NODES; i++) {
        if (!harness_log_contains(i, text)) {
            return false;
        }
    }
    return true;
}

/* Start the deployment with workspaces in version 2. */
static void
start_with(bool proxied)
{
    harness_options opts = {.proxied = proxied};
    mesh_start_with(&opts);
    harness_publish_workspaces(2, WORKSPACE_ROUTES, BOTH_KEYS);
    cr_assert(HARNESS_WAIT_FOR(is_in_force(0, 2)));
}

static void
start_workspaces(void)
{
    start_with(false);
}

static void
start_proxied_workspaces(void)
{
    start_with(true);
}

/* Send a request with header lines on an open connection; its body, if any,
 * is part of `body` with the lines that frame it left to the caller. */
static int
exchange(int fd, const char *method, const char *path, const char *id,
         const char *lines, const char *body)
{
    char request[2048];
    harness_response response;
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n%s\r\n%s",
                        method, path, id, lines, body);
    harness_send(fd, request, (size_t)size);
    harness_read_response(&response, fd);
    int status = response.status;
    harness_free_response(&response);
    return status;
}

/* The same on a connection of its own to a node. */
static int
call(int node, const char *path, const char *id, const char *lines)
{
    int fd = harness_connect(node);
    cr_assert_geq(fd, 0);
    int status = exchange(fd, "GET", path, id, lines, "");
    close(fd);
    return status;
}

/* Call until the status of the response is `wanted`; whether it became so.
 * `id` begins the ids. */
static bool
call_until(int wanted, int node, const char *path, const char *id,
           const char *lines)
{
    for (int i = 0; i < 200; i++) {
        char numbered[64];
        snprintf(numbered, sizeof(numbered), "%s-%d", id, i);
        if (call(node, path, numbered, lines) == wanted) {
            return true;
        }
        harness_sleep_ms(PAUSE_MS);
    }
    return false;
}

/* Check what a target received: the workspace's name once, or not at all for
 * NULL, and no key. */
static void
expect_received(const char *id, const char *workspace)
{
    char *head = g_ascii_strdown(harness_received_head(id), -1);
    char *line = g_strdup_printf("\r\nlavenderfield-tenant: %s\r\n",
                                 workspace == NULL ? "" : workspace);
    const char *first = strstr(head, "lavenderfield-tenant");
    cr_expect_neq(head[0], '\0', "%s never arrived", id);
    cr_expect_null(strstr(head, "authorization"), "%s: %s", id, head);
    cr_expect_null(strstr(head, "key-"), "%s: %s", id, head);
    cr_expect_null(strstr(head, "lav-workspace"), "%s: %s", id, head);
    cr_expect_eq(first != NULL, workspace != NULL, "%s: %s", id, head);
    if (first != NULL && workspace != NULL) {
        cr_expect_not_null(strstr(head, line), "%s: %s", id, head);
        cr_expect_null(strstr(first + 1, "lavenderfield-tenant"), "%s: %s", id,
                       head);
    }
    g_free(line);
    g_free(head);
}

TestSuite(mesh_workspace, .init = start_workspaces, .fini = harness_stop,
          .timeout = 60);

typedef struct key_case {
    const char *path;
    const char *lines;
    int status;
    const char *workspace; /* that the target is told */
} key_case;

static const key_case key_cases[] = {
    {"/i/ok", A1, 200, "alpha"},
    {"/n/ok", A2, 200, "alpha"},
    {"/m/ok", B, 200, "beta"}, /* at the target of the same node */
    {"/i/ok", "authorization: bearer   key-a1\r\n", 200, "alpha"},
    {"/i/ok", "AUTHORIZATION:BEARER key-b  \r\n", 200, "beta"},
    {"/i/ok", B "Lavenderfield-Tenant: alpha\r\n", 200, "beta"},
    {"/m/ok", "LAVENDERFIELD-tenant: alpha\r\n" B, 200, "beta"},
    {"/i/ok",
     "Lavenderfield-Tenant: alpha\r\nlavenderfield-tenant: gamma\r\n" B, 200,
     "beta"},
    {"/i/ok", B "Lav-Workspace: 1f\r\n", 200, "beta"},
    {"/i/ok", B "Connection: Lavenderfield-Tenant, Authorization\r\n", 200,
     "beta"},
    {"/i/ok", "", 401, NULL},
    {"/i/ok", "Lavenderfield-Tenant: alpha\r\n", 401, NULL},
    {"/i/ok", A1 A1, 401, NULL},
    {"/i/ok", A1 B, 401, NULL},
    {"/i/ok", "Authorization: Bearer key-a\r\n", 401, NULL},
    {"/i/ok", "Authorization: Bearer key-a12\r\n", 401, NULL},
    {"/i/ok", "Authorization: Bearer KEY-A1\r\n", 401, NULL},
    {"/i/ok", "Authorization: Bearer key-a1 x\r\n", 401, NULL},
    {"/i/ok", "Authorization: Bearer\r\n", 401, NULL},
    {"/i/ok", "Authorization:\r\n", 401, NULL},
    {"/i/ok", "Authorization: Basic key-a1\r\n", 401, NULL},
    {"/i/ok", "Authorization: key-a1\r\n", 401, NULL},
    {"/n/ok", "X-Authorization: Bearer key-a1\r\n", 401, NULL},
    {"/none/ok", A1, 404, NULL},
    {"/none/ok", "", 404, NULL},
    {"/x/ok", "", 200, NULL},
    {"/x/ok", A1, 200, NULL},
    {"/x/ok", "Authorization: Bearer nobody\r\n", 200, NULL},
    {"/x/ok", "Lavenderfield-Tenant: alpha\r\n", 200, NULL},
    {"/x/ok",
     "lavenderfield-TENANT: alpha\r\nLavenderfield-Tenant: beta\r\n" A1, 200,
     NULL},
    {"/x/ok", "Lav-Workspace: 1f\r\n", 200, NULL},
};

Test(mesh_workspace, keys)
{
    for (size_t i = 0; i < COUNT(key_cases); i++) {
        const key_case *c = &key_cases[i];
        char id[32];
        snprintf(id, sizeof(id), "c-%zu", i);
        int status = call(0, c->path, id, c->lines);
        cr_expect_eq(status, c->status, "%s: %d", c->lines, status);
        cr_expect_eq(harness_arrival_count(id), c->status == 200, "%s: %d",
                     c->lines, harness_arrival_count(id));
        if (c->status == 200) {
            expect_received(id, c->workspace);
        }
    }
    for (int i = 0; i < MESH_NODES; i++) {
        cr_expect_not(harness_log_contains(i, "key-a1"), "node %d", i);
        cr_expect_not(harness_log_contains(i, "key-b"), "node %d", i);
    }
    cr_expect(harness_log_contains(0, "\"event\":\"key_refused\""));
}

/* Fields after the body of a request are not forwarded. */
Test(mesh_workspace, trailers)
{
    const char *lines = B "Transfer-Encoding: chunked\r\n"
                          "Trailer: Lavenderfield-Tenant, Authorization\r\n";
    const char *body =
        "5\r\nhello\r\n0\r\nLavenderfield-Tenant: alpha\r\n" A1 "\r\n";
    int fd = harness_connect(0);
    cr_expect_eq(exchange(fd, "POST", "/n/ok", "trailer", lines, body), 200);
    expect_received("trailer", "beta");
    cr_expect_eq(harness_received_body_size("trailer"), 5);
    /* Nor do they count for the next request on the connection. */
    cr_expect_eq(exchange(fd, "GET", "/i/ok", "after", "", ""), 401);
    close(fd);
}

/* A target sheds the request, at first on all nodes: the last one that gets it
 * is told the workspace too. */
Test(mesh_workspace, resends)
{
    cr_expect_eq(call(0, "/i/shed-thrice", "thrice", A1), 200);
    cr_expect_eq(harness_arrival_count("thrice"), 4);
    expect_received("thrice", "alpha");
    for (int node = 1; node <= 2; node++) {
        char path[32];
        char id[32];
        snprintf(path, sizeof(path), "/i/reset-at-%d", node);
        snprintf(id, sizeof(id), "reset-%d", node);
        cr_expect_eq(call(0, path, id, B), 200);
        expect_received(id, "beta");
    }
}

/* A key is withdrawn while its owner keeps a connection. */
Test(mesh_workspace, a_withdrawn_key_on_a_kept_connection)
{
    int fd = harness_connect(0);
    cr_expect_eq(exchange(fd, "GET", "/i/ok", "kept-1", A1, ""), 200);
    harness_publish_workspaces(3, WORKSPACE_ROUTES, ONE_KEY);
    cr_assert(HARNESS_WAIT_FOR(is_in_force(0, 3)));
    cr_expect_eq(exchange(fd, "GET", "/i/ok", "kept-2", A1, ""), 401);
    cr_expect_eq(harness_arrival_count("kept-2"), 0);
    cr_expect_eq(exchange(fd, "GET", "/i/ok", "kept-3", A2, ""), 200);
    expect_received("kept-3", "alpha");
    close(fd);
    /* An older version changes nothing. */
    harness_publish_workspaces(2, WORKSPACE_ROUTES, BOTH_KEYS);
    harness_sleep_ms(500);
    cr_expect_eq(call(0, "/i/ok", "older", A1), 401);
}

/* Desired states that can't be read as a whole: the last one stays. */
Test(mesh_workspace, a_desired_state_that_is_refused)
{
    static const char *const invalid[] = {
        "[" WORKSPACE("alpha", "\"key-a1\"") "," WORKSPACE("beta",
                                                           "\"key-a1\"") "]",
        "[" WORKSPACE("alpha", "\"key-a2\"") ",{\"name\":\"beta\"}]", "{}"};
    for (size_t i = 0; i < COUNT(invalid); i++) {
        harness_publish_workspaces(3 + (int)i, WORKSPACE_ROUTES, invalid[i]);
        cr_expect(
            HARNESS_WAIT_FOR(harness_log_count(0, "rejected:") == (int)i + 1),
            "case %zu", i);
    }
    cr_expect_eq(call(0, "/i/ok", "still", A1), 200);
    cr_expect_eq(call(0, "/i/ok", "neither", ""), 401);
    cr_expect_not(harness_log_contains(0, "key-a1"));
}

/* Lines of all nodes' logs that tell of a refused desired state. */
static int
refusal_count(void)
{
    int count = 0;
    for (int i = 0; i < MESH_NODES; i++) {
        count += harness_log_count(i, "rejected:");
    }
    return count;
}

/* Each desired state comes to a node's watch and its check of the store alike:
 * it is handled once. */
Test(mesh_workspace, a_change_that_two_answers_tell)
{
    for (int i = 1; i <= REFUSED_STATES; i++) {
        cr_assert(HARNESS_WAIT_FOR(harness_store_waiting_count("config") >
                                   MESH_NODES));
        harness_publish_workspaces(2 + i, WORKSPACE_ROUTES, "{}");
        cr_expect(HARNESS_WAIT_FOR(refusal_count() >= i * MESH_NODES));
        harness_sleep_ms(SETTLE_MS);
        cr_expect_eq(refusal_count(), i * MESH_NODES, "state %d", i);
    }
}

/* Send requests that take all slots of the target beside node 0, until one
 * has to wait for 100 ms.  Returns their number. */
static int
take_all_slots(int *fds)
{
    bool runs = true;
    int count = 0;
    while (runs && count < SLOTS) {
        char id[32];
        char request[256];
        snprintf(id, sizeof(id), "slot-%d", count);
        snprintf(request, sizeof(request),
                 "POST /m/hang HTTP/1.1\r\nHost: h.example\r\n"
                 "Lavenderfield-Attempt-Id: %s\r\n" A2
                 "Content-Length: 0\r\n\r\n",
                 id);
        fds[count] = harness_connect(0);
        harness_send(fds[count++], request, strlen(request));
        for (int i = 0; i < 20 && harness_run_count(id) == 0; i++) {
            harness_sleep_ms(5);
        }
        runs = harness_run_count(id) == 1;
    }
    cr_assert_not(runs, "%d requests run", count);
    return count;
}

/* A request waits at its first node for a slot of the target there as its key
 * is withdrawn. */
Test(mesh_workspace, a_withdrawn_key_of_a_waiting_request)
{
    int fds[SLOTS];
    const char *request =
        "POST /m/ok HTTP/1.1\r\nHost: h.example\r\n"
        "Lavenderfield-Attempt-Id: waits\r\n" A1 "Content-Length: 0\r\n\r\n";
    harness_response response;
    int count = take_all_slots(fds);
    int fd = harness_connect(0);
    harness_send(fd, request, strlen(request));
    harness_sleep_ms(50);
    harness_publish_workspaces(3, WORKSPACE_ROUTES, ONE_KEY);
    cr_assert(HARNESS_WAIT_FOR(is_in_force(0, 3)));
    close(fds[0]); /* a slot is free, for whoever still waits */
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 401, "%d", response.status);
    cr_expect_eq(harness_arrival_count("waits"), 0);
    harness_free_response(&response);
    close(fd);
    for (int i = 1; i < count; i++) {
        close(fds[i]);
    }
}

TestSuite(mesh_workspace_cut, .init = start_proxied_workspaces,
          .fini = harness_stop, .timeout = 60);

/* Let the store be silent for the nodes from `first` on, or no longer. */
static void
set_store_silent(int first, bool silent)
{
    for (int i = first; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_store_proxy(i),
                             silent ? FAULT_PROXY_BLACKHOLE
                                    : FAULT_PROXY_PASS);
    }
}

/* A node starts again while the store is silent: it knows no key, and says so,
 * until it hears of a version from a peer; that is not the version that had
 * the key.  What it doesn't know may be newer, so no key is refused for
 * good. */
Test(mesh_workspace_cut, a_withdrawn_key_after_a_restart)
{
    harness_publish_workspaces(3, WORKSPACE_ROUTES, ONE_KEY);
    cr_assert(HARNESS_WAIT_FOR(is_in_force(0, 3)));
    set_store_silent(0, true);
    mesh_restart_node(0);
    cr_assert(HARNESS_WAIT_FOR(harness_connect(0) >= 0));
    cr_expect_eq(call(0, "/i/ok", "none-a1", A1), 503);
    cr_expect_eq(call(0, "/i/ok", "none-b", B), 503);
    cr_expect(HARNESS_WAIT_FOR(harness_send_heartbeat(0, "ready", 1) == 200));
    cr_expect(call_until(200, 1, "/m/ok", "peer", B));
    cr_expect(call_until(200, 0, "/i/ok", "known", B));
    cr_expect_eq(call(0, "/i/ok", "back", A1), 503);
    cr_expect_eq(harness_arrival_count("back"), 0);
    set_store_silent(0, false);
    cr_expect(call_until(401, 0, "/i/ok", "store", A1));
}

/* A node that is cut off answers 503 to keys that it doesn't know, which a
 * newer version may hold, and refuses the withdrawn one as soon as it is
 * back. */
Test(mesh_workspace_cut, a_node_that_was_cut_off)
{
    cr_expect_eq(call(0, "/m/ok", "before", "Authorization: Bearer c\r\n"),
                 401);
    for (int i = 0; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_peers_proxy(i),
                             FAULT_PROXY_BLACKHOLE);
    }
    set_store_silent(0, true);
    harness_sleep_ms(SILENCE_MS);
    harness_publish_workspaces(3, WORKSPACE_ROUTES, ONE_KEY);
    cr_expect_eq(call(0, "/m/ok", "cut", "Authorization: Bearer c\r\n"), 503);
    cr_expect_eq(call(0, "/m/ok", "known", B), 200);
    for (int i = 0; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_peers_proxy(i), FAULT_PROXY_PASS);
    }
    set_store_silent(0, false);
    cr_expect(call_until(401, 0, "/m/ok", "back", A1));
    cr_expect_eq(call(0, "/m/ok", "never", A1), 401);
}

/* The store is silent for one node: a peer tells it of the newer version. */
Test(mesh_workspace_cut, a_withdrawn_key_is_heard_from_a_peer)
{
    set_store_silent(0, true);
    fault_proxy_set_mode(harness_get_store_proxy(1), FAULT_PROXY_PASS);
    fault_proxy_set_mode(harness_get_store_proxy(2), FAULT_PROXY_PASS);
    harness_publish_workspaces(3, WORKSPACE_ROUTES, ONE_KEY);
    cr_expect(HARNESS_WAIT_FOR(is_in_force(0, 3)));
    cr_expect_neq(call(0, "/i/ok", "withdrawn", A1), 200);
    cr_expect_eq(harness_arrival_count("withdrawn"), 0);
    cr_expect_eq(call(0, "/i/ok", "other", A2), 200);
}

static const char *const services[] = {"near", "far", "far"};

/* Before the first desired state nobody is told that a key is unknown. */
Test(mesh_workspace_none, no_desired_state, .fini = harness_stop,
     .timeout = 60)
{
    harness_start(MESH_NODES, services);
    cr_assert(HARNESS_WAIT_FOR(harness_ready_status(0) != 0));
    cr_expect_eq(call(0, "/i/ok", "early-1", A1), 503);
    cr_expect_eq(call(0, "/i/ok", "early-2", ""), 503);
    harness_publish_workspaces(1, WORKSPACE_ROUTES, BOTH_KEYS);
    cr_assert(HARNESS_WAIT_FOR(is_in_force(0, 1)));
    cr_expect_eq(call(0, "/i/ok", "early-3", ""), 401);
}

/* Without workspaces in the desired state all fields pass as they are. */
Test(mesh_workspace_none, no_workspaces, .init = mesh_start,
     .fini = harness_stop, .timeout = 60)
{
    cr_expect_eq(
        call(0, "/i/ok", "as-is", A1 "Lavenderfield-Tenant: somebody\r\n"),
        200);
    const char *head = harness_received_head("as-is");
    cr_expect_not_null(strstr(head, A1), "%s", head);
    cr_expect_not_null(strstr(head, "Lavenderfield-Tenant: somebody\r\n"));
    cr_expect_null(strstr(head, "Lav-Workspace"));
}
