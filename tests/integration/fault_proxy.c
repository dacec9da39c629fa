#include "fault_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"

#define FAULT_PROXY_RESET_POLL_US 100 /* until a reset is done */

#define FAULT_PROXY_REPLY_DELAY_US 150000
#define FAULT_PROXY_BUFFER_SIZE 65536
#define FAULT_PROXY_PAIRS_MAX 2048
#define FAULT_PROXY_BACKLOG 256

/* The two ends of a forwarded connection.  As an index into `flows` an end
 * selects the bytes that were received from it. */
enum fault_proxy_end {
    FAULT_PROXY_CLIENT,   /* the peer that connected to the proxy */
    FAULT_PROXY_UPSTREAM, /* the server that the proxy connects to */
    FAULT_PROXY_ENDS
};

/* One direction of a connection: the bytes that were received from one end
 * and are not yet written to the other. */
typedef struct fault_proxy_flow {
    bool discarding; /* bytes were dropped; all later ones are dropped too */
    int64_t due_us;  /* monotonic time to forward the bytes; 0: at once */
    char *bytes;     /* owned; NULL when the buffer is empty */
    size_t offset;   /* of the first byte that is not yet written */
    size_t length;   /* of `bytes` */
} fault_proxy_flow;

typedef struct fault_proxy_pair {
    int sockets[FAULT_PROXY_ENDS];
    bool connecting; /* the connection to the upstream is not yet open */
    fault_proxy_flow flows[FAULT_PROXY_ENDS];
} fault_proxy_pair;

struct fault_proxy {
    int listener;
    int wakeup_fd; /* eventfd: mode, resets or stopped have changed */
    int upstream_port;
    atomic_int mode;
    atomic_bool stopped;
    atomic_int resets;
    atomic_int resets_done;
    pthread_t thread;
    size_t count;
    fault_proxy_pair *pairs[FAULT_PROXY_PAIRS_MAX];
    struct pollfd fds[2 + FAULT_PROXY_PAIRS_MAX * FAULT_PROXY_ENDS];
};

static struct sockaddr_in
fault_proxy_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/* Make close() on a socket send a TCP reset. */
static void
fault_proxy_reset_on_close(int socket)
{
    struct linger linger = {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Close both ends of a connection and release it; the last connection moves
 * to its index. */
static void
fault_proxy_close(fault_proxy *p, size_t index)
{
    fault_proxy_pair *pair = p->pairs[index];
    for (int end = 0; end < FAULT_PROXY_ENDS; end++) {
        close(pair->sockets[end]);
        free(pair->flows[end].bytes);
    }
    free(pair);
    p->pairs[index] = p->pairs[--p->count];
}

/* Close all connections; with `reset`, by a TCP reset to both ends. */
static void
fault_proxy_close_all(fault_proxy *p, bool reset)
{
    while (p->count > 0) {
        if (reset) {
            fault_proxy_reset_on_close(
                p->pairs[p->count - 1]->sockets[FAULT_PROXY_CLIENT]);
            fault_proxy_reset_on_close(
                p->pairs[p->count - 1]->sockets[FAULT_PROXY_UPSTREAM]);
        }
        fault_proxy_close(p, p->count - 1);
    }
}

/* Write the buffered bytes of one direction, as far as the receiver accepts
 * them.  Returns false when the receiver has closed the connection. */
static bool
fault_proxy_flush(fault_proxy_pair *pair, enum fault_proxy_end from)
{
    fault_proxy_flow *flow = &pair->flows[from];
    int to = pair->sockets[from == FAULT_PROXY_CLIENT ? FAULT_PROXY_UPSTREAM
                                                      : FAULT_PROXY_CLIENT];
    while (flow->offset < flow->length) {
        ssize_t sent = send(to, flow->bytes + flow->offset,
                            flow->length - flow->offset, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN;
        }
        flow->offset += (size_t)sent;
    }
    free(flow->bytes);
    flow->bytes = NULL;
    return true;
}

/* Read from one end and forward to the other, according to the mode.  Returns
 * false when the connection must be closed. */
static bool
fault_proxy_relay(fault_proxy *p, fault_proxy_pair *pair,
                  enum fault_proxy_end from)
{
    char buffer[FAULT_PROXY_BUFFER_SIZE];
    fault_proxy_flow *flow = &pair->flows[from];
    bool reply = from == FAULT_PROXY_UPSTREAM;
    int mode = atomic_load(&p->mode);
    ssize_t length = recv(pair->sockets[from], buffer, sizeof(buffer), 0);
    if (length < 0 && errno == EAGAIN) {
        return true;
    }
    if (length <= 0 || mode == FAULT_PROXY_CLOSE) {
        return false;
    }
    if (mode == FAULT_PROXY_BLACKHOLE ||
        (reply && mode == FAULT_PROXY_BLACKHOLE_REPLY)) {
        flow->discarding = true;
    }
    if (flow->discarding) {
        return true;
    }
    if (reply && mode == FAULT_PROXY_CLOSE_ON_REPLY) {
        return false;
    }
    flow->bytes = malloc((size_t)length);
    memcpy(flow->bytes, buffer, (size_t)length);
    flow->offset = 0;
    flow->length = (size_t)length;
    if (reply && mode == FAULT_PROXY_DELAY_REPLY) {
        flow->due_us = clock_now_us() + FAULT_PROXY_REPLY_DELAY_US;
        return true;
    }
    return pair->connecting || fault_proxy_flush(pair, from);
}

/* Complete the non-blocking connect to the upstream and forward what the
 * client has sent meanwhile.  Returns false when the connect failed. */
static bool
fault_proxy_finish_connect(fault_proxy_pair *pair)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(pair->sockets[FAULT_PROXY_UPSTREAM], SOL_SOCKET, SO_ERROR,
               &error, &size);
    pair->connecting = false;
    return error == 0 && fault_proxy_flush(pair, FAULT_PROXY_CLIENT);
}

/* The poll events to wait for at one end. */
static short
fault_proxy_events(const fault_proxy_pair *pair, enum fault_proxy_end end)
{
    enum fault_proxy_end other =
        end == FAULT_PROXY_CLIENT ? FAULT_PROXY_UPSTREAM : FAULT_PROXY_CLIENT;
    const fault_proxy_flow *in = &pair->flows[end];
    const fault_proxy_flow *out = &pair->flows[other];
    if (end == FAULT_PROXY_UPSTREAM && pair->connecting) {
        return POLLOUT;
    }
    short events = in->bytes == NULL ? POLLIN : 0;
    if (out->bytes != NULL && out->due_us == 0) {
        events |= POLLOUT;
    }
    return events;
}

/* Handle the poll events of one end.  Returns false when the connection must
 * be closed. */
static bool
fault_proxy_handle_events(fault_proxy *p, fault_proxy_pair *pair,
                          enum fault_proxy_end end, short events)
{
    enum fault_proxy_end other =
        end == FAULT_PROXY_CLIENT ? FAULT_PROXY_UPSTREAM : FAULT_PROXY_CLIENT;
    if (events == 0) {
        return true;
    }
    if (end == FAULT_PROXY_UPSTREAM && pair->connecting) {
        return fault_proxy_finish_connect(pair);
    }
    if ((events & POLLOUT) != 0 && !fault_proxy_flush(pair, other)) {
        return false;
    }
    /* While bytes are buffered nothing is read, so a close of this end is
     * noticed only after they are forwarded. */
    return pair->flows[end].bytes != NULL || fault_proxy_relay(p, pair, end);
}

/* Forward a delayed reply once its delay is over.  Returns false when the
 * client has closed the connection. */
static bool
fault_proxy_flush_delayed(fault_proxy_pair *pair, int64_t now_us)
{
    fault_proxy_flow *flow = &pair->flows[FAULT_PROXY_UPSTREAM];
    if (flow->due_us == 0 || now_us < flow->due_us) {
        return true;
    }
    flow->due_us = 0;
    return fault_proxy_flush(pair, FAULT_PROXY_UPSTREAM);
}

/* Time until the next delayed reply is due, in ms; -1 when there is none. */
static int
fault_proxy_poll_timeout_ms(const fault_proxy *p, int64_t now_us)
{
    int64_t next_us = INT64_MAX;
    for (size_t i = 0; i < p->count; i++) {
        int64_t due_us = p->pairs[i]->flows[FAULT_PROXY_UPSTREAM].due_us;
        if (due_us != 0 && due_us < next_us) {
            next_us = due_us;
        }
    }
    if (next_us == INT64_MAX) {
        return -1;
    }
    return next_us <= now_us ? 0
                             : (int)((next_us - now_us) / CLOCK_US_PER_MS + 1);
}

/* Accept a connection and start connecting to the upstream; close it at once
 * in FAULT_PROXY_CLOSE mode or when the table of connections is full.  Aborts
 * when the process is out of descriptors, since the test would then measure
 * the proxy instead of the nodes. */
static void
fault_proxy_accept(fault_proxy *p)
{
    struct sockaddr_in address = fault_proxy_address(p->upstream_port);
    int client =
        accept4(p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0 && (errno == EMFILE || errno == ENFILE)) {
        perror("fault_proxy: accept");
        abort();
    }
    if (client < 0) {
        return;
    }
    int upstream =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    fault_proxy_pair *pair = calloc(1, sizeof(*pair));
    if (pair == NULL || upstream < 0 || p->count == FAULT_PROXY_PAIRS_MAX ||
        atomic_load(&p->mode) == FAULT_PROXY_CLOSE ||
        (connect(upstream, (struct sockaddr *)&address, sizeof(address)) !=
             0 &&
         errno != EINPROGRESS)) {
        close(client);
        if (upstream >= 0) {
            close(upstream);
        }
        free(pair);
        return;
    }
    pair->sockets[FAULT_PROXY_CLIENT] = client;
    pair->sockets[FAULT_PROXY_UPSTREAM] = upstream;
    pair->connecting = true;
    p->pairs[p->count++] = pair;
}

/* Apply the mode and the resets that the test has requested since the last
 * call. */
static void
fault_proxy_apply_commands(fault_proxy *p)
{
    uint64_t count = 0;
    if (read(p->wakeup_fd, &count, sizeof(count)) < 0 && errno != EAGAIN) {
        abort();
    }
    int resets = atomic_load(&p->resets);
    if (resets != atomic_load(&p->resets_done)) {
        fault_proxy_close_all(p, true);
        atomic_store(&p->resets_done, resets);
    }
    if (atomic_load(&p->mode) == FAULT_PROXY_CLOSE) {
        fault_proxy_close_all(p, false);
    }
}

/* Poll all descriptors once and handle their events. */
static void
fault_proxy_run_once(fault_proxy *p)
{
    p->fds[0] = (struct pollfd){p->wakeup_fd, POLLIN, 0};
    p->fds[1] = (struct pollfd){p->listener, POLLIN, 0};
    size_t polled = p->count;
    for (size_t i = 0; i < polled; i++) {
        for (int end = 0; end < FAULT_PROXY_ENDS; end++) {
            short events = fault_proxy_events(p->pairs[i], end);
            int socket = events != 0 ? p->pairs[i]->sockets[end] : -1;
            p->fds[2 + FAULT_PROXY_ENDS * i + (size_t)end] =
                (struct pollfd){socket, events, 0};
        }
    }
    poll(p->fds, 2 + FAULT_PROXY_ENDS * polled,
         fault_proxy_poll_timeout_ms(p, clock_now_us()));
    int64_t now_us = clock_now_us();
    for (size_t i = polled; i-- > 0;) {
        const struct pollfd *fds = &p->fds[2 + FAULT_PROXY_ENDS * i];
        fault_proxy_pair *pair = p->pairs[i];
        if (!fault_proxy_handle_events(p, pair, FAULT_PROXY_CLIENT,
                                       fds[FAULT_PROXY_CLIENT].revents) ||
            !fault_proxy_handle_events(p, pair, FAULT_PROXY_UPSTREAM,
                                       fds[FAULT_PROXY_UPSTREAM].revents) ||
            !fault_proxy_flush_delayed(pair, now_us)) {
            fault_proxy_close(p, i);
        }
    }
    if (p->fds[1].revents != 0) {
        fault_proxy_accept(p);
    }
    if (p->fds[0].revents != 0) {
        fault_proxy_apply_commands(p);
    }
}

static void *
fault_proxy_thread_main(void *payload)
{
    fault_proxy *p = payload;
    while (!atomic_load(&p->stopped)) {
        fault_proxy_run_once(p);
    }
    fault_proxy_close_all(p, false);
    return NULL;
}

/* Interrupt the poll() of the proxy's thread. */
static void
fault_proxy_wake(fault_proxy *p)
{
    uint64_t one = 1;
    if (write(p->wakeup_fd, &one, sizeof(one)) < 0) {
        abort();
    }
}

/* Start a proxy that forwards connections from one loopback port to another.
 * Aborts when the port can't be bound. */
fault_proxy *
fault_proxy_start(int listen_port, int upstream_port)
{
    fault_proxy *p = calloc(1, sizeof(*p));
    struct sockaddr_in address = fault_proxy_address(listen_port);
    int on = 1;
    p->upstream_port = upstream_port;
    p->wakeup_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    p->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(p->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (p->wakeup_fd < 0 ||
        bind(p->listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(p->listener, FAULT_PROXY_BACKLOG) != 0) {
        abort();
    }
    pthread_create(&p->thread, NULL, fault_proxy_thread_main, p);
    return p;
}

/* Change the mode, for open connections as well as for new ones. */
void
fault_proxy_set_mode(fault_proxy *p, enum fault_proxy_mode mode)
{
    atomic_store(&p->mode, mode);
    fault_proxy_wake(p);
}

/* Reset both ends of all connections that are open now, and return once that is
 * done; new ones are accepted. */
void
fault_proxy_reset_connections(fault_proxy *p)
{
    int reset = atomic_fetch_add(&p->resets, 1) + 1;
    fault_proxy_wake(p);
    while (atomic_load(&p->resets_done) < reset) {
        usleep(FAULT_PROXY_RESET_POLL_US);
    }
}

/* Stop the thread, close all connections and release the proxy; NULL is
 * ignored. */
void
fault_proxy_stop(fault_proxy *p)
{
    if (p == NULL) {
        return;
    }
    atomic_store(&p->stopped, true);
    fault_proxy_wake(p);
    pthread_join(p->thread, NULL);
    close(p->listener);
    close(p->wakeup_fd);
    free(p);
}
