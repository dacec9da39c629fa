/* The deployment: addresses, settings and processes of the nodes. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig_private.h"

#define RIG_PROGRAM "target/lav-platform-node" /* of the deploy file */
#define RIG_TEMPLATE "deploy/node.toml.in"
#define RIG_TEMPLATE_MAX 65536
#define RIG_READY_TIMEOUT_MS 10000

static pthread_mutex_t rig_log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *rig_record;
static char rig_folder[RIG_TEXT_SIZE]; /* temporary */
static char rig_case[RIG_TEXT_SIZE];
static int rig_node_count;
static char rig_ips[RIG_NODES_MAX][24];
static char rig_store_ip[24];
static const char *rig_services[RIG_NODES_MAX];
static pid_t rig_pids[RIG_NODES_MAX];

int64_t
rig_now_ms(void)
{
    static int64_t start_ms;
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int64_t ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
    if (start_ms == 0) {
        start_ms = ms;
    }
    return ms - start_ms;
}

void
rig_sleep_ms(int64_t ms)
{
    struct timespec time = {ms / 1000, ms % 1000 * 1000000L};
    while (nanosleep(&time, &time) < 0 && errno == EINTR) {
    }
}

/* Writes a line with the time to the record of the case. */
void
rig_log(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    pthread_mutex_lock(&rig_log_lock);
    if (rig_record != NULL) {
        fprintf(rig_record, "%7lld ms  ", (long long)rig_now_ms());
        vfprintf(rig_record, format, args);
        fputc('\n', rig_record);
        fflush(rig_record);
    }
    pthread_mutex_unlock(&rig_log_lock);
    va_end(args);
}

/* Whether the disruption of the case takes place. */
bool
rig_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

const char *
rig_ip(int node)
{
    return node < 0 ? rig_store_ip : rig_ips[node];
}

const char *
rig_service(int node)
{
    return node < rig_node_count ? rig_services[node] : NULL;
}

/* Address of a node, or of the store for -1. */
void
rig_address(struct sockaddr_in *out, int node, int port)
{
    *out = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, rig_ip(node), &out->sin_addr);
}

static bool
rig_port_is_free(int node, int port)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    rig_address(&address, node, port);
    bool unused = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return unused;
}

/* Chooses loopback addresses on which all ports are free. */
static void
rig_choose_addresses(void)
{
    static const int ports[] = {RIG_PORT_INBOUND, RIG_PORT_INSTANCE,
                                RIG_PORT_READY,   RIG_PORT_OUTBOUND,
                                RIG_PORT_CONTROL, RIG_PORT_STORE,
                                RIG_PORT_METRICS};
    for (int attempt = 0; attempt < 100; attempt++) {
        unsigned net = (unsigned)getpid() * 7 + (unsigned)attempt * 131;
        bool unused = true;
        snprintf(rig_store_ip, sizeof(rig_store_ip), "127.%u.%u.2",
                 10 + net / 250 % 200, net % 250);
        for (int i = 0; i < rig_node_count; i++) {
            snprintf(rig_ips[i], sizeof(rig_ips[i]), "127.%u.%u.%d",
                     10 + net / 250 % 200, net % 250, 10 + i);
        }
        for (int i = -1; i < rig_node_count; i++) {
            for (size_t j = 0; j < sizeof(ports) / sizeof(ports[0]); j++) {
                unused = unused && rig_port_is_free(i, ports[j]);
            }
        }
        if (unused) {
            return;
        }
    }
    rig_end(RIG_EXIT_NOT_RUN, "no free addresses");
}

/* Value of a placeholder of the settings template. */
static void
rig_placeholder(char *out, size_t size, int node, const char *name)
{
    static const struct {
        const char *name;
        int port;
    } addresses[] = {{"listen_addrs.outbound", RIG_PORT_OUTBOUND},
                     {"listen_addrs.inbound", RIG_PORT_INBOUND},
                     {"listen_addrs.control", RIG_PORT_CONTROL},
                     {"listen_addrs.ready_addr", RIG_PORT_READY},
                     {"app_addr", RIG_PORT_INSTANCE}};
    static const struct {
        const char *name;
        const char *value;
    } values[] = {{"zone", "harju-a"},
                  {"heartbeat", "1500ms"},
                  {"bounds.grace", "6s"},
                  {"bounds.drain", "2000ms"},
                  {"bounds.retry_budget_ratio", "0.2"},
                  {"bounds.budget_slack", "48"},
                  {"bounds.budget_window", "10s"}};
    out[0] = '\0';
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        if (strcmp(name, addresses[i].name) == 0) {
            snprintf(out, size, "%s:%d", rig_ip(node), addresses[i].port);
        }
    }
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        if (strcmp(name, values[i].name) == 0) {
            snprintf(out, size, "%s", values[i].value);
        }
    }
    if (strcmp(name, "node") == 0) {
        snprintf(out, size, "sidecar-harju-a-%d", node + 1);
    }
    else if (strcmp(name, "ip") == 0) {
        snprintf(out, size, "%s", rig_ip(node));
    }
    else if (strcmp(name, "service") == 0) {
        snprintf(out, size, "%s", rig_services[node]);
    }
    else if (strcmp(name, "provider.address") == 0) {
        snprintf(out, size, "%s:%d", rig_store_ip, RIG_PORT_STORE);
    }
}

/* Fills in the template of the deploy file for a node. */
static void
rig_write_settings(const char *path, int node)
{
    static char text[RIG_TEMPLATE_MAX];
    char section[RIG_TEXT_SIZE] = "";
    FILE *in = fopen(RIG_TEMPLATE, "r");
    FILE *out = fopen(path, "w");
    if (in == NULL || out == NULL) {
        rig_end(RIG_EXIT_NOT_RUN, "no settings for node %d", node);
    }
    text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
    fclose(in);
    for (const char *at = text; *at != '\0';) {
        const char *end = strstr(at, "}}");
        if (strncmp(at, "{{", 2) != 0 || end == NULL) {
            fputc(*at++, out);
            continue;
        }
        char name[RIG_TEXT_SIZE];
        char value[RIG_TEXT_SIZE];
        snprintf(name, sizeof(name), "%.*s", (int)(end - at - 2), at + 2);
        at = end + 2;
        if (name[0] == '#') {
            snprintf(section, sizeof(section), "%s", name + 1);
        }
        else if (name[0] != '/') {
            rig_placeholder(value, sizeof(value), node,
                            strcmp(name, ".") == 0 ? section : name);
            fputs(value, out);
        }
    }
    fclose(out);
}

/* Starts the process of a node; what it logs goes to a file in the temporary
 * folder. */
void
rig_start_node(int node)
{
    char settings[RIG_TEXT_SIZE + 32];
    char log[RIG_TEXT_SIZE + 32];
    char variable[RIG_TEXT_SIZE + 64];
    snprintf(settings, sizeof(settings), "%s/node%d.toml", rig_folder, node);
    snprintf(log, sizeof(log), "%s/node%d.log", rig_folder, node);
    snprintf(variable, sizeof(variable), "LAVENDERFIELD_BOOT=%s", settings);
    rig_write_settings(settings, node);
    pid_t pid = fork();
    if (pid == 0) {
        char *const args[] = {RIG_PROGRAM, NULL};
        char *const env[] = {variable, NULL};
        /* The node ends with the case, should that be killed. */
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen(log, "a", stdout) != NULL) {
            execve(RIG_PROGRAM, args, env);
        }
        _exit(127);
    }
    rig_pids[node] = pid;
    rig_log("node %d started, service %s", node, rig_services[node]);
}

void
rig_signal_node(int node, int signal_number)
{
    rig_log("signal %d to node %d", signal_number, node);
    kill(rig_pids[node], signal_number);
}

/* Whether the process of a node has ended; it is reaped then. */
bool
rig_node_has_ended(int node)
{
    int status = 0;
    if (rig_pids[node] == 0) {
        return true;
    }
    if (waitpid(rig_pids[node], &status, WNOHANG) == rig_pids[node]) {
        rig_log("node %d ended, status %x", node, (unsigned)status);
        rig_pids[node] = 0;
        return true;
    }
    return false;
}

/* Starts the store, the instances and the nodes, and waits until each node
 * serves requests. */
void
rig_start(const char *folder, int nodes, const char *const *services,
          const char *routes)
{
    char path[RIG_TEXT_SIZE + 32];
    const char *temporary = getenv("TMPDIR");
    snprintf(rig_case, sizeof(rig_case), "%s", folder);
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    rig_record = fopen(path, "w");
    rig_log("TROUBLE=%d", rig_trouble());
    snprintf(rig_folder, sizeof(rig_folder), "%s/review-XXXXXX",
             temporary != NULL ? temporary : "/tmp");
    if (access(RIG_PROGRAM, X_OK) < 0 || mkdtemp(rig_folder) == NULL) {
        rig_end(RIG_EXIT_NOT_RUN, RIG_PROGRAM " or folder missing");
    }
    rig_node_count = nodes;
    for (int i = 0; i < nodes; i++) {
        rig_services[i] = services[i];
    }
    rig_choose_addresses();
    rig_store_start();
    rig_publish(1, routes);
    for (int i = 0; i < nodes; i++) {
        rig_start_node(i);
    }
    for (int i = 0; i < nodes; i++) {
        if (!rig_wait_ready(i, RIG_READY_TIMEOUT_MS)) {
            rig_end(RIG_EXIT_NOT_RUN, "node %d is not ready", i);
        }
        rig_instance_start(i, services[i]);
    }
    rig_sleep_ms(2 * RIG_CONTACT_MS);
}

/* Ends all processes that the rig started. */
void
rig_stop(void)
{
    for (int i = 0; i < rig_node_count; i++) {
        if (rig_pids[i] != 0) {
            kill(rig_pids[i], SIGKILL);
            kill(rig_pids[i], SIGCONT);
            waitpid(rig_pids[i], NULL, 0);
            rig_pids[i] = 0;
        }
        if (rig_folder[0] != '\0' && getenv("KEEP") == NULL) {
            char path[RIG_TEXT_SIZE + 32];
            snprintf(path, sizeof(path), "%s/node%d.log", rig_folder, i);
            unlink(path);
            snprintf(path, sizeof(path), "%s/node%d.toml", rig_folder, i);
            unlink(path);
        }
    }
    if (rig_folder[0] != '\0' && getenv("KEEP") == NULL) {
        rmdir(rig_folder);
    }
}

/* Ends the case with its result. */
_Noreturn void
rig_end(int status, const char *format, ...)
{
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    rig_log("result %d: %s", status, text);
    printf("%s\n", text);
    fflush(stdout);
    rig_stop();
    _exit(status);
}
