#include "pfr.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "pfr_private.h"
#include "prc.h"

#define PFR_PORTS 8      /* of a node, by enum pfr_port */
#define PFR_DRAIN_MS 400 /* of a target, unless told otherwise */
/* Descriptors for connections between nodes that pass through proxies here,
 * two each and up to one for each pair of nodes: a third of the 20,000
 * that a process may have on the machines of the tests. */
#define PFR_PROXIED_FDS 6000

enum pfr_port {
    PFR_CALLERS,
    PFR_PEERS,
    PFR_CONTROL,
    PFR_READY,
    PFR_TARGET,
    PFR_METRICS,
    PFR_PEERS_PROXY,
    PFR_STORE_PROXY
};

typedef struct pfr_node {
    pid_t pid;
    int ports[PFR_PORTS];
    int target_fd;
    char service[32];
    char instance[64];
    long born;
    int sequence;
    prx *peers_proxy;
    prx *store_proxy;
} pfr_node;

pthread_mutex_t pfr_lock = PTHREAD_MUTEX_INITIALIZER;

static pfr_node pfr_nodes[PFR_NODES_MAX];
static int pfr_node_count;
static int pfr_store_port;
static int pfr_store_fd;
static pfr_options pfr_opts;
#define PFR_FOLDER "/tmp/lav-platform-test-XXXXXX"
static char pfr_folder[] = PFR_FOLDER;

void
pfr_sleep_ms(int ms)
{
    clock_sleep_us((int64_t)ms * CLOCK_US_PER_MS);
}

/* Nodes with a proxy before their peers' port, the first ones; in a large
 * deployment not all. */
int
pfr_proxied_nodes(void)
{
    int fit = PFR_PROXIED_FDS / (2 * pfr_node_count);
    return fit < pfr_node_count ? fit : pfr_node_count;
}

static void
pfr_write_settings(int node)
{
    char path[128];
    const pfr_node *k = &pfr_nodes[node];
    snprintf(path, sizeof(path), "%s/node%d.toml", pfr_folder, node);
    FILE *file = fopen(path, "w");
    fprintf(file,
            "[node]\nname = \"node%d\"\nzone = \"z%d\"\nstop_grace = \"5s\"\n"
            "[addresses]\ncallers = \"127.0.0.1:%d\"\n"
            "peers = \"127.0.0.1:%d\"\npeers_advertised = "
            "\"127.0.0.1:%d\"\ncontrol = \"127.0.0.1:%d\"\n"
            "ready = \"127.0.0.1:%d\"\nstore = \"127.0.0.1:%d\"\n"
            "metrics = \"127.0.0.1:%d\"\n"
            "[target]\nservice = \"%s\"\naddress = \"127.0.0.1:%d\"\n"
            "heartbeat = \"1s\"\ndrain = \"%dms\"\n"
            "[retries]\nratio = 0.5\nslack = 100\n",
            node, node % 2, k->ports[PFR_CALLERS], k->ports[PFR_PEERS],
            k->ports[k->peers_proxy != NULL ? PFR_PEERS_PROXY : PFR_PEERS],
            k->ports[PFR_CONTROL], k->ports[PFR_READY],
            k->store_proxy != NULL ? k->ports[PFR_STORE_PROXY]
                                   : pfr_store_port,
            k->ports[PFR_METRICS], k->service, k->ports[PFR_TARGET],
            pfr_opts.drain_ms > 0 ? pfr_opts.drain_ms : PFR_DRAIN_MS);
    fclose(file);
}

static void
pfr_clock_path(char *out, size_t size, int node)
{
    snprintf(out, size, "%s/node%d.clock", pfr_folder, node);
}

/* Let a node's time of day be ahead, or (negative) behind. */
void
pfr_set_clock(int node, int64_t ahead_ms)
{
    char path[128];
    pfr_clock_path(path, sizeof(path), node);
    FILE *file = fopen(path, "w");
    if (file == NULL || fprintf(file, "%lld\n", (long long)ahead_ms) < 0 ||
        fclose(file) != 0) {
        perror(path);
        abort();
    }
}

/* Start a node's process. */
void
pfr_start_node(int node)
{
    char path[128];
    char log[128];
    err e = ERR_INIT;
    char *argv[] = {PFR_PROGRAM, NULL};
    snprintf(path, sizeof(path), "%s/node%d.toml", pfr_folder, node);
    snprintf(log, sizeof(log), "%s/node%d.log", pfr_folder, node);
    setenv("LAVENDERFIELD_BOOT", path, 1);
    if (pfr_opts.clock != NULL) {
        pfr_clock_path(path, sizeof(path), node);
        setenv("JMP_FILE", path, 1);
        setenv("LD_PRELOAD", pfr_opts.clock, 1);
    }
    if (prc_start(&pfr_nodes[node].pid, argv, log, &e) < 0) {
        fprintf(stderr, "%s\n", e.message);
        abort();
    }
}

/* Start the store, targets and nodes, `services` being those beside them. */
void
pfr_start(int nodes, const char *const *services)
{
    pfr_options usual = {0};
    pfr_start_with(nodes, services, &usual);
}

/* The same, differing from the usual deployment. */
void
pfr_start_with(int nodes, const char *const *services, const pfr_options *opts)
{
    pfr_opts = *opts;
    snprintf(pfr_folder, sizeof(pfr_folder), PFR_FOLDER);
    signal(SIGPIPE, SIG_IGN);
    if (mkdtemp(pfr_folder) == NULL) {
        abort();
    }
    pfr_store_reset();
    pfr_target_reset();
    pfr_node_count = nodes;
    pfr_store_port = prc_free_port();
    pfr_store_fd = pfr_listen(pfr_store_port, 0, pfr_serve_store);
    for (int i = 0; i < nodes; i++) {
        pfr_node *k = &pfr_nodes[i];
        for (int j = 0; j < PFR_PORTS; j++) {
            k->ports[j] = prc_free_port();
        }
        snprintf(k->service, sizeof(k->service), "%s", services[i]);
        snprintf(k->instance, sizeof(k->instance), "i-%d", i);
        pfr_target_name(i, k->instance);
        k->born = 1000;
        k->sequence = 0;
        k->target_fd = pfr_listen(k->ports[PFR_TARGET], i, pfr_serve_target);
        if (opts->proxied && i < pfr_proxied_nodes()) {
            k->peers_proxy =
                prx_start(k->ports[PFR_PEERS_PROXY], k->ports[PFR_PEERS]);
        }
        if (opts->proxied) {
            k->store_proxy =
                prx_start(k->ports[PFR_STORE_PROXY], pfr_store_port);
        }
        pfr_write_settings(i);
        pfr_start_node(i);
    }
}

/* End what was started. */
void
pfr_stop(void)
{
    for (int i = 0; i < pfr_node_count; i++) {
        pfr_node *k = &pfr_nodes[i];
        prc_kill(&k->pid);
        prx_stop(k->peers_proxy);
        prx_stop(k->store_proxy);
        shutdown(k->target_fd, SHUT_RDWR);
        close(k->target_fd);
        *k = (pfr_node){0};
    }
    unsetenv("LD_PRELOAD");
    shutdown(pfr_store_fd, SHUT_RDWR);
    close(pfr_store_fd);
    pfr_node_count = 0;
}

/* Proxies of a node, where the deployment has them. */
prx *
pfr_peers_proxy(int node)
{
    return pfr_nodes[node].peers_proxy;
}

prx *
pfr_store_proxy(int node)
{
    return pfr_nodes[node].store_proxy;
}

/* Whether the process of a node runs. */
bool
pfr_node_lives(int node)
{
    return pfr_nodes[node].pid > 0 && prc_wait(&pfr_nodes[node].pid, 0) < 0;
}

const char *
pfr_logs(void)
{
    return pfr_folder;
}

/* The target beside a node stops, or goes on, accepting connections. */
void
pfr_target_refuse(int node, bool refuse)
{
    pfr_node *k = &pfr_nodes[node];
    if (refuse) {
        shutdown(k->target_fd, SHUT_RDWR);
        close(k->target_fd);
        k->target_fd = -1;
    }
    else {
        k->target_fd =
            pfr_listen(k->ports[PFR_TARGET], node, pfr_serve_target);
    }
}

void
pfr_signal_node(int node, int signal_number)
{
    prc_signal(pfr_nodes[node].pid, signal_number);
}

/* Wait for a node's process to end; its exit status. */
int
pfr_await_node_end(int node)
{
    return prc_wait(&pfr_nodes[node].pid, 10000);
}

/* Write the settings file again. */
void
pfr_touch_settings(int node)
{
    pfr_write_settings(node);
}

/* Whether the log of a node has that text. */
bool
pfr_log_has(int node, const char *text)
{
    char path[128];
    char line[4096];
    bool found = false;
    snprintf(path, sizeof(path), "%s/node%d.log", pfr_folder, node);
    FILE *file = fopen(path, "r");
    while (file != NULL && !found && fgets(line, sizeof(line), file) != NULL) {
        found = strstr(line, text) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return found;
}

int
pfr_metrics_port(int node)
{
    return pfr_nodes[node].ports[PFR_METRICS];
}

int
pfr_callers_port(int node)
{
    return pfr_nodes[node].ports[PFR_CALLERS];
}

int
pfr_peers_port(int node)
{
    return pfr_nodes[node].ports[PFR_PEERS];
}

static int
pfr_connect_port(int port)
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

/* Connect to a node as a caller; -1 where it does not listen. */
int
pfr_connect(int node)
{
    return pfr_connect_port(pfr_callers_port(node));
}

static int
pfr_ask(int port, const char *text)
{
    int fd = pfr_connect_port(port);
    if (fd < 0) {
        return 0;
    }
    pfr_answer answer;
    pfr_send(fd, text, strlen(text));
    pfr_read_answer(&answer, fd);
    int status = answer.status;
    pfr_clear(&answer);
    close(fd);
    return status;
}

/* The answer of any port to a GET. */
void
pfr_fetch(pfr_answer *out, int port, const char *path)
{
    char request[256];
    int fd = pfr_connect_port(port);
    *out = (pfr_answer){0};
    if (fd < 0) {
        return;
    }
    snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n",
             path);
    pfr_send(fd, request, strlen(request));
    pfr_read_answer(out, fd);
    close(fd);
}

int
pfr_ready_status(int node)
{
    return pfr_ask(pfr_nodes[node].ports[PFR_READY],
                   "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
}

bool
pfr_await_ready(int node)
{
    return PFR_AWAIT(pfr_ready_status(node) == 200);
}

/* Register with a body of one's own. */
int
pfr_beat_text(int node, const char *instance, const char *text)
{
    char request[2048];
    snprintf(request, sizeof(request),
             "PUT /api/instances/%s HTTP/1.1\r\nHost: x\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
             instance, strlen(text), text);
    return pfr_ask(pfr_nodes[node].ports[PFR_CONTROL], request);
}

/* The target beside a node registers; `sequence` 0: the next one. */
int
pfr_beat(int node, const char *state, int sequence)
{
    char text[1024];
    pfr_node *k = &pfr_nodes[node];
    if (sequence == 0) {
        sequence = ++k->sequence;
    }
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
             "\"version\":\"v1\",\"concurrency\":40,\"state\":\"%s\","
             "\"warmup_left\":\"0ms\",\"sequence\":%d,\"born\":%ld}",
             k->service, k->ports[PFR_TARGET], state, sequence, k->born);
    return pfr_beat_text(node, k->instance, text);
}

/* The target takes its registration away. */
int
pfr_leave(int node)
{
    char request[256];
    snprintf(request, sizeof(request),
             "DELETE /api/instances/%s HTTP/1.1\r\nHost: x\r\n\r\n",
             pfr_nodes[node].instance);
    return pfr_ask(pfr_nodes[node].ports[PFR_CONTROL], request);
}

static void
pfr_another_start(int node, const char *instance, int born_later)
{
    pfr_node *k = &pfr_nodes[node];
    k->born += born_later;
    k->sequence = 0;
    snprintf(k->instance, sizeof(k->instance), "%s", instance);
    pfr_target_name(node, instance);
}

/* The target starts anew. */
void
pfr_new_lifetime(int node, const char *instance)
{
    pfr_another_start(node, instance, 1);
}

/* The same, after the clock of its host was set back. */
void
pfr_set_back(int node, const char *instance)
{
    pfr_another_start(node, instance, -1);
}

/* One request on a connection of its own. */
void
pfr_call(pfr_answer *out, int node, const char *method, const char *path,
         const char *id, const char *body, size_t length)
{
    char head[1024];
    int fd = pfr_connect(node);
    *out = (pfr_answer){0};
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
    pfr_send(fd, head, (size_t)size);
    if (body != NULL) {
        pfr_send(fd, body, length);
    }
    pfr_read_answer(out, fd);
    close(fd);
}
