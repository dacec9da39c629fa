#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "broken_response.h"
#include "lav/clock.h"
#include "lav/id.h"
#include "harness_private.h"

/* The stand-in of the targets.  The last word of a request's path is its mode,
 * which says how a target handles it: /x/ok, /x/shed, and so on.  With the
 * suffix "-at-N" the mode applies only at the target beside node N; the others
 * handle the request as "ok". */

#define HARNESS_ID_SIZE 64
/* A request for /x/mix takes this time, and up to the jitter more. */
#define HARNESS_WORK_MS 5
#define HARNESS_WORK_JITTER_MS 20
#define HARNESS_PERMILLE_BASE 1000
#define HARNESS_REFUSALS 2 /* of a request in mode refusal-again */
/* Modes "flood-KIND" send bytes without end, see harness_flood.c. */
#define HARNESS_FLOOD_PREFIX "flood-"

/* What the targets recorded of a request. */
typedef struct harness_record {
    int runs;          /* times that it was executed */
    int64_t run_us;    /* when the first of these arrived */
    int arrivals;      /* times that it arrived, executed or not */
    int node;          /* beside the target where it arrived last */
    bool disconnected; /* its connection was closed while it ran */
    int refused_on[HARNESS_REFUSALS]; /* connections of its refusals */
    char *head; /* owned; kept for single requests, not for a /mix load */
    size_t body_size;
} harness_record;

static GHashTable *harness_records; /* id -> harness_record */
static char harness_target_instances[HARNESS_NODES_MAX][64];
/* Requests that arrive after this time are late; 0: none are. */
static int64_t harness_target_close_us[HARNESS_NODES_MAX];
static int harness_connection_counts[HARNESS_NODES_MAX]; /* open ones */
static int harness_connections;                          /* ever accepted */
static _Thread_local int harness_connection; /* number of this thread's */
static int harness_node_arrivals[HARNESS_NODES_MAX];
static int harness_late_arrivals;
static int harness_total_arrivals;
static int harness_repeat_arrivals;
static int harness_named_arrivals; /* with the name of a workspace */
static int harness_key_arrivals;   /* with an API key */
static int harness_fault_permille;

static void
harness_free_record(gpointer payload)
{
    harness_record *r = payload;
    g_free(r->head);
    g_free(r);
}

static harness_record *
harness_find_record(const char *id)
{
    return g_hash_table_lookup(harness_records, id);
}

void
harness_target_reset(void)
{
    if (harness_records != NULL) {
        g_hash_table_destroy(harness_records);
    }
    harness_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            harness_free_record);
    memset(harness_target_close_us, 0, sizeof(harness_target_close_us));
    harness_health_reset();
    harness_held_reset();
    memset(harness_node_arrivals, 0, sizeof(harness_node_arrivals));
    harness_late_arrivals = 0;
    harness_total_arrivals = 0;
    harness_named_arrivals = 0;
    harness_key_arrivals = 0;
    harness_repeat_arrivals = 0;
    harness_fault_permille = 0;
}

/* Set the name of the instance beside a node, which has no close time. */
void
harness_set_target_instance(int node, const char *instance)
{
    pthread_mutex_lock(&harness_lock);
    snprintf(harness_target_instances[node],
             sizeof(harness_target_instances[node]), "%s", instance);
    harness_target_close_us[node] = 0;
    pthread_mutex_unlock(&harness_lock);
}

/* Set the monotonic time, in us, after which the target beside a node must not
 * get requests; harness_late_arrival_count() counts those that do. */
void
harness_set_target_close_time(int node, int64_t at_us)
{
    pthread_mutex_lock(&harness_lock);
    harness_target_close_us[node] = at_us;
    pthread_mutex_unlock(&harness_lock);
}

/* Set how many of 1000 requests for /x/mix are handled with a fault. */
void
harness_set_fault_permille(int permille)
{
    pthread_mutex_lock(&harness_lock);
    harness_fault_permille = permille;
    pthread_mutex_unlock(&harness_lock);
}

/* Requests that arrived after the close time of their target. */
int
harness_late_arrival_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int late = harness_late_arrivals;
    pthread_mutex_unlock(&harness_lock);
    return late;
}

/* Requests that arrived at the target beside a node. */
int
harness_node_arrival_count(int node)
{
    pthread_mutex_lock(&harness_lock);
    int count = harness_node_arrivals[node];
    pthread_mutex_unlock(&harness_lock);
    return count;
}

/* Requests that arrived at all targets; `repeats` counts those beyond the
 * first with the same id. */
int
harness_total_arrival_count(int *repeats)
{
    pthread_mutex_lock(&harness_lock);
    int total = harness_total_arrivals;
    *repeats = harness_repeat_arrivals;
    pthread_mutex_unlock(&harness_lock);
    return total;
}

/* Returns how many arrivals had the name of a workspace, and sets `keys` to
 * how many had an API key. */
int
harness_named_arrival_count(int *keys)
{
    pthread_mutex_lock(&harness_lock);
    int named = harness_named_arrivals;
    *keys = harness_key_arrivals;
    pthread_mutex_unlock(&harness_lock);
    return named;
}

/* Count a request that came to a target after its close time, and print it.
 * That counts from when it came to the socket: the thread that serves it may
 * run later, and works before it records a request for /x/mix. */
static void
harness_check_close_time(const char *id, const harness_request *request,
                         int node)
{
    int64_t late_us = request->arrived_us - harness_target_close_us[node];
    if (harness_target_close_us[node] == 0 || late_us <= 0) {
        return;
    }
    harness_late_arrivals++;
    fprintf(stderr,
            "%s came to the target beside node %d %lld us after its close "
            "time, and was read %lld us later\n",
            id, node, (long long)late_us,
            (long long)(clock_now_us() - request->arrived_us));
}

/* Record the arrival of a request, executed (`runs` 1) or not (0), or that its
 * connection was closed while it ran (-1). */
static void
harness_update_record(const char *id, const harness_request *request, int node,
                      int runs)
{
    pthread_mutex_lock(&harness_lock);
    harness_record *r = harness_find_record(id);
    if (r == NULL) {
        r = g_new0(harness_record, 1);
        g_hash_table_insert(harness_records, g_strdup(id), r);
    }
    if (runs >= 0) {
        harness_total_arrivals++;
        harness_node_arrivals[node]++;
        harness_repeat_arrivals += r->arrivals > 0;
        harness_named_arrivals +=
            strcasestr(request->head, "\r\nLavenderfield-Tenant: ") != NULL;
        harness_key_arrivals +=
            strcasestr(request->head, "\r\nAuthorization:") != NULL;
        harness_check_close_time(id, request, node);
    }
    r->arrivals += runs >= 0;
    r->run_us = runs > 0 && r->runs == 0 ? request->arrived_us : r->run_us;
    r->runs += runs > 0;
    r->node = node;
    r->disconnected = r->disconnected || runs < 0;
    if (strstr(request->path, "/mix") == NULL) {
        g_free(r->head);
        r->head = g_strdup(request->head);
    }
    r->body_size = request->length;
    pthread_mutex_unlock(&harness_lock);
}

/* Defines a getter for a request's record; `missing` is its value when no
 * target got the request. */
#define HARNESS_DEFINE_GETTER(type, name, missing, expression)                \
    type name(const char *id)                                                 \
    {                                                                         \
        pthread_mutex_lock(&harness_lock);                                    \
        const harness_record *r = harness_find_record(id);                    \
        type value = r == NULL ? (missing) : (expression);                    \
        pthread_mutex_unlock(&harness_lock);                                  \
        return value;                                                         \
    }
HARNESS_DEFINE_GETTER(int, harness_run_count, 0, r->runs)
HARNESS_DEFINE_GETTER(int64_t, harness_first_run_us, 0, r->run_us)
HARNESS_DEFINE_GETTER(int, harness_arrival_count, 0, r->arrivals)
HARNESS_DEFINE_GETTER(int, harness_last_run_node, -1, r->node)
HARNESS_DEFINE_GETTER(bool, harness_was_disconnected, false, r->disconnected)
HARNESS_DEFINE_GETTER(size_t, harness_received_body_size, 0, r->body_size)

/* The head of a request as a target last received it, or "".  The next call
 * overwrites it. */
const char *
harness_received_head(const char *id)
{
    static char copy[2048];
    pthread_mutex_lock(&harness_lock);
    const harness_record *r = harness_find_record(id);
    snprintf(copy, sizeof(copy), "%s",
             r == NULL || r->head == NULL ? "" : r->head);
    pthread_mutex_unlock(&harness_lock);
    return copy;
}

/* Wait up to 20 s for the client to close the connection; whether it did. */
static bool
harness_wait_close(int fd)
{
    struct pollfd p = {fd, POLLIN, 0};
    char byte;
    return poll(&p, 1, 20000) == 1 && recv(fd, &byte, 1, MSG_PEEK) <= 0;
}

/* Make close() on a connection send a TCP reset. */
static void
harness_reset(int fd)
{
    struct linger linger = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Choose the mode of a request for /x/mix: a fault for the configured part of
 * the requests, otherwise "ok".  The choice and the time that the request
 * takes depend only on its id. */
static void
harness_choose_mixed_mode(char *out, size_t size, const char *id)
{
    static const char *const faults[] = {"shed", "reset",  "cut",   "fail",
                                         "late", "broken", "extra", "slow"};
    uint64_t hash = id_hash(id);
    pthread_mutex_lock(&harness_lock);
    bool faulty = (int)(hash % HARNESS_PERMILLE_BASE) < harness_fault_permille;
    pthread_mutex_unlock(&harness_lock);
    harness_sleep_ms(HARNESS_WORK_MS + (int)(hash / HARNESS_PERMILLE_BASE %
                                             HARNESS_WORK_JITTER_MS));
    snprintf(out, size, "%s",
             faulty
                 ? faults[hash / HARNESS_PERMILLE_BASE % G_N_ELEMENTS(faults)]
                 : "ok");
}

/* The mode of a request at the target beside a node. */
static void
harness_choose_mode(char *out, size_t size, const char *path, const char *id,
                    int node)
{
    const char *word = strrchr(path, '/') + 1;
    const char *at = strstr(word, "-at-");
    snprintf(out, size, "%s", word);
    if (strcmp(word, "mix") == 0) {
        harness_choose_mixed_mode(out, size, id);
        return;
    }
    if (strcmp(word, "shed-thrice") == 0) { /* counted over all targets */
        snprintf(out, size, harness_arrival_count(id) < 3 ? "shed" : "ok");
    }
    if (strcmp(word, "reset-or-shed") == 0) {
        snprintf(out, size, node == 1 ? "reset" : "shed");
    }
    if (at != NULL) {
        out[at - word] = '\0';
        if (atoi(at + strlen("-at-")) != node) {
            snprintf(out, size, "ok");
        }
    }
}

static bool
harness_mode_is(const char *mode, const char *word)
{
    return strcmp(mode, word) == 0;
}

/* Refuse a request at its first two arrivals, of which each is at another
 * target.  When it comes again, run it, and if that is on the connection of a
 * refusal, write the refusal once more before the response. */
static void
harness_refuse_again(int fd, const harness_request *request, const char *id,
                     const char *headers, int node)
{
    char refusal[256];
    char body[128];
    snprintf(refusal, sizeof(refusal),
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Not-Executed: 1\r\n",
             id);
    bool runs = harness_arrival_count(id) >= HARNESS_REFUSALS;
    harness_update_record(id, request, node, runs);
    pthread_mutex_lock(&harness_lock);
    harness_record *r = harness_find_record(id);
    bool refused_here = r->refused_on[0] == harness_connection ||
                        r->refused_on[1] == harness_connection;
    if (!runs) {
        r->refused_on[r->arrivals - 1] = harness_connection;
    }
    pthread_mutex_unlock(&harness_lock);
    if (!runs || refused_here) {
        harness_write_response(fd, 503, refusal, "", 0);
    }
    if (runs) {
        harness_sleep_ms(HARNESS_WORK_MS);
        snprintf(body, sizeof(body), "answer to %s", id);
        harness_write_response(fd, 200, headers, body, strlen(body));
    }
}

enum harness_served {
    HARNESS_NOT_SERVED, /* the mode is another one */
    HARNESS_SERVED,
    HARNESS_SERVED_CLOSE /* and the connection must be closed */
};

/* Handle a request in a mode in which it is refused or flooded; `headers` are
 * those of a response. */
static enum harness_served
harness_serve_refusal(int fd, const harness_request *request, const char *id,
                      const char *mode, int node, const char *headers)
{
    char refusal[512];
    if (harness_mode_is(mode, "shed")) {
        char report[HARNESS_REPORT_SIZE];
        harness_format_report_headers(report, sizeof(report), node);
        harness_update_record(id, request, node, 0);
        snprintf(refusal, sizeof(refusal),
                 "Lavenderfield-Attempt-Id: %s\r\n"
                 "Lavenderfield-Not-Executed: 1\r\n%s",
                 id, report);
        harness_write_response(fd, 503, refusal, "", 0);
        return HARNESS_SERVED;
    }
    /* Another process has the address by now, and rejects the request late. */
    if (harness_mode_is(mode, "misplaced")) {
        harness_update_record(id, request, node, 0);
        harness_sleep_ms(300);
        snprintf(refusal, sizeof(refusal), "Lavenderfield-Attempt-Id: %s\r\n",
                 id);
        harness_write_response(fd, 421, refusal, "", 0);
        return HARNESS_SERVED;
    }
    if (harness_mode_is(mode, "refusal-again")) {
        harness_refuse_again(fd, request, id, headers, node);
        return HARNESS_SERVED;
    }
    if (g_str_has_prefix(mode, HARNESS_FLOOD_PREFIX)) {
        const char *flood = mode + strlen(HARNESS_FLOOD_PREFIX);
        harness_update_record(id, request, node, harness_flood_runs(flood));
        if (harness_send_flood(fd, flood, id)) {
            harness_update_record(id, request, node, -1);
        }
        return HARNESS_SERVED_CLOSE;
    }
    return HARNESS_NOT_SERVED;
}

/* Handle a request in mode "held": it runs until the test releases it.  What
 * the target then reports of itself is in its response. */
static bool
harness_serve_held(int fd, const harness_request *request, const char *id,
                   int node)
{
    char headers[1024];
    char report[HARNESS_REPORT_SIZE];
    harness_update_record(id, request, node, 1);
    harness_hold(node);
    harness_format_report_headers(report, sizeof(report), node);
    snprintf(headers, sizeof(headers),
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Response-Seal: seal-of-%s\r\n%s",
             id, id, report);
    harness_write_response(fd, 200, headers, "held", strlen("held"));
    return true;
}

/* Handle one request according to its mode.  Returns false when the connection
 * must be closed. */
static bool
harness_serve_request(int fd, const harness_request *request, const char *id,
                      const char *mode, int node)
{
    char headers[1024];
    char body[128];
    char report[HARNESS_REPORT_SIZE];
    if (harness_mode_is(mode, "held")) {
        return harness_serve_held(fd, request, id, node);
    }
    harness_format_report_headers(report, sizeof(report), node);
    snprintf(headers, sizeof(headers),
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Response-Seal: seal-of-%s\r\n%s",
             id, id, report);
    snprintf(body, sizeof(body), "answer to %s", id);
    enum harness_served served =
        harness_serve_refusal(fd, request, id, mode, node, headers);
    if (served != HARNESS_NOT_SERVED) {
        return served == HARNESS_SERVED;
    }
    harness_update_record(id, request, node, 1);
    if (harness_mode_is(mode, "reset")) {
        harness_reset(fd);
        return false;
    }
    if (harness_mode_is(mode, "hang")) {
        if (harness_wait_close(fd)) {
            harness_update_record(id, request, node, -1);
        }
        return false;
    }
    if (harness_mode_is(mode, "cut")) {
        char head[2048];
        int size = snprintf(head, sizeof(head),
                            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s"
                            "\r\nhalf",
                            headers);
        harness_send(fd, head, (size_t)size);
        return false;
    }
    if (harness_mode_is(mode, "toeof")) {
        char head[2048];
        int size = snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%s\r\n%s",
                            headers, body);
        harness_send(fd, head, (size_t)size);
        return false;
    }
    /* A refusal that belongs to no request comes first. */
    if (harness_mode_is(mode, "refusal-noid")) {
        harness_write_response(fd, 503, "Lavenderfield-Not-Executed: 1\r\n",
                               "", 0);
    }
    if (harness_mode_is(mode, "misplaced-noid")) {
        harness_write_response(fd, 421, "", "", 0);
    }
    if (harness_mode_is(mode, "noseal")) {
        snprintf(headers, sizeof(headers), "Lavenderfield-Attempt-Id: %s\r\n",
                 id);
    }
    if (harness_mode_is(mode, "encoded")) {
        size_t length = strlen(headers);
        snprintf(headers + length, sizeof(headers) - length,
                 "Content-Encoding: gzip\r\n");
    }
    if (harness_mode_is(mode, "garbage")) {
        harness_send(fd, "\1\2\3 not HTTP\r\n\r\n", 16);
        return false;
    }
    if (harness_mode_is(mode, "broken")) {
        broken_response_send(fd, broken_response_get(id_hash(id)), headers);
        return false;
    }
    if (harness_mode_is(mode, "echo")) {
        harness_write_response(fd, 200, headers, request->body,
                               request->length);
        return true;
    }
    if (harness_mode_is(mode, "slow")) {
        harness_sleep_ms(300);
    }
    if (harness_mode_is(mode, "late")) {
        harness_write_response(fd, 200,
                               "Lavenderfield-Attempt-Id: another\r\n"
                               "Lavenderfield-Response-Seal: other\r\n",
                               "not yours", 9);
    }
    harness_write_response(fd, harness_mode_is(mode, "fail") ? 500 : 200,
                           headers, body, strlen(body));
    if (harness_mode_is(mode, "extra")) {
        harness_write_response(fd, 200, headers, body, strlen(body));
    }
    return !harness_mode_is(mode, "close");
}

static void
harness_adjust_connection_count(int node, int change)
{
    pthread_mutex_lock(&harness_lock);
    harness_connection_counts[node] += change;
    pthread_mutex_unlock(&harness_lock);
}

/* How many connections to the target beside a node are open. */
int
harness_target_connection_count(int node)
{
    pthread_mutex_lock(&harness_lock);
    int count = harness_connection_counts[node];
    pthread_mutex_unlock(&harness_lock);
    return count;
}

/* Serve a connection to the target beside a node. */
void
harness_serve_target(int fd, int node)
{
    harness_request request;
    harness_adjust_connection_count(node, 1);
    pthread_mutex_lock(&harness_lock);
    harness_connection = ++harness_connections;
    pthread_mutex_unlock(&harness_lock);
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    bool open = true;
    while (open && harness_read_request(&request, fd)) {
        char id[HARNESS_ID_SIZE];
        char expected[64];
        char mode[64];
        char name[64];
        harness_find_header(id, sizeof(id), request.head,
                            "Lavenderfield-Attempt-Id");
        harness_find_header(expected, sizeof(expected), request.head,
                            "Lavenderfield-Expected-Instance");
        pthread_mutex_lock(&harness_lock);
        snprintf(name, sizeof(name), "%s", harness_target_instances[node]);
        pthread_mutex_unlock(&harness_lock);
        if (strcmp(request.path, HARNESS_HEALTH_PATH) == 0) {
            harness_serve_health(fd, name, node);
            continue;
        }
        if (strcmp(expected, name) != 0) {
            harness_update_record(id, &request, node, 0);
            char headers[128];
            snprintf(headers, sizeof(headers),
                     "Lavenderfield-Attempt-Id: %s\r\n"
                     "Lavenderfield-Instance-Id: %s\r\n",
                     id, name);
            harness_write_response(fd, 421, headers, "", 0);
            continue;
        }
        harness_choose_mode(mode, sizeof(mode), request.path, id, node);
        open = harness_serve_request(fd, &request, id, mode, node);
    }
    harness_adjust_connection_count(node, -1);
    free(request.body);
}
