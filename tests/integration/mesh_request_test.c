/* Requests that are not valid HTTP/1.1, at each address of a node: they get
 * one error response, are not passed on, and what follows them on the
 * connection is not read as a request. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "broken_request.h"
#include "mesh.h"

TestSuite(mesh_request, .init = mesh_start, .fini = harness_stop,
          .timeout = 120);

#define RECEIVED_SIZE 16384
#define RECEIVE_TIMEOUT_S 10
#define FIELDS                                                                \
    "Host: h.example\r\n"                                                     \
    "Lavenderfield-Attempt-Id: %s\r\n"

/* What a server sent until it closed the connection. */
typedef struct received {
    char text[RECEIVED_SIZE];
    int responses; /* final ones */
    int status;    /* of the first */
    bool closed;   /* in order, and before RECEIVE_TIMEOUT_S */
} received;

/* Read to the end of a connection. */
static void
receive_all(received *out, int fd)
{
    static const struct timeval limit = {RECEIVE_TIMEOUT_S, 0};
    size_t length = 0;
    ssize_t got = 0;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while (length + 1 < sizeof(out->text) &&
           (got = recv(fd, out->text + length, sizeof(out->text) - 1 - length,
                       0)) > 0) {
        length += (size_t)got;
    }
    out->text[length] = '\0';
    out->closed = got == 0;
    out->status = 0;
    out->responses = 0;
    for (const char *at = out->text; (at = strstr(at, "HTTP/1.1 ")) != NULL;
         at++) {
        int status = atoi(at + strlen("HTTP/1.1 "));
        out->responses += status >= 200;
        out->status = out->status == 0 && status >= 200 ? status : out->status;
    }
}

/* Send a request of a table, and another one behind it, which asks the server
 * to close the connection. */
static void
send_both(int fd, const broken_request *request, const char *id)
{
    GString *text =
        g_string_new_len(request->start.bytes, (gssize)request->start.length);
    g_string_append_printf(text, FIELDS, id);
    g_string_append_len(text, request->rest.bytes,
                        (gssize)request->rest.length);
    g_string_append_printf(text,
                           "POST " BROKEN_REQUEST_PATH
                           " HTTP/1.1\r\nConnection: close\r\n"
                           "Host: h.example\r\n"
                           "Lavenderfield-Attempt-Id: second-%s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           id);
    harness_send(fd, text->str, text->len);
    g_string_free(text, TRUE);
}

/* An address of a node, which responds to valid requests with `status`. */
typedef struct server {
    int port;
    int status;
    bool runs;          /* passes them on to a target */
    bool before_bodies; /* responds when the head was read */
} server;

/* The status of the response to a request at a server. */
static int
expected_status(const server *s, const broken_request_table *table,
                const broken_request *request)
{
    bool head_is_valid =
        request->status == 0 || table == &broken_request_chunks;
    return request->status == 0 || (s->before_bodies && head_is_valid)
               ? s->status
               : request->status;
}

/* Send each request of a table to a server. */
static void
send_each(const server *s, const broken_request_table *table)
{
    int failed = 0;
    for (size_t i = 0; i < table->count; i++) {
        const broken_request *request = &table->cases[i];
        char id[64];
        char second[80];
        received got;
        snprintf(id, sizeof(id), "%s-%zu", table->name, i);
        snprintf(second, sizeof(second), "second-%s", id);
        int fd = harness_connect_port(s->port);
        cr_assert_geq(fd, 0);
        send_both(fd, request, id);
        receive_all(&got, fd);
        close(fd);
        bool valid = request->status == 0;
        int status = expected_status(s, table, request);
        int runs = valid && s->runs ? 1 : 0;
        bool held = got.closed && got.status == status &&
                    got.responses == (valid ? 2 : 1) &&
                    harness_arrival_count(id) == runs &&
                    harness_arrival_count(second) == runs;
        failed += held ? 0 : 1;
        cr_expect(held,
                  "%s: status %d, %d responses, arrived %d and %d, %s:\n%s",
                  request->name, got.status, got.responses,
                  harness_arrival_count(id), harness_arrival_count(second),
                  got.closed ? "closed" : "not closed in order", got.text);
    }
    cr_expect_eq(failed, 0, "%s: %d of %zu", table->name, failed,
                 table->count);
}

/* Send each request of all tables to a server. */
static void
send_all(const server *s)
{
    send_each(s, &valid_requests);
    for (size_t i = 0; i < BROKEN_REQUEST_TABLE_COUNT; i++) {
        send_each(s, broken_request_tables[i]);
    }
}

Test(mesh_request, callers)
{
    send_all(&(server){harness_callers_port(0), 200, true, false});
}

/* Queries are answered when their heads were read. */
Test(mesh_request, peers)
{
    send_all(&(server){harness_peers_port(0), 404, false, true});
}

Test(mesh_request, control)
{
    send_all(
        &(server){harness_nodes[0].ports[HARNESS_CONTROL], 404, false, false});
}

Test(mesh_request, ready)
{
    send_all(
        &(server){harness_nodes[0].ports[HARNESS_READY], 404, false, false});
}

Test(mesh_request, metrics)
{
    send_all(&(server){harness_metrics_port(0), 200, false, false});
}
