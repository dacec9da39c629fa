/* Bodies that are read slowly.  A receiver that acknowledges with a closed
 * window is at work, however long it reads nothing; one that acknowledges
 * nothing is lost, and is noticed. */
#include <criterion/criterion.h>
#include <linux/filter.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "mesh.h"

#define BODY_SIZE 1048576    /* more than a socket that isn't read takes */
#define ANSWER_SIZE 16777216 /* the same of several nodes' sockets */
#define FIRST_SIZE 16384     /* read before a pause */
#define FOR_EVER_MS 30000    /* longer than any request's time */
#define TIMEOUT_MS 3500      /* of routes of 4 s, with a margin */
#define GRACE_MS 6500        /* of 8 s, with a margin */
#define NOTICED_MS 12000     /* less than routes of 25 s, by far */
#define TERM_AFTER_MS 300

#define SLOW_ROUTES                                                           \
    "[" ROUTE("/m/", "non_idempotent", "25000ms", "near") "," ROUTE(          \
        "/n/", "non_idempotent", "25000ms",                                   \
        "far") "," ROUTE("/s/", "non_idempotent", "4000ms",                   \
                         "near") "," ROUTE("/t/", "non_idempotent", "4000ms", \
                                           "far") "]"

static void
slow_start(void)
{
    harness_options opts = {.proxied = true, .grace_ms = 8000};
    mesh_start_with(&opts);
    harness_publish_desired(2, SLOW_ROUTES);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(harness_log_contains(i, "\"version\":2")));
    }
}

TestSuite(mesh_slow, .init = slow_start, .fini = harness_stop, .timeout = 120);

enum slow_end {
    SLOW_READS_ON,
    SLOW_DIES,         /* acknowledges nothing, once its window is closed */
    SLOW_DIES_AT_ONCE, /* the same with an open window */
    SLOW_DIES_LATER    /* the same once it has read the body */
};

typedef struct slow_case {
    const char *name;
    const char *prefix; /* of the path, and so the route */
    int pause_ms;
    enum slow_end end;
    bool answered;   /* by the receiver, else the node ends the request, */
    int earliest_ms; /* not earlier than this */
} slow_case;

/* The cases that run now; a request's path ends in the index of its own. */
static const slow_case *slow_cases;
static volatile bool slow_stopped; /* the receivers that are lost may end */

static void
slow_receive_nothing(int fd)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop_all};
    cr_expect_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                            sizeof(program)),
                 0);
}

static bool
slow_read_head(int fd, char *out, size_t size)
{
    size_t length = 0;
    out[0] = '\0';
    while (length + 1 < size && recv(fd, out + length, 1, 0) == 1) {
        out[++length] = '\0';
        if (length >= 4 && strcmp(out + length - 4, "\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

static bool
slow_read_body(int fd, size_t length)
{
    char bytes[4096];
    while (length > 0) {
        ssize_t got = recv(fd, bytes,
                           length < sizeof(bytes) ? length : sizeof(bytes), 0);
        if (got <= 0) {
            return false;
        }
        length -= (size_t)got;
    }
    return true;
}

static void
slow_wait_stopped(int ms)
{
    for (int waited = 0; waited < ms && !slow_stopped; waited += 10) {
        harness_sleep_ms(10);
    }
}

/* Read a request as its case says, and answer with `sealed`, the head of a
 * success up to the request's id. */
static bool
slow_serve_request(int fd, const char *sealed)
{
    char head[HARNESS_HEAD_SIZE_MAX];
    char id[64];
    char text[512];
    size_t index = 0;
    if (!slow_read_head(fd, head, sizeof(head))) {
        return false;
    }
    harness_find_header(id, sizeof(id), head, "Lavenderfield-Attempt-Id");
    if (!harness_find_header(text, sizeof(text), head, "Content-Length") ||
        strtoul(text, NULL, 10) != BODY_SIZE ||
        sscanf(head, "POST /%*[a-z]/%zu", &index) != 1) {
        return false; /* a probe, or a query of another node */
    }
    const slow_case *c = &slow_cases[index];
    if (c->end == SLOW_DIES_AT_ONCE) {
        slow_receive_nothing(fd);
        slow_wait_stopped(FOR_EVER_MS);
        return false;
    }
    if (!slow_read_body(fd, FIRST_SIZE)) {
        return false;
    }
    slow_wait_stopped(c->pause_ms);
    if (c->end == SLOW_DIES) {
        slow_receive_nothing(fd);
        slow_wait_stopped(FOR_EVER_MS);
        return false;
    }
    if (!slow_read_body(fd, BODY_SIZE - FIRST_SIZE)) {
        return false;
    }
    if (c->end == SLOW_DIES_LATER) {
        slow_receive_nothing(fd);
        slow_wait_stopped(FOR_EVER_MS);
        return false;
    }
    int size = snprintf(text, sizeof(text),
                        "%s%s\r\nContent-Length: 2\r\n\r\nok", sealed, id);
    harness_send(fd, text, (size_t)size);
    return true;
}

static void
slow_serve_target(int fd, int index)
{
    (void)index;
    while (slow_serve_request(fd, "HTTP/1.1 200 OK\r\n"
                                  "Lavenderfield-Response-Seal: seal\r\n"
                                  "Lavenderfield-Attempt-Id: ")) {
    }
}

static void
slow_serve_peer(int fd, int index)
{
    (void)index;
    while (slow_serve_request(fd, "HTTP/1.1 200 OK\r\n"
                                  "Lav-Hop: 0 0 1 1 5 0 40 0 1 0 0 0 0\r\n"
                                  "Lavenderfield-Response-Seal: seal\r\n"
                                  "Lavenderfield-Attempt-Id: ")) {
    }
}

/* Connect to node 0 without the time limit of harness_connect(). */
static int
slow_connect(void)
{
    struct timeval none = {0, 0};
    int fd = harness_connect(0);
    cr_expect_eq(setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &none, sizeof(none)),
                 0);
    return fd;
}

typedef struct slow_call {
    size_t index;
    int status;
    bool sealed; /* and whole */
    int64_t took_ms;
} slow_call;

static void *
slow_call_main(void *payload)
{
    static char body[BODY_SIZE];
    slow_call *call = payload;
    char head[256];
    char seal[32];
    harness_response response;
    int64_t start_us = clock_now_us();
    int size = snprintf(
        head, sizeof(head),
        "POST %s%zu HTTP/1.1\r\nHost: h.example\r\n"
        "Lavenderfield-Attempt-Id: slow-%zu\r\nContent-Length: %d\r\n\r\n",
        slow_cases[call->index].prefix, call->index, call->index, BODY_SIZE);
    int fd = slow_connect();
    harness_send(fd, head, (size_t)size);
    harness_send(fd, body, sizeof(body));
    harness_read_response(&response, fd);
    close(fd);
    call->took_ms = (clock_now_us() - start_us) / CLOCK_US_PER_MS;
    call->status = response.status;
    call->sealed = harness_find_header(seal, sizeof(seal), response.head,
                                       "Lavenderfield-Response-Seal");
    harness_free_response(&response);
    return NULL;
}

static void
slow_check(const slow_case *c, const slow_call *call)
{
    bool answered = call->status == 200 && call->sealed;
    if (c->answered) {
        cr_expect(answered, "%s: %d after %ld ms", c->name, call->status,
                  (long)call->took_ms);
    }
    else {
        cr_expect(
            !answered && call->status >= 500 &&
                call->took_ms >= c->earliest_ms && call->took_ms < NOTICED_MS,
            "%s: %d after %ld ms", c->name, call->status, (long)call->took_ms);
    }
}

/* Send the requests of all cases at the same time; node 0 is stopped
 * meanwhile if `stop`. */
static void
slow_play(const slow_case *cases, size_t count, bool stop)
{
    pthread_t threads[16];
    slow_call calls[16];
    cr_assert_leq(count, COUNT(calls));
    slow_cases = cases;
    for (size_t i = 0; i < count; i++) {
        calls[i] = (slow_call){.index = i};
        pthread_create(&threads[i], NULL, slow_call_main, &calls[i]);
    }
    if (stop) {
        harness_sleep_ms(TERM_AFTER_MS);
        harness_signal_node(0, SIGTERM);
    }
    for (size_t i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
        slow_check(&cases[i], &calls[i]);
    }
    slow_stopped = true;
}

/* Have slow receivers serve in place of the targets. */
static void
slow_replace_targets(harness_serve_cb serve)
{
    for (int i = 0; i < MESH_NODES; i++) {
        harness_set_target_refusing(i, true);
        harness_listen(harness_nodes[i].ports[HARNESS_TARGET], i, serve);
    }
}

static const slow_case target_cases[] = {
    {"2.5 s", "/m/", 2500, SLOW_READS_ON, true, 0},
    {"10 s", "/m/", 10000, SLOW_READS_ON, true, 0},
    {"for ever", "/s/", FOR_EVER_MS, SLOW_READS_ON, false, TIMEOUT_MS},
    {"dies soon", "/m/", 300, SLOW_DIES, false, 0},
    {"dies after 3 s", "/m/", 3000, SLOW_DIES, false, 3000},
    {"dies with an open window", "/m/", 0, SLOW_DIES_AT_ONCE, false, 0},
    {"2.5 s, behind a node", "/n/", 2500, SLOW_READS_ON, true, 0},
    {"10 s, behind a node", "/n/", 10000, SLOW_READS_ON, true, 0},
    {"for ever, behind a node", "/t/", FOR_EVER_MS, SLOW_READS_ON, false,
     TIMEOUT_MS},
    {"dies soon, behind a node", "/n/", 300, SLOW_DIES, false, 0},
    {"dies after 3 s, behind a node", "/n/", 3000, SLOW_DIES, false, 3000},
    {"dies with an open window, behind a node", "/n/", 0, SLOW_DIES_AT_ONCE,
     false, 0},
};

Test(mesh_slow, targets_read_slowly)
{
    slow_replace_targets(slow_serve_target);
    slow_play(target_cases, COUNT(target_cases), false);
}

static const slow_case stop_cases[] = {
    {"2.5 s", "/m/", 2500, SLOW_READS_ON, true, 0},
    {"4 s", "/m/", 4000, SLOW_READS_ON, true, 0},
    {"for ever", "/s/", FOR_EVER_MS, SLOW_READS_ON, false, TIMEOUT_MS},
    {"2.5 s, behind a node", "/n/", 2500, SLOW_READS_ON, true, 0},
    {"4 s, behind a node", "/n/", 4000, SLOW_READS_ON, true, 0},
};

Test(mesh_slow, targets_read_slowly_in_a_planned_stop)
{
    slow_replace_targets(slow_serve_target);
    slow_play(stop_cases, COUNT(stop_cases), true);
}

/* Grace ends before the request's time does. */
static const slow_case grace_cases[] = {
    {"for ever", "/m/", FOR_EVER_MS, SLOW_READS_ON, false, GRACE_MS},
    {"for ever, behind a node", "/n/", FOR_EVER_MS, SLOW_READS_ON, false,
     GRACE_MS},
};

Test(mesh_slow, the_grace_time_bounds_a_slow_body)
{
    slow_replace_targets(slow_serve_target);
    slow_play(grace_cases, COUNT(grace_cases), true);
}

static const slow_case peer_cases[] = {
    {"2.5 s", "/n/", 2500, SLOW_READS_ON, true, 0},
    {"10 s", "/n/", 10000, SLOW_READS_ON, true, 0},
    {"dies soon", "/n/", 300, SLOW_DIES, false, 0},
    {"dies after 3 s", "/n/", 3000, SLOW_DIES, false, 3000},
    {"dies with an open window", "/n/", 0, SLOW_DIES_AT_ONCE, false, 0},
    {"dies after the body", "/n/", 0, SLOW_DIES_LATER, false, 0},
    {"dies after a slow body", "/n/", 2500, SLOW_DIES_LATER, false, 2500},
};

Test(mesh_slow, a_node_reads_slowly)
{
    mesh_add_node("slow", slow_serve_peer);
    harness_publish_desired(
        3, "[" ROUTE("/n/", "non_idempotent", "25000ms", "slow") "]");
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"version\":3")));
    slow_play(peer_cases, COUNT(peer_cases), false);
}

/* The link between the nodes is cut while the body is on its way; its near end
 * still acknowledges, so that the request's time bounds the wait. */
static const slow_case cut_cases[] = {
    {"cut link", "/t/", FOR_EVER_MS, SLOW_READS_ON, false, TIMEOUT_MS},
    {"cut link again", "/t/", FOR_EVER_MS, SLOW_READS_ON, false, TIMEOUT_MS},
};

Test(mesh_slow, a_link_is_cut_with_bytes_in_flight)
{
    slow_replace_targets(slow_serve_target);
    pthread_t threads[COUNT(cut_cases)];
    slow_call calls[COUNT(cut_cases)];
    slow_cases = cut_cases;
    for (size_t i = 0; i < COUNT(cut_cases); i++) {
        calls[i] = (slow_call){.index = i};
        pthread_create(&threads[i], NULL, slow_call_main, &calls[i]);
    }
    harness_sleep_ms(TERM_AFTER_MS);
    for (int i = 1; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_peers_proxy(i),
                             FAULT_PROXY_BLACKHOLE);
    }
    for (size_t i = 0; i < COUNT(cut_cases); i++) {
        pthread_join(threads[i], NULL);
        slow_check(&cut_cases[i], &calls[i]);
    }
    slow_stopped = true;
}

/* A target that answers each request with a large body. */
static void
slow_serve_answers(int fd, int index)
{
    static char body[ANSWER_SIZE];
    char head[HARNESS_HEAD_SIZE_MAX];
    char id[64];
    char text[512];
    (void)index;
    while (slow_read_head(fd, head, sizeof(head)) &&
           harness_find_header(id, sizeof(id), head,
                               "Lavenderfield-Attempt-Id")) {
        int size = snprintf(text, sizeof(text),
                            "HTTP/1.1 200 OK\r\n"
                            "Lavenderfield-Response-Seal: seal\r\n"
                            "Lavenderfield-Attempt-Id: %s\r\n"
                            "Content-Length: %d\r\n\r\n",
                            id, ANSWER_SIZE);
        harness_send(fd, text, (size_t)size);
        harness_send(fd, body, sizeof(body));
    }
}

static const slow_case requester_cases[] = {
    {"2.5 s", "/m/", 2500, SLOW_READS_ON, true, 0},
    {"10 s", "/m/", 10000, SLOW_READS_ON, true, 0},
    {"2.5 s, behind a node", "/n/", 2500, SLOW_READS_ON, true, 0},
    {"10 s, behind a node", "/n/", 10000, SLOW_READS_ON, true, 0},
};

static void *
slow_requester_main(void *payload)
{
    slow_call *call = payload;
    const slow_case *c = &requester_cases[call->index];
    char text[HARNESS_HEAD_SIZE_MAX];
    int fd = slow_connect();
    int size = snprintf(text, sizeof(text),
                        "POST %s%zu HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: answer-%zu\r\n"
                        "Content-Length: 0\r\n\r\n",
                        c->prefix, call->index, call->index);
    harness_send(fd, text, (size_t)size);
    if (slow_read_head(fd, text, sizeof(text)) &&
        slow_read_body(fd, FIRST_SIZE)) {
        sscanf(text, "HTTP/1.1 %d", &call->status);
        harness_sleep_ms(c->pause_ms);
        call->sealed = slow_read_body(fd, ANSWER_SIZE - FIRST_SIZE);
    }
    close(fd);
    return NULL;
}

Test(mesh_slow, requesters_read_answers_slowly)
{
    pthread_t threads[COUNT(requester_cases)];
    slow_call calls[COUNT(requester_cases)];
    slow_replace_targets(slow_serve_answers);
    for (size_t i = 0; i < COUNT(requester_cases); i++) {
        calls[i] = (slow_call){.index = i};
        pthread_create(&threads[i], NULL, slow_requester_main, &calls[i]);
    }
    for (size_t i = 0; i < COUNT(requester_cases); i++) {
        pthread_join(threads[i], NULL);
        cr_expect(calls[i].status == 200 && calls[i].sealed, "%s: %d, %s",
                  requester_cases[i].name, calls[i].status,
                  calls[i].sealed ? "whole" : "cut");
    }
}
