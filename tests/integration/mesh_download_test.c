/* Large responses over a hop: they are streamed at the pace of their reader,
 * one that is cut is never a complete success, and nothing is sent again once
 * the caller has a byte of it. */
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_private.h"
#include "mesh.h"

TestSuite(mesh_download, .init = mesh_start, .fini = harness_stop,
          .timeout = 120);

#define BODY_BYTES (96L * 1024 * 1024)
#define PIECE_BYTES 65536
#define PEAK_MAX_KB (16 * 1024) /* of a node */

/* Bytes that the connections of three processes hold, at most: the kernel
 * buffers up to 10 MiB each. */
#define ON_THE_WAY_BYTES_MAX (48L * 1024 * 1024)

/* What the targets are to send, and have sent. */
static struct {
    long length; /* that the head declares */
    long cut_at; /* bytes of the body after which the connection closes */
    long sent;
    int runs;
} download;

static long
read_sent(void)
{
    pthread_mutex_lock(&harness_lock);
    long sent = download.sent;
    pthread_mutex_unlock(&harness_lock);
    return sent;
}

/* Sends the body up to where it is cut. */
static void
send_body(int fd, long end)
{
    char piece[PIECE_BYTES];
    memset(piece, 'd', sizeof(piece));
    for (long at = 0; at < end;) {
        size_t size =
            (size_t)(end - at < PIECE_BYTES ? end - at : PIECE_BYTES);
        ssize_t sent = send(fd, piece, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        at += sent;
        pthread_mutex_lock(&harness_lock);
        download.sent = at;
        pthread_mutex_unlock(&harness_lock);
    }
}

static void
serve_download(int fd, int index)
{
    harness_request request;
    char id[64];
    char head[512];
    (void)index;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    if (harness_read_request(&request, fd) &&
        harness_find_header(id, sizeof(id), request.head,
                            "Lavenderfield-Attempt-Id")) {
        pthread_mutex_lock(&harness_lock);
        download.runs++;
        long end = download.cut_at;
        int size = snprintf(head, sizeof(head),
                            "HTTP/1.1 200 OK\r\nContent-Length: %ld\r\n"
                            "Lavenderfield-Response-Seal: seal\r\n"
                            "Lavenderfield-Attempt-Id: %s\r\n\r\n",
                            download.length, id);
        pthread_mutex_unlock(&harness_lock);
        harness_send(fd, head, (size_t)size);
        send_body(fd, end);
        if (end == download.length) {
            char byte;
            recv(fd, &byte, 1, 0); /* until the node closes */
        }
    }
    free(request.body);
}

static int listeners[MESH_NODES];

/* Puts targets that send downloads beside nodes 1 and 2. */
static void
start_downloads(long length, long cut_at)
{
    pthread_mutex_lock(&harness_lock);
    download.length = length;
    download.cut_at = cut_at;
    download.sent = 0;
    download.runs = 0;
    pthread_mutex_unlock(&harness_lock);
    for (int i = 1; i < MESH_NODES; i++) {
        if (listeners[i] == 0) {
            /* The node closes its connections to the target before. */
            char instance[32];
            snprintf(instance, sizeof(instance), "i-download-%d", i);
            harness_set_target_refusing(i, true);
            harness_replace_instance(i, instance);
            cr_assert_eq(harness_send_heartbeat(i, "ready", 0), 200);
            listeners[i] = harness_listen(
                harness_nodes[i].ports[HARNESS_TARGET], i, serve_download);
            cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, instance)));
        }
    }
}

/* Reads the rest of a response; returns the bytes of its body. */
static long
read_body(int fd, long expected)
{
    static char bytes[PIECE_BYTES + 1];
    long total = 0;
    long head = 0;
    ssize_t got = 0;
    while ((head == 0 || total - head < expected) &&
           (got = recv(fd, bytes, PIECE_BYTES, 0)) > 0) {
        bytes[got] = '\0';
        if (total == 0) { /* the head comes at once */
            const char *end = strstr(bytes, "\r\n\r\n");
            cr_assert_not_null(end);
            cr_expect(strncmp(bytes, "HTTP/1.1 200", 12) == 0, "%.40s", bytes);
            head = end + strlen("\r\n\r\n") - bytes;
        }
        total += got;
    }
    return total - head;
}

static void
publish_downloads(void)
{
    harness_publish_desired(
        2, "[" ROUTE("/d/", "idempotent", "60000ms", "far") "]");
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"version\":2")));
}

/* The caller reads nothing for a while: the target is held up, and no node
 * keeps what it sends. */
Test(mesh_download, a_slow_reader_holds_up_the_target)
{
    publish_downloads();
    start_downloads(BODY_BYTES, BODY_BYTES);
    int fd = harness_start_call(0, "GET", "/d/ok", "slow-reader");
    cr_assert(HARNESS_WAIT_FOR(read_sent() > 0));
    long before = -1;
    while (before != read_sent()) {
        before = read_sent();
        harness_sleep_ms(300);
    }
    cr_expect_lt(before, ON_THE_WAY_BYTES_MAX, "%ld", before);
    long got = read_body(fd, BODY_BYTES);
    cr_expect_eq(got, BODY_BYTES, "%ld", got);
    cr_expect_eq(download.runs, 1);
    for (int i = 0; i < 2; i++) {
        cr_expect_lt(harness_node_peak_kb(i), PEAK_MAX_KB, "node %d: %ld KiB",
                     i, harness_node_peak_kb(i));
    }
    close(fd);
}

typedef struct cut_case {
    const char *name;
    long length;
    long cut_at;
    int runs_max;
} cut_case;

/* Up to 64 KiB are kept back until the response is whole. */
static const cut_case cut_cases[] = {
    {"before any byte was passed on", 4096, 2048, 2},
    {"halfway", 8L * 1024 * 1024, 4L * 1024 * 1024, 1},
    {"a byte before its end", 8L * 1024 * 1024, 8L * 1024 * 1024 - 1, 1},
};

Test(mesh_download, a_cut_one_is_no_success_and_not_resent)
{
    publish_downloads();
    for (size_t i = 0; i < COUNT(cut_cases); i++) {
        const cut_case *c = &cut_cases[i];
        harness_response response;
        char id[32];
        snprintf(id, sizeof(id), "cut-%zu", i);
        start_downloads(c->length, c->cut_at);
        if (c->runs_max > 1) {
            harness_call(&response, 0, "GET", "/d/ok", id, "", 0);
            cr_expect_eq(response.status, 502, "%s: %d", c->name,
                         response.status);
            harness_free_response(&response);
        }
        else {
            int fd = harness_start_call(0, "GET", "/d/ok", id);
            long got = read_body(fd, c->length);
            cr_expect_lt(got, c->length, "%s: %ld", c->name, got);
            close(fd);
        }
        cr_expect_leq(download.runs, c->runs_max, "%s: %d", c->name,
                      download.runs);
    }
}
