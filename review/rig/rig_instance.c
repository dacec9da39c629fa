/* The instances.  A segment of the path says how a request is handled: wN
 * works for N ms, sN answers with N bytes; for example /r/w50s3000/. */
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "rig_private.h"

#define RIG_RUNS_MAX 100000
#define RIG_SLOTS 58
#define RIG_QUEUE 72
#define RIG_ANSWER_MAX (32 * 1024 * 1024)

typedef struct rig_instance {
    char id[64];
    int64_t born_ms; /* Unix time */
    int64_t sequence;
    int slots;
    int queue; /* requests that it queues beyond its slots */
    int running;
    int waiting;
    bool keeps; /* goes on with a request whose connection has closed */
    bool heartbeats;
    bool leaving;
} rig_instance;

static pthread_mutex_t rig_runs_lock = PTHREAD_MUTEX_INITIALIZER;
static rig_run rig_runs[RIG_RUNS_MAX];
static int rig_run_count;
static rig_instance rig_instances[RIG_NODES_MAX];

int rig_control(int node, const char *text);

/* Records that a request runs; returns the index of the record. */
static int
rig_add_run(const char *id, int node)
{
    pthread_mutex_lock(&rig_runs_lock);
    int index = rig_run_count++;
    if (index >= RIG_RUNS_MAX) {
        rig_end(RIG_EXIT_NOT_RUN, "too many runs");
    }
    rig_run *run = &rig_runs[index];
    snprintf(run->id, sizeof(run->id), "%s", id);
    run->node = node;
    run->at_ms = rig_now_ms();
    pthread_mutex_unlock(&rig_runs_lock);
    return index;
}

/* Copies the runs of a request; returns how many there are. */
int
rig_runs_of(const char *id, rig_run *out, int max)
{
    int count = 0;
    pthread_mutex_lock(&rig_runs_lock);
    for (int i = 0; i < rig_run_count && count < max; i++) {
        if (strcmp(rig_runs[i].id, id) == 0) {
            out[count++] = rig_runs[i];
        }
    }
    pthread_mutex_unlock(&rig_runs_lock);
    return count;
}

/* Counts the runs at an instance that began at a time or later. */
int
rig_runs_since(int node, int64_t at_ms)
{
    int count = 0;
    pthread_mutex_lock(&rig_runs_lock);
    for (int i = 0; i < rig_run_count; i++) {
        count += rig_runs[i].node == node && rig_runs[i].at_ms >= at_ms;
    }
    pthread_mutex_unlock(&rig_runs_lock);
    return count;
}

/* Takes a slot, waiting for one as long as the connection is open.  False if
 * the connection closed.  A request that can't be queued is never answered. */
static bool
rig_take_slot(rig_instance *instance, int node, const char *id, int fd)
{
    bool queued = false;
    bool silent = false;
    for (;;) {
        pthread_mutex_lock(&rig_runs_lock);
        bool taken = !silent && instance->running < instance->slots;
        instance->running += taken;
        if (!taken && !queued && !silent) {
            queued = instance->waiting < instance->queue;
            silent = !queued;
            instance->waiting += queued;
            rig_log("%s %s at the instance of node %d", id,
                    silent ? "can't be queued" : "queued", node);
        }
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        bool closed = !taken && poll(&p, 1, 0) > 0;
        instance->waiting -= queued && (taken || closed);
        pthread_mutex_unlock(&rig_runs_lock);
        if (taken || closed) {
            return taken;
        }
        rig_sleep_ms(5);
    }
}

static void
rig_release_slot(rig_instance *instance)
{
    pthread_mutex_lock(&rig_runs_lock);
    instance->running--;
    pthread_mutex_unlock(&rig_runs_lock);
}

/* Works; false if the requester's connection closed meanwhile. */
static bool
rig_work(const rig_instance *instance, int fd, int64_t work_ms)
{
    if (instance->keeps) {
        rig_sleep_ms(work_ms);
        return true;
    }
    int64_t end_ms = rig_now_ms() + work_ms;
    while (rig_now_ms() < end_ms) {
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        int left = (int)(end_ms - rig_now_ms());
        if (left > 0 && poll(&p, 1, left) > 0) {
            return false;
        }
    }
    return true;
}

/* Sends an answer with a body of `size` bytes. */
static bool
rig_answer(int fd, int node, const char *id, int status, const char *extra,
           size_t size)
{
    char head[1024];
    rig_instance *instance = &rig_instances[node];
    pthread_mutex_lock(&rig_runs_lock);
    int length =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d S\r\nLavenderfield-Attempt-Id: %s\r\n"
                 "Lavenderfield-Instance-Id: %s\r\n"
                 "Lavenderfield-Instance-Load: %d,0,%d\r\n%s"
                 "Content-Length: %zu\r\nKeep-Alive: timeout=10\r\n\r\n",
                 status, id, instance->id, instance->running, instance->slots,
                 extra, size);
    pthread_mutex_unlock(&rig_runs_lock);
    if (!rig_send(fd, head, (size_t)length)) {
        return false;
    }
    char *body = malloc(size + 1);
    for (size_t i = 0; i < size; i++) {
        body[i] = (char)('a' + i % 26);
    }
    bool sent = rig_send(fd, body, size);
    free(body);
    return sent;
}

/* Runs a request; false if its connection can't be used any more. */
static bool
rig_run_request(int fd, int node, const rig_message *m, const char *id)
{
    char path[RIG_TEXT_SIZE];
    long work_ms = 5;
    size_t size = 100;
    rig_instance *instance = &rig_instances[node];
    sscanf(m->head, "%*s %255s", path);
    const char *mode = strstr(path, "/w");
    if (mode != NULL) {
        work_ms = strtol(mode + 2, (char **)&mode, 10);
        size = *mode == 's' ? strtoul(mode + 1, NULL, 10) : size;
    }
    if (size > RIG_ANSWER_MAX || !rig_take_slot(instance, node, id, fd)) {
        return false;
    }
    int run = rig_add_run(id, node);
    rig_log("%s runs at the instance of node %d", id, node);
    bool done = rig_work(instance, fd, work_ms);
    rig_release_slot(instance);
    if (!done) {
        rig_runs[run].dropped = true;
        rig_log("%s dropped at the instance of node %d", id, node);
        return false;
    }
    bool sent =
        rig_answer(fd, node, id, 200,
                   "Lavenderfield-Response-Seal: 3e1b.07.5a2\r\n", size);
    rig_log("%s %s by the instance of node %d", id,
            sent ? "answered" : "not taken from it", node);
    return sent;
}

static void
rig_serve_instance(int fd, int node)
{
    rig_message m;
    rig_instance *instance = &rig_instances[node];
    while (rig_read_message(fd, &m, false)) {
        char id[64];
        char expected[64];
        char path[RIG_TEXT_SIZE];
        bool open = true;
        sscanf(m.head, "%*s %255s", path);
        bool has_id =
            rig_field(&m, "Lavenderfield-Attempt-Id", id, sizeof(id));
        bool other = rig_field(&m, "Lavenderfield-Expected-Instance", expected,
                               sizeof(expected)) &&
                     strcmp(expected, instance->id) != 0;
        if (strcmp(path, "/health") == 0) {
            open = rig_answer(fd, node, "-", instance->leaving ? 503 : 200, "",
                              0);
        }
        else if (!has_id) {
            open = rig_answer(fd, node, "-", 400,
                              "Lavenderfield-Not-Executed: 1\r\n", 0);
        }
        else if (other) {
            rig_log("%s 421 at the instance of node %d", id, node);
            open = rig_answer(fd, node, id, 421,
                              "Lavenderfield-Not-Executed: 1\r\n", 0);
        }
        else {
            open = rig_run_request(fd, node, &m, id);
        }
        rig_free(&m);
        if (!open) {
            return;
        }
    }
    rig_free(&m);
}

/* Sends one heartbeat; returns the status of its answer, 0: none. */
int
rig_heartbeat(int node, const char *state, int64_t sequence)
{
    char body[512];
    char text[1024];
    rig_instance *instance = &rig_instances[node];
    int length = snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"harju-a\","
        "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"%s\","
        "\"warmup_left\":\"0ms\",\"sequence\":%lld,\"born\":%lld}",
        rig_service(node), rig_ip(node), RIG_PORT_INSTANCE, instance->slots,
        state, (long long)sequence, (long long)instance->born_ms);
    snprintf(text, sizeof(text),
             "PUT /api/instances/%s HTTP/1.1\r\nHost: c\r\n"
             "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
             instance->id, length, body);
    return rig_control(node, text);
}

/* Sends a heartbeat of another writer, whose instance has just started under
 * another id at the address; returns the status of its answer, 0: none. */
int
rig_foreign_heartbeat(int node, const char *id)
{
    char body[512];
    char text[1024];
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    int length = snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"harju-a\","
        "\"version\":\"v1\",\"concurrency\":58,\"state\":\"ready\","
        "\"warmup_left\":\"0ms\",\"sequence\":1,\"born\":%lld}",
        rig_service(node), rig_ip(node), RIG_PORT_INSTANCE,
        now.tv_sec * 1000LL + now.tv_nsec / 1000000);
    snprintf(text, sizeof(text),
             "PUT /api/instances/%s HTTP/1.1\r\nHost: c\r\n"
             "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
             id, length, body);
    return rig_control(node, text);
}

/* Says that the instance is gone; returns the status of the answer. */
int
rig_deregister(int node)
{
    char text[256];
    rig_instance *instance = &rig_instances[node];
    snprintf(text, sizeof(text),
             "DELETE /api/instances/%s HTTP/1.1\r\nHost: c\r\n\r\n",
             instance->id);
    return rig_control(node, text);
}

int64_t
rig_next_sequence(int node)
{
    pthread_mutex_lock(&rig_runs_lock);
    int64_t sequence = ++rig_instances[node].sequence;
    pthread_mutex_unlock(&rig_runs_lock);
    return sequence;
}

void
rig_set_heartbeats(int node, bool on)
{
    rig_instances[node].heartbeats = on;
}

void
rig_set_leaving(int node, bool leaving)
{
    rig_instances[node].leaving = leaving;
}

/* Sets what an instance does with requests: its slots, how many it queues
 * beyond them, and whether it goes on with those whose connection closed. */
void
rig_set_slots(int node, int slots, int queue, bool keeps)
{
    rig_instances[node].slots = slots;
    rig_instances[node].queue = queue;
    rig_instances[node].keeps = keeps;
}

static void *
rig_heartbeat_thread(void *payload)
{
    int node = (int)(intptr_t)payload;
    rig_instance *instance = &rig_instances[node];
    for (;;) {
        int status = 0;
        if (instance->heartbeats) {
            status =
                rig_heartbeat(node, instance->leaving ? "draining" : "ready",
                              rig_next_sequence(node));
        }
        rig_sleep_ms(status == 200 ? RIG_HEARTBEAT_MS : 200);
    }
    return NULL;
}

/* Starts the instance beside a node and its heartbeats. */
void
rig_instance_start(int node, const char *service)
{
    pthread_t thread;
    struct timespec now;
    rig_instance *instance = &rig_instances[node];
    clock_gettime(CLOCK_REALTIME, &now);
    snprintf(instance->id, sizeof(instance->id), "i-%s-%d", service, node);
    instance->born_ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
    if (instance->slots == 0) {
        rig_set_slots(node, RIG_SLOTS, RIG_QUEUE, false);
    }
    instance->heartbeats = true;
    rig_listen(node, RIG_PORT_INSTANCE, rig_serve_instance, node);
    if (pthread_create(&thread, NULL, rig_heartbeat_thread,
                       (void *)(intptr_t)node) != 0) {
        rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
    }
    pthread_detach(thread);
}
