#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/id.h"
#include "harness_private.h"

/* The stand-in of the targets.  The last word of a path says what becomes of
 * a request: /x/ok, /x/shed, and so on; "-at-N" limits that to node N. */

#define HARNESS_ID_SIZE 64
#define HARNESS_WORK_MS 5      /* of a request for /x/mix */
#define HARNESS_WORK_SPREAD 20 /* ... and up to so much more */
#define HARNESS_PERMILLE                                                      \
    1000 /* of which harness_set_fault_permille() tells a part */

typedef struct harness_record {
    int runs;
    int arrivals;
    int node;
    bool cut;
    char *head; /* kept for single requests, not for a load; owned */
    size_t body;
} harness_record;

static GHashTable *harness_records; /* id -> harness_record */
static char harness_names[HARNESS_NODES_MAX][64];
static int64_t
    harness_closed_us[HARNESS_NODES_MAX]; /* nothing from then on; 0: open */
static int harness_health[HARNESS_NODES_MAX]; /* status; 0: 200 */
static char harness_loads[HARNESS_NODES_MAX]
                         [32];              /* "": the target tells none */
static int harness_open[HARNESS_NODES_MAX]; /* connections to a target */
static int harness_late;
static int harness_total;
static int harness_repeated;
static int harness_permille;

static void
harness_free_record(gpointer payload)
{
    harness_record *r = payload;
    g_free(r->head);
    g_free(r);
}

static harness_record *
harness_record_of(const char *id)
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
    memset(harness_closed_us, 0, sizeof(harness_closed_us));
    memset(harness_health, 0, sizeof(harness_health));
    memset(harness_loads, 0, sizeof(harness_loads));
    harness_late = 0;
    harness_total = 0;
    harness_repeated = 0;
    harness_permille = 0;
}

/* The target beside a node is another one from now on. */
void
harness_set_target_instance(int node, const char *instance)
{
    pthread_mutex_lock(&harness_lock);
    snprintf(harness_names[node], sizeof(harness_names[node]), "%s", instance);
    harness_closed_us[node] = 0;
    pthread_mutex_unlock(&harness_lock);
}

/* What the target beside a node says when it is asked how it is, and the load
 * that it tells in all its answers. */
void
harness_set_target_health(int node, int status, const char *load)
{
    pthread_mutex_lock(&harness_lock);
    harness_health[node] = status;
    snprintf(harness_loads[node], sizeof(harness_loads[node]), "%s", load);
    pthread_mutex_unlock(&harness_lock);
}

void
harness_set_target_close_time(int node, int64_t at_us)
{
    pthread_mutex_lock(&harness_lock);
    harness_closed_us[node] = at_us;
    pthread_mutex_unlock(&harness_lock);
}

void
harness_set_fault_permille(int permille)
{
    pthread_mutex_lock(&harness_lock);
    harness_permille = permille;
    pthread_mutex_unlock(&harness_lock);
}

int
harness_late_arrival_count(void)
{
    pthread_mutex_lock(&harness_lock);
    int late = harness_late;
    pthread_mutex_unlock(&harness_lock);
    return late;
}

int
harness_total_arrival_count(int *repeats)
{
    pthread_mutex_lock(&harness_lock);
    int all = harness_total;
    *repeats = harness_repeated;
    pthread_mutex_unlock(&harness_lock);
    return all;
}

/* A request has come, or (`runs` -1) its connection went while it ran. */
static void
harness_note(const char *id, const harness_request *request, int node,
             int runs)
{
    pthread_mutex_lock(&harness_lock);
    harness_record *r = harness_record_of(id);
    if (r == NULL) {
        r = g_new0(harness_record, 1);
        g_hash_table_insert(harness_records, g_strdup(id), r);
    }
    if (runs >= 0) {
        harness_total++;
        harness_repeated += r->arrivals > 0;
        harness_late += harness_closed_us[node] != 0 &&
                        clock_now_us() > harness_closed_us[node];
    }
    r->arrivals += runs >= 0;
    r->runs += runs > 0;
    r->node = node;
    r->cut = r->cut || runs < 0;
    if (strstr(request->path, "/mix") == NULL) {
        g_free(r->head);
        r->head = g_strdup(request->head);
    }
    r->body = request->length;
    pthread_mutex_unlock(&harness_lock);
}

#define HARNESS_READ(type, name, fault, expression)                           \
    type name(const char *id)                                                 \
    {                                                                         \
        pthread_mutex_lock(&harness_lock);                                    \
        const harness_record *r = harness_record_of(id);                      \
        type value = r == NULL ? (fault) : (expression);                      \
        pthread_mutex_unlock(&harness_lock);                                  \
        return value;                                                         \
    }
HARNESS_READ(int, harness_run_count, 0, r->runs)
HARNESS_READ(int, harness_arrival_count, 0, r->arrivals)
HARNESS_READ(int, harness_last_run_node, -1, r->node)
HARNESS_READ(bool, harness_was_disconnected, false, r->cut)
HARNESS_READ(size_t, harness_received_body_size, 0, r->body)

const char *
harness_received_head(const char *id)
{
    static char copy[2048];
    pthread_mutex_lock(&harness_lock);
    const harness_record *r = harness_record_of(id);
    snprintf(copy, sizeof(copy), "%s",
             r == NULL || r->head == NULL ? "" : r->head);
    pthread_mutex_unlock(&harness_lock);
    return copy;
}

/* Wait up to 20 s for the other side to close; whether it did. */
static bool
harness_wait_close(int fd)
{
    struct pollfd p = {fd, POLLIN, 0};
    char byte;
    return poll(&p, 1, 20000) == 1 && recv(fd, &byte, 1, MSG_PEEK) <= 0;
}

static void
harness_reset(int fd)
{
    struct linger linger = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* A load: a part of the requests goes wrong, by the hash of their id. */
static void
harness_mix(char *out, size_t size, const char *id)
{
    static const char *const troubles[] = {"shed", "reset",   "cut",   "fail",
                                           "late", "garbage", "extra", "slow"};
    uint64_t hash = id_hash(id);
    pthread_mutex_lock(&harness_lock);
    bool trouble = (int)(hash % HARNESS_PERMILLE) < harness_permille;
    pthread_mutex_unlock(&harness_lock);
    harness_sleep_ms(HARNESS_WORK_MS +
                     (int)(hash / HARNESS_PERMILLE % HARNESS_WORK_SPREAD));
    snprintf(out, size, "%s",
             trouble
                 ? troubles[hash / HARNESS_PERMILLE % G_N_ELEMENTS(troubles)]
                 : "ok");
}

/* The mode of a request here. */
static void
harness_mode_of(char *out, size_t size, const char *path, const char *id,
                int node)
{
    const char *word = strrchr(path, '/') + 1;
    const char *at = strstr(word, "-at-");
    snprintf(out, size, "%s", word);
    if (strcmp(word, "mix") == 0) {
        harness_mix(out, size, id);
        return;
    }
    if (strcmp(word, "shed-thrice") == 0) { /* whichever target has it */
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

/* The field that tells the load of the target beside a node, or nothing. */
static void
harness_load_field(char *out, size_t size, int node)
{
    pthread_mutex_lock(&harness_lock);
    out[0] = '\0';
    if (harness_loads[node][0] != '\0') {
        snprintf(out, size, "Lavenderfield-Instance-Load: %s\r\n",
                 harness_loads[node]);
    }
    pthread_mutex_unlock(&harness_lock);
}

static void
harness_tell_health(int fd, const char *name, int node)
{
    char headers[256];
    char load[96];
    harness_load_field(load, sizeof(load), node);
    pthread_mutex_lock(&harness_lock);
    int status = harness_health[node] == 0 ? 200 : harness_health[node];
    pthread_mutex_unlock(&harness_lock);
    snprintf(headers, sizeof(headers), "Lavenderfield-Instance-Id: %s\r\n%s",
             name, load);
    harness_reply(fd, status, headers, "", 0);
}

static bool
harness_is(const char *mode, const char *word)
{
    return strcmp(mode, word) == 0;
}

/* Answer one request; false where the connection ends. */
static bool
harness_answer_to(int fd, const harness_request *request, const char *id,
                  const char *mode, int node)
{
    char headers[512];
    char body[128];
    char load[96];
    harness_load_field(load, sizeof(load), node);
    snprintf(headers, sizeof(headers),
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Response-Seal: seal-of-%s\r\n%s",
             id, id, load);
    snprintf(body, sizeof(body), "answer to %s", id);
    if (harness_is(mode, "shed")) {
        harness_note(id, request, node, 0);
        snprintf(headers, sizeof(headers),
                 "Lavenderfield-Attempt-Id: %s\r\n"
                 "Lavenderfield-Not-Executed: 1\r\n",
                 id);
        harness_reply(fd, 503, headers, "", 0);
        return true;
    }
    if (harness_is(mode, "misplaced")) { /* by who has the address now, late */
        harness_note(id, request, node, 0);
        harness_sleep_ms(300);
        snprintf(headers, sizeof(headers), "Lavenderfield-Attempt-Id: %s\r\n",
                 id);
        harness_reply(fd, 421, headers, "", 0);
        return true;
    }
    harness_note(id, request, node, 1);
    if (harness_is(mode, "reset")) {
        harness_reset(fd);
        return false;
    }
    if (harness_is(mode, "hang")) {
        if (harness_wait_close(fd)) {
            harness_note(id, request, node, -1);
        }
        return false;
    }
    if (harness_is(mode, "cut")) {
        char head[1024];
        int size = snprintf(head, sizeof(head),
                            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s"
                            "\r\nhalf",
                            headers);
        harness_send(fd, head, (size_t)size);
        return false;
    }
    if (harness_is(mode, "toeof")) {
        char head[1024];
        int size = snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%s\r\n%s",
                            headers, body);
        harness_send(fd, head, (size_t)size);
        return false;
    }
    if (harness_is(mode, "noseal")) {
        snprintf(headers, sizeof(headers), "Lavenderfield-Attempt-Id: %s\r\n",
                 id);
    }
    if (harness_is(mode, "encoded")) {
        size_t length = strlen(headers);
        snprintf(headers + length, sizeof(headers) - length,
                 "Content-Encoding: gzip\r\n");
    }
    if (harness_is(mode, "garbage")) {
        harness_send(fd, "\1\2\3 not HTTP\r\n\r\n", 16);
        return false;
    }
    if (harness_is(mode, "echo")) {
        harness_reply(fd, 200, headers, request->body, request->length);
        return true;
    }
    if (harness_is(mode, "slow")) {
        harness_sleep_ms(300);
    }
    if (harness_is(mode, "late")) {
        harness_reply(fd, 200,
                      "Lavenderfield-Attempt-Id: another\r\n"
                      "Lavenderfield-Response-Seal: other\r\n",
                      "not yours", 9);
    }
    harness_reply(fd, harness_is(mode, "fail") ? 500 : 200, headers, body,
                  strlen(body));
    if (harness_is(mode, "extra")) {
        harness_reply(fd, 200, headers, body, strlen(body));
    }
    return !harness_is(mode, "close");
}

static void
harness_count_open(int node, int change)
{
    pthread_mutex_lock(&harness_lock);
    harness_open[node] += change;
    pthread_mutex_unlock(&harness_lock);
}

/* Connections that are open to the target beside a node. */
int
harness_target_connection_count(int node)
{
    pthread_mutex_lock(&harness_lock);
    int open = harness_open[node];
    pthread_mutex_unlock(&harness_lock);
    return open;
}

void
harness_serve_target(int fd, int node)
{
    harness_request request;
    harness_count_open(node, 1);
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
        snprintf(name, sizeof(name), "%s", harness_names[node]);
        pthread_mutex_unlock(&harness_lock);
        if (strcmp(request.path, HARNESS_HEALTH_PATH) == 0) {
            harness_tell_health(fd, name, node);
            continue;
        }
        if (strcmp(expected, name) != 0) {
            harness_note(id, &request, node, 0);
            char headers[128];
            snprintf(headers, sizeof(headers),
                     "Lavenderfield-Attempt-Id: %s\r\n"
                     "Lavenderfield-Instance-Id: %s\r\n",
                     id, name);
            harness_reply(fd, 421, headers, "", 0);
            continue;
        }
        harness_mode_of(mode, sizeof(mode), request.path, id, node);
        open = harness_answer_to(fd, &request, id, mode, node);
    }
    harness_count_open(node, -1);
    free(request.body);
}
