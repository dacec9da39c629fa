/* Sockets and HTTP messages of the stand-ins. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig_private.h"

#define RIG_READ_TIMEOUT_MS 15000
#define RIG_BODY_MAX (64 * 1024 * 1024)

typedef struct rig_listener {
    int fd;
    rig_serve_cb serve;
    int payload;
} rig_listener;

typedef struct rig_accepted {
    int fd;
    rig_serve_cb serve;
    int payload;
} rig_accepted;

static void *
rig_serve_thread(void *payload)
{
    rig_accepted *a = payload;
    a->serve(a->fd, a->payload);
    close(a->fd);
    free(a);
    return NULL;
}

static void
rig_start_thread(void *(*run)(void *), void *payload)
{
    pthread_t thread;
    if (pthread_create(&thread, NULL, run, payload) != 0) {
        rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
    }
    pthread_detach(thread);
}

static void *
rig_accept_thread(void *payload)
{
    rig_listener *l = payload;
    for (;;) {
        int fd = accept(l->fd, NULL, NULL);
        if (fd < 0) {
            rig_sleep_ms(10);
            continue;
        }
        int on = 1;
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        rig_accepted *a = calloc(1, sizeof(*a));
        *a = (rig_accepted){fd, l->serve, l->payload};
        rig_start_thread(rig_serve_thread, a);
    }
    return NULL;
}

/* Serves each connection to an address in a thread of its own. */
void
rig_listen(int node, int port, rig_serve_cb serve, int payload)
{
    struct sockaddr_in address;
    int on = 1;
    rig_address(&address, node, port);
    rig_listener *l = calloc(1, sizeof(*l));
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(l->fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
        listen(l->fd, 1024) < 0) {
        rig_end(RIG_EXIT_NOT_RUN, "cannot listen: %s", strerror(errno));
    }
    l->serve = serve;
    l->payload = payload;
    rig_start_thread(rig_accept_thread, l);
}

/* Reads once; 0 at the end of the stream, -1 on an error or a timeout. */
static ssize_t
rig_read(int fd, char *bytes, size_t size)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};
    if (poll(&p, 1, RIG_READ_TIMEOUT_MS) <= 0) {
        return -1;
    }
    return recv(fd, bytes, size, 0);
}

/* Reads a head byte by byte, so that nothing behind it is taken. */
static bool
rig_read_head(int fd, rig_message *out)
{
    size_t length = 0;
    while (length < sizeof(out->head) - 1) {
        ssize_t got = rig_read(fd, out->head + length, 1);
        if (got <= 0) {
            out->reset = got < 0;
            return false;
        }
        length++;
        out->head[length] = '\0';
        if (length >= 4 &&
            memcmp(out->head + length - 4, "\r\n\r\n", 4) == 0) {
            return true;
        }
    }
    return false;
}

/* Reads `length` bytes more of the body; false if the stream ends before. */
static bool
rig_read_bytes(int fd, rig_message *out, size_t length)
{
    out->body = realloc(out->body, out->length + length + 1);
    while (length > 0) {
        ssize_t got = rig_read(fd, out->body + out->length, length);
        if (got <= 0) {
            out->reset = got < 0;
            return false;
        }
        out->length += (size_t)got;
        length -= (size_t)got;
    }
    out->body[out->length] = '\0';
    return true;
}

static bool
rig_read_chunks(int fd, rig_message *out)
{
    for (;;) {
        rig_message line = {0};
        char text[64] = "";
        size_t length = 0;
        while (length < sizeof(text) - 1 && strstr(text, "\r\n") == NULL) {
            if (rig_read(fd, text + length, 1) <= 0) {
                out->reset = true;
                return false;
            }
            text[++length] = '\0';
        }
        size_t size = strtoul(text, NULL, 16);
        if (size > RIG_BODY_MAX) {
            return false;
        }
        if (size > 0 && !rig_read_bytes(fd, out, size)) {
            return false;
        }
        bool ended = rig_read_bytes(fd, &line, 2);
        free(line.body);
        if (!ended || size == 0) {
            return ended;
        }
    }
}

/* Finds the value of a field; false if there is none. */
bool
rig_field(const rig_message *message, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    out[0] = '\0';
    while (line != NULL && line[2] != '\r' && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            value += strspn(value, " ");
            size_t end = strcspn(value, "\r");
            snprintf(out, size, "%.*s", (int)end, value);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

/* Reads a request or a response with its body; false if it is incomplete. */
bool
rig_read_message(int fd, rig_message *out, bool response)
{
    char value[RIG_TEXT_SIZE];
    *out = (rig_message){0};
    if (!rig_read_head(fd, out)) {
        return false;
    }
    out->status = response ? atoi(out->head + strlen("HTTP/1.1 ")) : 0;
    if (rig_field(out, "Transfer-Encoding", value, sizeof(value))) {
        out->whole = rig_read_chunks(fd, out);
    }
    else if (rig_field(out, "Content-Length", value, sizeof(value))) {
        out->whole = rig_read_bytes(fd, out, strtoul(value, NULL, 10));
    }
    else {
        out->whole = rig_read_bytes(fd, out, 0);
    }
    return out->whole;
}

void
rig_read_response(int fd, rig_message *out)
{
    rig_read_message(fd, out, true);
}

void
rig_free(rig_message *message)
{
    free(message->body);
    message->body = NULL;
}

/* Sends all bytes; false on an error. */
bool
rig_send(int fd, const char *text, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, text, length, MSG_NOSIGNAL);
        if (sent < 0) {
            return false;
        }
        text += sent;
        length -= (size_t)sent;
    }
    return true;
}

static int
rig_connect_port(int node, int port, int receive_bytes, int segment_bytes)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    rig_address(&address, node, port);
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (receive_bytes > 0) {
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                         sizeof(receive_bytes));
    }
    if (segment_bytes > 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                         sizeof(segment_bytes));
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Connects to the outbound address of a node; -1 if that fails. */
int
rig_connect(int node)
{
    return rig_connect_port(node, RIG_PORT_OUTBOUND, 0, 0);
}

/* The same for a requester that reads slowly: a small receive buffer, and
 * segments as on an Ethernet link. */
int
rig_connect_slow(int node, int receive_bytes, int segment_bytes)
{
    return rig_connect_port(node, RIG_PORT_OUTBOUND, receive_bytes,
                            segment_bytes);
}

/* Sends one request on a new connection and reads its response. */
static void
rig_exchange(rig_message *out, int node, int port, const char *text)
{
    *out = (rig_message){0};
    int fd = rig_connect_port(node, port, 0, 0);
    if (fd < 0) {
        return;
    }
    if (rig_send(fd, text, strlen(text))) {
        rig_read_response(fd, out);
    }
    close(fd);
}

/* Sends a request without a body through a node. */
void
rig_call(rig_message *out, int node, const char *method, const char *path,
         const char *id, int deadline_ms)
{
    char text[1024];
    snprintf(text, sizeof(text),
             "%s %s HTTP/1.1\r\nHost: h.example\r\n"
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Deadline-Ms: %d\r\n\r\n",
             method, path, id, deadline_ms);
    rig_log("%s %s through node %d: sent", id, path, node);
    rig_exchange(out, node, RIG_PORT_OUTBOUND, text);
    rig_log("%s answered %d%s", id, out->status,
            out->whole ? "" : ", not whole");
}

/* Waits until a node says that it is ready. */
bool
rig_wait_ready(int node, int64_t timeout_ms)
{
    int64_t end_ms = rig_now_ms() + timeout_ms;
    while (rig_now_ms() < end_ms) {
        rig_message m;
        rig_exchange(&m, node, RIG_PORT_READY,
                     "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n");
        rig_free(&m);
        if (m.status == 200) {
            return true;
        }
        rig_sleep_ms(50);
    }
    return false;
}

/* Sends a call to the control address of a node; returns the status. */
int
rig_control(int node, const char *text)
{
    rig_message m;
    rig_exchange(&m, node, RIG_PORT_CONTROL, text);
    rig_free(&m);
    return m.status;
}
