/*
 * Stand-in of a target: announces itself to its node, runs calls in a
 * bounded number of slots, makes calls of its own, logs each execution by
 * its request id, drains and accepts cancels.
 *
 *   PUT /admin?slow=N        service times are N times as long
 *   PUT /admin?drop_context=0|1   own calls go without the context
 *   PUT /admin?cut=N         the next N answers are cut off halfway
 *   PUT /admin?vanish=N      the next N calls run, unanswered
 *   PUT /admin?drain=1       drains, but does not go
 *   GET /lav/load            load, which may lie (--load-lies)
 *   DELETE /lav/call/ID      cancel
 */
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/id.h"
#include "standin.h"

#define OPERATIONS_MAX 16
#define CALLS_MAX 8
#define RUNNING_MAX 2048
#define ANNOUNCE_US 300000
#define ANNOUNCE_FAILURES_MAX 10 /* then a draining target goes anyway */
#define SLEEP_STEP_US 2000
#define ANSWER_MAX (1024 * 1024)
#define CALL_TIMEOUT_S 30
#define STATUS_FAILED_BELOW 502
#define STATUS_CANCELLED 499

typedef struct operation {
    char name[64];
    int service_ms;
    int call_count;
    char calls[CALLS_MAX][96]; /* "service/operation" */
} operation;

typedef struct running {
    bool used;
    atomic_bool cancelled;
    char request[ID_SIZE];
} running;

typedef struct target {
    int port;
    int announced_port; /* 0: port */
    int node_port;
    int slots;
    int announced_slots;
    int warmup_ms;
    bool load_lies;
    int log;
    int64_t started_us;
    uint64_t start;
    sem_t free_slots;
    atomic_int in_flight;
    atomic_int slow;
    atomic_int drop_context;
    atomic_int cut;
    atomic_int vanish;
    atomic_int draining;
    pthread_mutex_t lock;
    running runs[RUNNING_MAX];
    size_t operation_count;
    operation operations[OPERATIONS_MAX];
} target;

static __thread http_sync_client *target_client; /* one connection a thread */

/* Read "name:ms:service/op+service/op". */
static int
read_operation(operation *out, const char *text)
{
    char calls[512] = "";
    if (sscanf(text, "%63[^:]:%d:%511s", out->name, &out->service_ms, calls) <
        2) {
        return ERR_INVALID;
    }
    char *rest = NULL;
    for (char *call = strtok_r(calls, "+", &rest);
         call != NULL && out->call_count < CALLS_MAX;
         call = strtok_r(NULL, "+", &rest)) {
        snprintf(out->calls[out->call_count++], sizeof(out->calls[0]), "%s",
                 call);
    }
    return 0;
}

static void
log_execution(target *t, const char *what, const char *request,
              const char *operation_name)
{
    char line[256];
    int length = snprintf(line, sizeof(line), "%" PRId64 " %s %s %s\n",
                          clock_wall_ms(), what, request, operation_name);
    ssize_t ignored = write(t->log, line, (size_t)length);
    (void)ignored;
}

static running *
begin_run(target *t, const char *request)
{
    running *found = NULL;
    pthread_mutex_lock(&t->lock);
    for (int i = 0; i < RUNNING_MAX && found == NULL; i++) {
        if (!t->runs[i].used) {
            found = &t->runs[i];
            found->used = true;
            atomic_store(&found->cancelled, false);
            snprintf(found->request, sizeof(found->request), "%s", request);
        }
    }
    pthread_mutex_unlock(&t->lock);
    return found;
}

static void
cancel_run(target *t, const char *request)
{
    pthread_mutex_lock(&t->lock);
    for (int i = 0; i < RUNNING_MAX; i++) {
        if (t->runs[i].used && strcmp(t->runs[i].request, request) == 0) {
            atomic_store(&t->runs[i].cancelled, true);
        }
    }
    pthread_mutex_unlock(&t->lock);
}

/* Work for a while; false where the call was cancelled meanwhile. */
static bool
work(target *t, running *run, int service_ms)
{
    int64_t duration_us = (int64_t)service_ms * CLOCK_US_PER_MS;
    duration_us *= atomic_load(&t->slow);
    if (clock_now_us() - t->started_us < t->warmup_ms * CLOCK_US_PER_MS) {
        duration_us *= 2;
    }
    int64_t end_us = clock_now_us() + duration_us;
    while (clock_now_us() < end_us) {
        if (atomic_load(&run->cancelled)) {
            return false;
        }
        int64_t time_left_us = end_us - clock_now_us();
        clock_sleep_us(time_left_us < SLEEP_STEP_US ? time_left_us
                                                    : SLEEP_STEP_US);
    }
    return true;
}

/* Make one call through the node; true where it was done with success. */
static bool
call_below(target *t, const char *path, const char *context, int index)
{
    char url[64];
    char full[160];
    char key[16];
    http_sync_response answer;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", t->node_port);
    snprintf(full, sizeof(full), "/call/%s", path);
    snprintf(key, sizeof(key), "step%d", index);
    if (target_client == NULL &&
        http_sync_new(&target_client, url, NULL) < 0) {
        return false;
    }
    http_sync_request request = {.method = "POST",
                                 .path = full,
                                 .body = "{}",
                                 .length = 2,
                                 .may_resend = true,
                                 .timeout_s = CALL_TIMEOUT_S,
                                 .response_body_bytes_max = ANSWER_MAX,
                                 .headers = {{"Lav-Call-Key", key}}};
    if (context != NULL && atomic_load(&t->drop_context) == 0) {
        request.headers[1] = (http_sync_header){"Lav-Context", context};
    }
    int result = http_sync_perform(&answer, target_client, &request, NULL);
    bool done = result == 0 && answer.status == MHD_HTTP_OK;
    if (result == 0 && answer.request[0] != '\0') {
        log_execution(t, answer.outcome, answer.request, path);
    }
    http_sync_response_clear(&answer);
    return done;
}

static enum MHD_Result
answer_run(target *t, const standin_request *request, const char *text)
{
    if (atomic_load(&t->vanish) > 0) {
        atomic_fetch_sub(&t->vanish, 1);
        return MHD_NO;
    }
    if (atomic_load(&t->cut) > 0) {
        atomic_fetch_sub(&t->cut, 1);
        return standin_reply_truncated(request,
                                       "an answer that is cut off somewhere");
    }
    return standin_reply(request, MHD_HTTP_OK, text, NULL);
}

static enum MHD_Result
run(target *t, const standin_request *request, const operation *op)
{
    const char *id_text = standin_get_header(request, "Lav-Request-Id");
    const char *context = standin_get_header(request, "Lav-Context");
    char text[512];
    log_execution(t, "run", id_text ? id_text : "-", op->name);
    running *entry = begin_run(t, id_text ? id_text : "-");
    if (entry == NULL) {
        return standin_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, "", NULL);
    }
    atomic_fetch_add(&t->in_flight, 1);
    sem_wait(&t->free_slots);
    bool done = work(t, entry, op->service_ms);
    const char *failed = done ? NULL : "cancelled";
    for (int i = 0; failed == NULL && i < op->call_count; i++) {
        if (!call_below(t, op->calls[i], context, i)) {
            failed = op->calls[i];
        }
    }
    sem_post(&t->free_slots);
    atomic_fetch_sub(&t->in_flight, 1);
    entry->used = false;
    if (failed != NULL) {
        log_execution(t, "failed", id_text ? id_text : "-", op->name);
        return standin_reply(request,
                             done ? STATUS_FAILED_BELOW : STATUS_CANCELLED,
                             failed, NULL);
    }
    log_execution(t, "done", id_text ? id_text : "-", op->name);
    if (strcmp(op->name, "echo") == 0) {
        return answer_run(t, request, request->body);
    }
    snprintf(text, sizeof(text), "%s %s %.300s", op->name,
             id_text ? id_text : "-", request->body);
    return answer_run(t, request, text);
}

static void
set_switch(atomic_int *out, const standin_request *request, const char *name)
{
    atomic_store(out, standin_get_query_int(request, name, atomic_load(out)));
}

static enum MHD_Result
administer(target *t, const standin_request *request)
{
    set_switch(&t->slow, request, "slow");
    set_switch(&t->drop_context, request, "drop_context");
    set_switch(&t->cut, request, "cut");
    set_switch(&t->vanish, request, "vanish");
    set_switch(&t->draining, request, "drain");
    return standin_reply(request, MHD_HTTP_OK, "", NULL);
}

static enum MHD_Result
tell_load(target *t, const standin_request *request)
{
    char text[64];
    int load = t->load_lies ? 0 : atomic_load(&t->in_flight);
    snprintf(text, sizeof(text), "{\"in_flight\": %d}\n", load);
    return standin_reply(request, MHD_HTTP_OK, text, NULL);
}

static enum MHD_Result
handle(const standin_request *request, void *payload)
{
    target *t = payload;
    const char *url = request->url;
    if (strcmp(url, "/admin") == 0) {
        return administer(t, request);
    }
    if (strcmp(url, "/lav/load") == 0) {
        return tell_load(t, request);
    }
    if (strncmp(url, "/lav/call/", 10) == 0) {
        cancel_run(t, url + 10);
        return standin_reply(request, MHD_HTTP_OK, "", NULL);
    }
    for (size_t i = 0; i < t->operation_count; i++) {
        const operation *op = &t->operations[i];
        size_t length = strlen(op->name);
        if (strncmp(url + 1, op->name, length) == 0 &&
            (url[length + 1] == '\0' || url[length + 1] == '/')) {
            return run(t, request, op);
        }
    }
    return standin_reply(request, MHD_HTTP_NOT_FOUND, "", NULL);
}

/* Tell the node of this target; true where the node says it is drained. */
static int
announce(target *t, http_sync_client *node, bool *out_drained)
{
    char text[256];
    http_sync_response answer;
    snprintf(text, sizeof(text),
             "{\"url\": \"http://127.0.0.1:%d\", \"slots\": %d, "
             "\"draining\": %s, \"cold\": true, \"start\": %" PRIu64 "}",
             t->announced_port ? t->announced_port : t->port,
             t->announced_slots, atomic_load(&t->draining) ? "true" : "false",
             t->start);
    http_sync_request request = {.method = "POST",
                                 .path = "/lav/target",
                                 .body = text,
                                 .length = strlen(text),
                                 .may_resend = true,
                                 .timeout_s = 1,
                                 .response_body_bytes_max = ANSWER_MAX};
    int result = http_sync_perform(&answer, node, &request, NULL);
    *out_drained =
        result == 0 && strstr(answer.body, "\"drained\":true") != NULL;
    http_sync_response_clear(&answer);
    return result;
}

/* Announce until the end: a signal, then drained. */
static void
serve(target *t)
{
    char url[64];
    http_sync_client *node = NULL;
    bool drained = false;
    int failures = 0;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", t->node_port);
    if (http_sync_new(&node, url, NULL) < 0) {
        return;
    }
    bool signalled = false;
    while (!drained || !signalled) {
        int result = announce(t, node, &drained);
        failures = result == 0 ? 0 : failures + 1;
        if (signalled && failures > ANNOUNCE_FAILURES_MAX &&
            atomic_load(&t->in_flight) == 0) {
            break;
        }
        if (standin_wait_for_signal(ANNOUNCE_US / CLOCK_US_PER_MS)) {
            if (signalled) {
                clock_sleep_us(ANNOUNCE_US);
            }
            signalled = true;
            atomic_store(&t->draining, 1);
        }
    }
    http_sync_free(node);
}

static int
read_options(target *t, int argc, char **argv)
{
    char *log_path = NULL;
    char **operations = NULL;
    gboolean load_lies = FALSE;
    GError *fault = NULL;
    const GOptionEntry entries[] = {
        {"port", 0, 0, G_OPTION_ARG_INT, &t->port, "", "PORT"},
        {"announced-port", 0, 0, G_OPTION_ARG_INT, &t->announced_port, "",
         "PORT"},
        {"node-port", 0, 0, G_OPTION_ARG_INT, &t->node_port, "", "PORT"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &t->slots, "", "N"},
        {"announced-slots", 0, 0, G_OPTION_ARG_INT, &t->announced_slots, "",
         "N"},
        {"cold-ms", 0, 0, G_OPTION_ARG_INT, &t->warmup_ms, "", "MS"},
        {"load-lies", 0, 0, G_OPTION_ARG_NONE, &load_lies, "", NULL},
        {"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path, "", "FILE"},
        {"operation", 0, 0, G_OPTION_ARG_STRING_ARRAY, &operations,
         "name:ms:service/op+service/op", "TEXT"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new("- stand-in of a target");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &fault) ||
        log_path == NULL || operations == NULL) {
        return ERR_INVALID;
    }
    t->load_lies = load_lies;
    for (char **text = operations;
         *text != NULL && t->operation_count < OPERATIONS_MAX; text++) {
        if (read_operation(&t->operations[t->operation_count++], *text) < 0) {
            return ERR_INVALID;
        }
    }
    t->log = open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    return t->log < 0 ? ERR_IO : 0;
}

int
main(int argc, char **argv)
{
    static target t;
    standin_server *server = NULL;
    err e = ERR_INIT;
    t.slots = 10;
    standin_catch_signals();
    if (read_options(&t, argc, argv) < 0) {
        fprintf(stderr, "standin-target: bad arguments\n");
        return 2;
    }
    if (t.announced_slots == 0) {
        t.announced_slots = t.slots;
    }
    t.started_us = clock_now_us();
    t.start = id_random() >> 2;
    atomic_store(&t.slow, 1);
    pthread_mutex_init(&t.lock, NULL);
    sem_init(&t.free_slots, 0, (unsigned)t.slots);
    if (standin_new(&server, t.port, handle, &t, &e) < 0) {
        fprintf(stderr, "standin-target: %s\n", e.message);
        return 3;
    }
    serve(&t);
    standin_free(server);
    return 0;
}
