#include "harness.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "harness_private.h"
#include "proc.h"

#define HARNESS_GRACE_MS 5000
#define HARNESS_DRAIN_MS 400 /* default of harness_options.drain_ms */
/* Descriptors for proxied connections between nodes.  Each connection takes
 * two, and there may be one for each pair of nodes.  The limit is a third of
 * the 20,000 descriptors that a process may open on the test machines. */
#define HARNESS_PROXIED_FDS 6000

pthread_mutex_t harness_lock = PTHREAD_MUTEX_INITIALIZER;

harness_node harness_nodes[HARNESS_NODES_MAX];
static int harness_node_count;
static int harness_store_port;
static int harness_store_fd;
static harness_options harness_opts;
#define HARNESS_DIR_TEMPLATE "/tmp/lav-platform-test-XXXXXX"
static char harness_dir[] = HARNESS_DIR_TEMPLATE;

void
harness_sleep_ms(int ms)
{
    clock_sleep_us((int64_t)ms * CLOCK_US_PER_MS);
}

/* How many nodes, counted from node 0, have a proxy in front of their peer
 * port.  In a large deployment not all have one, since HARNESS_PROXIED_FDS
 * limits the descriptors. */
int
harness_proxied_node_count(void)
{
    int limit = HARNESS_PROXIED_FDS / (2 * harness_node_count);
    return limit < harness_node_count ? limit : harness_node_count;
}

/* Write the settings file of a node. */
static void
harness_write_settings(int node)
{
    char path[128];
    const harness_node *k = &harness_nodes[node];
    snprintf(path, sizeof(path), "%s/node%d.toml", harness_dir, node);
    FILE *file = fopen(path, "w");
    fprintf(
        file,
        "[node]\nname = \"node%d\"\nzone = \"z%d\"\nfirst_start = %s\n"
        "stop_grace = \"%dms\"\n"
        "[addresses]\ncallers = \"127.0.0.1:%d\"\n"
        "peers = \"127.0.0.1:%d\"\npeers_advertised = "
        "\"127.0.0.1:%d\"\ncontrol = \"127.0.0.1:%d\"\n"
        "ready = \"127.0.0.1:%d\"\nstore = \"127.0.0.1:%d\"\n"
        "metrics = \"127.0.0.1:%d\"\n"
        "[target]\nservice = \"%s\"\naddress = \"127.0.0.1:%d\"\n"
        "heartbeat = \"1s\"\ndrain = \"%dms\"\n"
        "[retries]\nratio = 0.5\nslack = 100\n",
        node, node % 2, k->started ? "false" : "true",
        harness_opts.grace_ms > 0 ? harness_opts.grace_ms : HARNESS_GRACE_MS,
        k->ports[HARNESS_CALLERS], k->ports[HARNESS_PEERS],
        k->ports[k->peers_proxy != NULL ? HARNESS_PEERS_PROXY : HARNESS_PEERS],
        k->ports[HARNESS_CONTROL], k->ports[HARNESS_READY],
        k->store_proxy != NULL ? k->ports[HARNESS_STORE_PROXY]
                               : harness_store_port,
        k->ports[HARNESS_METRICS], k->service, k->ports[HARNESS_TARGET],
        harness_opts.drain_ms > 0 ? harness_opts.drain_ms : HARNESS_DRAIN_MS);
    fclose(file);
}

/* The file from which the preloaded clock library reads a node's offset. */
static void
harness_clock_path(char *out, size_t size, int node)
{
    snprintf(out, size, "%s/node%d.clock", harness_dir, node);
}

/* Set a node's wall clock ahead of the true time, or behind with a negative
 * offset, in ms.  Works only when harness_options.clock was set. */
void
harness_set_clock_offset(int node, int64_t ahead_ms)
{
    char path[128];
    harness_clock_path(path, sizeof(path), node);
    FILE *file = fopen(path, "w");
    if (file == NULL || fprintf(file, "%lld\n", (long long)ahead_ms) < 0 ||
        fclose(file) != 0) {
        perror(path);
        abort();
    }
}

/* Start a node's process; aborts when that fails. */
void
harness_start_node(int node)
{
    char path[128];
    char log[128];
    err e = ERR_INIT;
    char *argv[] = {PFR_PROGRAM, NULL};
    snprintf(path, sizeof(path), "%s/node%d.toml", harness_dir, node);
    snprintf(log, sizeof(log), "%s/node%d.log", harness_dir, node);
    harness_write_settings(node);
    harness_nodes[node].started = true;
    setenv("LAVENDERFIELD_BOOT", path, 1);
    if (harness_opts.clock != NULL) {
        harness_clock_path(path, sizeof(path), node);
        setenv("JMP_FILE", path, 1);
        setenv("LD_PRELOAD", harness_opts.clock, 1);
    }
    if (proc_start(&harness_nodes[node].pid, argv, log, &e) < 0) {
        fprintf(stderr, "%s\n", e.message);
        abort();
    }
}

/* Start the store, and for each node its target and its process; `services`
 * are the targets' services, one for each node. */
void
harness_start(int nodes, const char *const *services)
{
    harness_options defaults = {0};
    harness_start_with(nodes, services, &defaults);
}

/* The same with options. */
void
harness_start_with(int nodes, const char *const *services,
                   const harness_options *opts)
{
    harness_opts = *opts;
    snprintf(harness_dir, sizeof(harness_dir), HARNESS_DIR_TEMPLATE);
    signal(SIGPIPE, SIG_IGN);
    if (mkdtemp(harness_dir) == NULL) {
        abort();
    }
    harness_store_reset();
    harness_target_reset();
    harness_node_count = nodes;
    harness_store_port = proc_reserve_port();
    harness_store_fd =
        harness_listen(harness_store_port, 0, harness_serve_store);
    for (int i = 0; i < nodes; i++) {
        harness_node *k = &harness_nodes[i];
        for (int j = 0; j < HARNESS_PORTS; j++) {
            k->ports[j] = proc_reserve_port();
        }
        snprintf(k->service, sizeof(k->service), "%s", services[i]);
        snprintf(k->instance, sizeof(k->instance), "i-%d", i);
        harness_set_target_instance(i, k->instance);
        k->born = 1000;
        k->sequence = 0;
        k->target_fd =
            harness_listen(k->ports[HARNESS_TARGET], i, harness_serve_target);
        if (opts->proxied && i < harness_proxied_node_count()) {
            k->peers_proxy = fault_proxy_start(k->ports[HARNESS_PEERS_PROXY],
                                               k->ports[HARNESS_PEERS]);
        }
        if (opts->proxied) {
            k->store_proxy = fault_proxy_start(k->ports[HARNESS_STORE_PROXY],
                                               harness_store_port);
        }
        k->started = false;
        harness_start_node(i);
    }
}

/* Kill the nodes and stop the proxies and listeners. */
void
harness_stop(void)
{
    for (int i = 0; i < harness_node_count; i++) {
        harness_node *k = &harness_nodes[i];
        proc_kill(&k->pid);
        fault_proxy_stop(k->peers_proxy);
        fault_proxy_stop(k->store_proxy);
        shutdown(k->target_fd, SHUT_RDWR);
        close(k->target_fd);
        *k = (harness_node){0};
    }
    unsetenv("LD_PRELOAD");
    shutdown(harness_store_fd, SHUT_RDWR);
    close(harness_store_fd);
    harness_node_count = 0;
}

/* The proxy in front of a node's peer port; NULL where there is none. */
fault_proxy *
harness_get_peers_proxy(int node)
{
    return harness_nodes[node].peers_proxy;
}

/* The proxy between a node and the store; NULL where there is none. */
fault_proxy *
harness_get_store_proxy(int node)
{
    return harness_nodes[node].store_proxy;
}

/* Whether a node's process is running. */
bool
harness_node_is_running(int node)
{
    return harness_nodes[node].pid > 0 &&
           proc_wait(&harness_nodes[node].pid, 0) < 0;
}

/* The directory that holds the nodes' logs, node<N>.log. */
const char *
harness_log_dir(void)
{
    return harness_dir;
}

/* Make the target beside a node refuse connections, or accept them again. */
void
harness_set_target_refusing(int node, bool refuse)
{
    harness_node *k = &harness_nodes[node];
    if (refuse) {
        shutdown(k->target_fd, SHUT_RDWR);
        close(k->target_fd);
        k->target_fd = -1;
    }
    else {
        k->target_fd = harness_listen(k->ports[HARNESS_TARGET], node,
                                      harness_serve_target);
    }
}

void
harness_signal_node(int node, int signal_number)
{
    proc_signal(harness_nodes[node].pid, signal_number);
}

/* Wait up to 10 s for a node's process to end.  Returns its exit status, or
 * -1 when it did not end. */
int
harness_wait_node_exit(int node)
{
    return proc_wait(&harness_nodes[node].pid, 10000);
}

/* Write a node's settings file again, with the same contents. */
void
harness_rewrite_settings(int node)
{
    harness_write_settings(node);
}

int
harness_metrics_port(int node)
{
    return harness_nodes[node].ports[HARNESS_METRICS];
}

int
harness_callers_port(int node)
{
    return harness_nodes[node].ports[HARNESS_CALLERS];
}

int
harness_peers_port(int node)
{
    return harness_nodes[node].ports[HARNESS_PEERS];
}

/* Connect to a loopback port; reads time out after 10 s.  Returns -1 when
 * nothing listens there. */
int
harness_connect_port(int port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval limit = {10, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Connect to a node's callers port; -1 when it does not listen. */
int
harness_connect(int node)
{
    return harness_connect_port(harness_callers_port(node));
}

/* Send a request to a port.  Returns the status of the response, or 0 when
 * there was none. */
int
harness_request_status(int port, const char *text)
{
    int fd = harness_connect_port(port);
    if (fd < 0) {
        return 0;
    }
    harness_response response;
    harness_send(fd, text, strlen(text));
    harness_read_response(&response, fd);
    int status = response.status;
    harness_free_response(&response);
    close(fd);
    return status;
}

/* Send a GET request to a port and read the response; its status is 0 when
 * nothing listens there. */
void
harness_http_get(harness_response *out, int port, const char *path)
{
    char request[256];
    int fd = harness_connect_port(port);
    *out = (harness_response){0};
    if (fd < 0) {
        return;
    }
    snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n",
             path);
    harness_send(fd, request, strlen(request));
    harness_read_response(out, fd);
    close(fd);
}

/* The HTTP status of a node's readiness check; 0 when it does not respond. */
int
harness_ready_status(int node)
{
    return harness_request_status(
        harness_nodes[node].ports[HARNESS_READY],
        "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
}

/* Wait up to 10 s for a node to be ready; whether it is. */
bool
harness_wait_ready(int node)
{
    return HARNESS_WAIT_FOR(harness_ready_status(node) == 200);
}

/* Send a request without a body on a new connection, and don't wait for its
 * response.  Returns the connection, or -1 when the node does not listen. */
int
harness_start_call(int node, const char *method, const char *path,
                   const char *id)
{
    char request[512];
    int fd = harness_connect(node);
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Content-Length: 0\r\n\r\n",
                        method, path, id);
    if (fd >= 0) {
        harness_send(fd, request, (size_t)size);
    }
    return fd;
}

/* Send a request of a caller, with a deadline of 5 s, on a new connection to
 * a node and read the response; its status is 0 when the node does not
 * listen. */
void
harness_call(harness_response *out, int node, const char *method,
             const char *path, const char *id, const char *body, size_t length)
{
    char head[1024];
    int fd = harness_connect(node);
    *out = (harness_response){0};
    if (fd < 0) {
        return;
    }
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Lavenderfield-Deadline-Ms: 5000\r\n",
                        method, path, id);
    if (body != NULL) {
        size += snprintf(head + size, sizeof(head) - (size_t)size,
                         "Content-Length: %zu\r\n", length);
    }
    size += snprintf(head + size, sizeof(head) - (size_t)size, "\r\n");
    harness_send(fd, head, (size_t)size);
    if (body != NULL) {
        harness_send(fd, body, length);
    }
    harness_read_response(out, fd);
    close(fd);
}
