#include "rig3.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "lav/clock.h"
#include "proc.h"

#define RIG3_HEARTBEAT_MS 1000
#define RIG3_WAITING_MAX 72
#define RIG3_PARTS 20       /* of an answer that is sent over some time */
#define RIG3_DEADLINE_S 110 /* the whole case */

rig3_instance rig3_instances[HARNESS_NODES_MAX];
static int rig3_node_count;
static FILE *rig3_record;
static int64_t rig3_began_us;
static pthread_mutex_t rig3_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *rig3_seen; /* id -> rig3_trace */
#define RIG3_AGAIN_MAX 100000
static int64_t rig3_again_ms[RIG3_AGAIN_MAX];
static int rig3_again_count;

typedef struct rig3_trace {
    int arrivals;
    int runs;
    int whole;
    int64_t arrived_ms;  /* the last time */
    const char *service; /* that ran it last */
} rig3_trace;

/* Whether the disruption is on. */
bool
rig3_trouble(void)
{
    const char *value = getenv("TROUBLE");
    return value == NULL || strcmp(value, "0") != 0;
}

/* Time since the case began. */
int64_t
rig3_now_ms(void)
{
    return (clock_now_us() - rig3_began_us) / 1000;
}

/* Write a line to the record. */
void
rig3_note(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    pthread_mutex_lock(&rig3_lock);
    fprintf(rig3_record, "%7.3f ", (double)rig3_now_ms() / 1000);
    vfprintf(rig3_record, format, args);
    fputc('\n', rig3_record);
    pthread_mutex_unlock(&rig3_lock);
    va_end(args);
}

/* The case takes too long, or is to end: it couldn't run. */
static void
rig3_on_alarm(int number)
{
    (void)number;
    static const char text[] = "the case was ended before its verdict\n";
    (void)!write(STDERR_FILENO, text, sizeof(text) - 1);
    for (int i = 0; i < rig3_node_count; i++) {
        if (harness_nodes[i].pid > 0) {
            kill(harness_nodes[i].pid, SIGKILL); /* ours, also if stopped */
        }
    }
    _exit(2);
}

/* Open the record, named by RIG3_RECORD or record.txt. */
void
rig3_begin(const char *name)
{
    const char *path = getenv("RIG3_RECORD");
    rig3_record = fopen(path == NULL ? "record.txt" : path, "w");
    if (rig3_record == NULL) {
        exit(2);
    }
    setvbuf(rig3_record, NULL, _IOLBF, 0);
    rig3_began_us = clock_now_us();
    rig3_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, rig3_on_alarm);
    signal(SIGTERM, rig3_on_alarm);
    signal(SIGINT, rig3_on_alarm);
    alarm(RIG3_DEADLINE_S);
    rig3_note("%s, disruption %s", name, rig3_trouble() ? "on" : "off");
}

/* Remove the settings and logs of the nodes. */
static void
rig3_remove_files(void)
{
    char path[512];
    for (int i = 0; i < rig3_node_count; i++) {
        snprintf(path, sizeof(path), "%s/node%d.toml", harness_log_dir(), i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/node%d.log", harness_log_dir(), i);
        unlink(path);
    }
    rmdir(harness_log_dir());
}

/* End all processes and exit with the verdict. */
void
rig3_end(int verdict)
{
    rig3_note("verdict %d", verdict);
    printf("verdict %d\n", verdict);
    fflush(stdout);
    for (int i = 0; i < rig3_node_count; i++) {
        proc_signal(harness_nodes[i].pid, SIGCONT);
        proc_kill(&harness_nodes[i].pid);
    }
    if (getenv("KEEP_LOGS") == NULL) {
        rig3_remove_files();
    }
    fflush(rig3_record);
    _exit(verdict);
}

void
rig3_sleep_ms(int ms)
{
    clock_sleep_us((int64_t)ms * 1000);
}

/* The trace of an id; the lock is held. */
static rig3_trace *
rig3_find(const char *id)
{
    rig3_trace *t = g_hash_table_lookup(rig3_seen, id);
    if (t == NULL) {
        t = g_new0(rig3_trace, 1);
        g_hash_table_insert(rig3_seen, g_strdup(id), t);
    }
    return t;
}

int
rig3_runs(const char *id)
{
    pthread_mutex_lock(&rig3_lock);
    int runs = rig3_find(id)->runs;
    pthread_mutex_unlock(&rig3_lock);
    return runs;
}

int
rig3_arrivals(const char *id)
{
    pthread_mutex_lock(&rig3_lock);
    int arrivals = rig3_find(id)->arrivals;
    pthread_mutex_unlock(&rig3_lock);
    return arrivals;
}

int
rig3_whole(const char *id)
{
    pthread_mutex_lock(&rig3_lock);
    int whole = rig3_find(id)->whole;
    pthread_mutex_unlock(&rig3_lock);
    return whole;
}

/* When a request last arrived at an instance; 0: never. */
int64_t
rig3_arrived_ms(const char *id)
{
    pthread_mutex_lock(&rig3_lock);
    int64_t at = rig3_find(id)->arrived_ms;
    pthread_mutex_unlock(&rig3_lock);
    return at;
}

/* The service that last ran a request. */
const char *
rig3_ran_service(const char *id)
{
    pthread_mutex_lock(&rig3_lock);
    const char *service = rig3_find(id)->service;
    pthread_mutex_unlock(&rig3_lock);
    return service == NULL ? "" : service;
}

/* Arrivals beyond the first of each request between two times. */
int
rig3_again(int64_t from_ms, int64_t to_ms)
{
    int count = 0;
    pthread_mutex_lock(&rig3_lock);
    for (int i = 0; i < rig3_again_count; i++) {
        count += rig3_again_ms[i] >= from_ms && rig3_again_ms[i] < to_ms;
    }
    pthread_mutex_unlock(&rig3_lock);
    return count;
}

/* Note that a request arrived, or that it began to run. */
static void
rig3_trace_add(const char *id, int arrivals, int runs, const char *service)
{
    pthread_mutex_lock(&rig3_lock);
    rig3_trace *t = rig3_find(id);
    if (arrivals > 0 && t->arrivals > 0 && rig3_again_count < RIG3_AGAIN_MAX) {
        rig3_again_ms[rig3_again_count++] = rig3_now_ms();
    }
    t->arrivals += arrivals;
    t->runs += runs;
    t->service = runs > 0 ? service : t->service;
    if (arrivals > 0) {
        t->arrived_ms = rig3_now_ms();
    }
    pthread_mutex_unlock(&rig3_lock);
}

/* Read a head, up to the empty line; false if the connection ended. */
static bool
rig3_read_head(int fd, char *out, size_t size)
{
    size_t length = 0;
    while (length + 1 < size && recv(fd, out + length, 1, 0) == 1) {
        out[++length] = '\0';
        if (length >= 4 && strcmp(out + length - 4, "\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

/* Read and drop the body of a request; false if the connection ended. */
static bool
rig3_skip_body(int fd, const char *head)
{
    char value[64];
    char buffer[16384];
    if (!harness_find_header(value, sizeof(value), head, "Content-Length")) {
        return true;
    }
    long left = atol(value);
    while (left > 0) {
        ssize_t got = recv(
            fd, buffer,
            left < (long)sizeof(buffer) ? (size_t)left : sizeof(buffer), 0);
        if (got <= 0) {
            return false;
        }
        left -= got;
    }
    return true;
}

/* Whether the peer has closed its connection. */
static bool
rig3_is_closed(int fd)
{
    struct pollfd p = {fd, POLLIN | POLLRDHUP, 0};
    char byte;
    return poll(&p, 1, 0) == 1 &&
           ((p.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0 ||
            recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

/* Wait for a slot; false if the request is refused. */
static bool
rig3_take_slot(rig3_instance *x)
{
    pthread_mutex_lock(&rig3_lock);
    if (x->running >= x->slots && x->waiting >= RIG3_WAITING_MAX) {
        pthread_mutex_unlock(&rig3_lock);
        return false;
    }
    x->waiting++;
    while (x->running >= x->slots) {
        pthread_mutex_unlock(&rig3_lock);
        rig3_sleep_ms(2);
        pthread_mutex_lock(&rig3_lock);
    }
    x->waiting--;
    x->running++;
    pthread_mutex_unlock(&rig3_lock);
    return true;
}

/* Send an answer of some bytes; false if the connection ended. */
static bool
rig3_answer_long(int fd, const char *id, const char *headers, long size,
                 int over_ms)
{
    static const char block[65536];
    char head[2048];
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 200 OK\r\nContent-Length: %ld\r\n%s\r\n",
                          size, headers);
    if (send(fd, head, (size_t)length, MSG_NOSIGNAL) != length) {
        return false;
    }
    long part_max = over_ms > 0 ? size / RIG3_PARTS + 1 : (long)sizeof(block);
    for (long left = size; left > 0;) {
        size_t part = (size_t)(left < part_max ? left : part_max);
        ssize_t sent = send(fd, block, part, MSG_NOSIGNAL);
        if (sent <= 0) {
            rig3_note("%s: the instance can't send %ld bytes", id, left);
            return false;
        }
        left -= sent;
        rig3_sleep_ms(over_ms / RIG3_PARTS);
    }
    pthread_mutex_lock(&rig3_lock);
    rig3_find(id)->whole++;
    pthread_mutex_unlock(&rig3_lock);
    rig3_note("%s: the instance has sent all of its answer", id);
    return true;
}

/* Serve one connection to the instance beside a node. */
static void
rig3_serve(int fd, int node)
{
    rig3_instance *x = &rig3_instances[node];
    char head[16384];
    char id[128];
    char expected[128];
    char answer[1024];
    char path[512];
    char method[16];
    while (rig3_read_head(fd, head, sizeof(head))) {
        if (sscanf(head, "%15s %511s", method, path) != 2) {
            return;
        }
        if (strcmp(path, HARNESS_HEALTH_PATH) == 0) {
            snprintf(answer, sizeof(answer),
                     "Lavenderfield-Instance-Id: %s\r\n%s", x->id, x->extra);
            harness_write_response(
                fd, strcmp(x->state, "ready") == 0 ? 200 : 503, answer, "", 0);
            continue;
        }
        harness_find_header(id, sizeof(id), head, "Lavenderfield-Attempt-Id");
        harness_find_header(expected, sizeof(expected), head,
                            "Lavenderfield-Expected-Instance");
        rig3_trace_add(id, 1, 0, NULL);
        rig3_note("%s reaches %s beside node %d: %s %s", id, x->id, node,
                  method, path);
        if (!rig3_skip_body(fd, head)) {
            rig3_note("%s ends at %s before its body is whole", id, x->id);
            return;
        }
        if (strcmp(expected, x->id) != 0) {
            snprintf(answer, sizeof(answer),
                     "Lavenderfield-Attempt-Id: %s\r\n"
                     "Lavenderfield-Instance-Id: %s\r\n%s",
                     id, x->id, x->extra);
            harness_write_response(fd, 421, answer, "", 0);
            continue;
        }
        if (rand() % 1000 < x->shed_permille || !rig3_take_slot(x)) {
            rig3_note("%s is rejected by %s", id, x->id);
            snprintf(answer, sizeof(answer),
                     "Lavenderfield-Attempt-Id: %s\r\n"
                     "Lavenderfield-Not-Executed: 1\r\n%s",
                     id, x->extra);
            harness_write_response(fd, 503, answer, "", 0);
            continue;
        }
        rig3_trace_add(id, 0, 1, x->service);
        rig3_note("%s runs at %s", id, x->id);
        const char *work = strstr(path, "work-");
        int left_ms = work == NULL ? 5 : atoi(work + strlen("work-"));
        bool gone = false;
        for (; left_ms > 0 && !gone; left_ms -= 5) {
            rig3_sleep_ms(left_ms < 5 ? left_ms : 5);
            gone = rig3_is_closed(fd);
        }
        pthread_mutex_lock(&rig3_lock);
        x->running--;
        pthread_mutex_unlock(&rig3_lock);
        if (gone) {
            rig3_note("%s is dropped at %s, its connection closed", id, x->id);
            return;
        }
        rig3_note("%s is answered by %s", id, x->id);
        snprintf(answer, sizeof(answer),
                 "Lavenderfield-Attempt-Id: %s\r\n"
                 "Lavenderfield-Response-Seal: seal-of-%s\r\n%s",
                 id, id, x->extra);
        const char *size = strstr(path, "size-");
        const char *over = strstr(path, "over-");
        if (size == NULL) {
            harness_write_response(fd, 200, answer, "done", 4);
        }
        else if (!rig3_answer_long(
                     fd, id, answer, atol(size + strlen("size-")),
                     over == NULL ? 0 : atoi(over + strlen("over-")))) {
            return;
        }
    }
}

/* Send a heartbeat of the instance beside a node. */
static void
rig3_beat(int node)
{
    rig3_instance *x = &rig3_instances[node];
    char text[1024];
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
             "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"%s\","
             "\"warmup_left\":\"0ms\",\"sequence\":%d,\"born\":%ld}",
             x->service, harness_nodes[node].ports[HARNESS_TARGET], x->slots,
             x->state, ++x->sequence, x->born_ms);
    harness_send_heartbeat_body(node, x->id, text);
}

/* Thread: heartbeats of the instance beside a node. */
static void *
rig3_beat_main(void *payload)
{
    int node = (int)(intptr_t)payload;
    for (;;) {
        if (rig3_instances[node].beats) {
            rig3_beat(node);
        }
        rig3_sleep_ms(RIG3_HEARTBEAT_MS);
    }
    return NULL;
}

/* Start the deployment; its instances register. */
void
rig3_start(int nodes, const char *const *services, int slots,
           const char *routes, const harness_options *opts)
{
    struct timespec now;
    harness_start_with(nodes, services, opts);
    rig3_node_count = nodes;
    harness_publish_desired(1, routes);
    clock_gettime(CLOCK_REALTIME, &now);
    for (int i = 0; i < nodes; i++) {
        rig3_instance *x = &rig3_instances[i];
        harness_node *k = &harness_nodes[i];
        *x = (rig3_instance){.slots = slots, .beats = true};
        snprintf(x->id, sizeof(x->id), "i-%04x%04x", 0x7f3a + i, i * 77);
        snprintf(x->service, sizeof(x->service), "%s", services[i]);
        snprintf(x->state, sizeof(x->state), "ready");
        x->born_ms = now.tv_sec * 1000L + now.tv_nsec / 1000000;
        shutdown(k->target_fd, SHUT_RDWR); /* ends the harness's listener */
    }
    rig3_sleep_ms(100);
    for (int i = 0; i < nodes; i++) {
        harness_node *k = &harness_nodes[i];
        close(k->target_fd);
        k->target_fd = harness_listen(k->ports[HARNESS_TARGET], i, rig3_serve);
    }
    for (int i = 0; i < nodes; i++) {
        pthread_t thread;
        if (!harness_wait_ready(i)) {
            rig3_note("node %d is not ready", i);
            rig3_end(2);
        }
        pthread_create(&thread, NULL, rig3_beat_main, (void *)(intptr_t)i);
        pthread_detach(thread);
    }
}

/* Wait until `count` requests in a row that begin at a node are served. */
void
rig3_wait_serving(int from, const char *path, int count)
{
    int served = 0;
    for (int i = 0; i < 200 && served < count; i++) {
        char id[64];
        snprintf(id, sizeof(id), "warm%d-%d", from, i);
        int status = rig3_call(from, "GET", path, id, 5000, -1, "");
        served = status == 200 ? served + 1 : 0;
        rig3_sleep_ms(50);
    }
    if (served < count) {
        rig3_note("the deployment does not serve");
        rig3_end(2);
    }
}

int
rig3_open(int node)
{
    return harness_connect(node);
}

/* Send the head of a request; `body` is its length, negative for none. */
bool
rig3_send_head(int fd, const char *method, const char *path, const char *id,
               int deadline_ms, long body, const char *extra)
{
    char head[16384];
    char length[64] = "";
    if (body >= 0) {
        snprintf(length, sizeof(length), "Content-Length: %ld\r\n", body);
    }
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Lavenderfield-Deadline-Ms: %d\r\n%s%s\r\n",
                        method, path, id, deadline_ms, length, extra);
    return send(fd, head, (size_t)size, MSG_NOSIGNAL) == size;
}

/* Send the bytes of a body. */
bool
rig3_send_body(int fd, long length)
{
    static char block[65536];
    while (length > 0) {
        size_t part =
            length < (long)sizeof(block) ? (size_t)length : sizeof(block);
        ssize_t sent = send(fd, block, part, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        length -= sent;
    }
    return true;
}

/* Read an answer; 0 if the connection ended before it was complete. */
int
rig3_read_status(int fd, harness_response *out)
{
    harness_read_response(out, fd);
    return out->complete ? out->status : 0;
}

/* A whole request on a connection of its own; the status, 0 if the connection
 * ended without a complete answer. */
int
rig3_call(int node, const char *method, const char *path, const char *id,
          int deadline_ms, long body, const char *extra)
{
    harness_response response = {0};
    int fd = rig3_open(node);
    if (fd < 0) {
        return -1;
    }
    rig3_send_head(fd, method, path, id, deadline_ms, body, extra);
    if (body > 0) {
        rig3_send_body(fd, body);
    }
    int status = rig3_read_status(fd, &response);
    harness_free_response(&response);
    close(fd);
    return status;
}
