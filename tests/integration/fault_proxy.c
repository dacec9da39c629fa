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

#define FAULT_PROXY_REPLY_DELAY_US 150000
#define FAULT_PROXY_BUFFER_SIZE 65536
#define FAULT_PROXY_PAIRS_MAX 2048
#define FAULT_PROXY_BACKLOG 256

/* Ends of a pair, and the way of the bytes that come from there. */
enum fault_proxy_end {
    FAULT_PROXY_CLIENT,   /* who connected */
    FAULT_PROXY_UPSTREAM, /* whom the proxy stands for */
    FAULT_PROXY_ENDS
};

/* Bytes that one end has sent and the other has not taken yet. */
typedef struct fault_proxy_flow {
    bool lost;      /* some were swallowed: nothing more passes */
    int64_t due_us; /* what is there is passed on then; 0: at once */
    char *bytes;    /* NULL: none are kept */
    size_t at;      /* of the first that is kept */
    size_t length;  /* up to the last one */
} fault_proxy_flow;

typedef struct fault_proxy_pair {
    int sockets[FAULT_PROXY_ENDS];
    bool connecting; /* to the far end */
    fault_proxy_flow flows[FAULT_PROXY_ENDS];
} fault_proxy_pair;

struct fault_proxy {
    int listener;
    int news; /* eventfd: mode, resets or stopped have changed */
    int to_port;
    atomic_int mode;
    atomic_bool stopped;
    atomic_int resets;
    int resets_done;
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

/* Let the close of a socket be a reset. */
static void
fault_proxy_linger(int socket)
{
    struct linger linger = {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

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

static void
fault_proxy_close_all(fault_proxy *p, bool reset)
{
    while (p->count > 0) {
        if (reset) {
            fault_proxy_linger(
                p->pairs[p->count - 1]->sockets[FAULT_PROXY_CLIENT]);
            fault_proxy_linger(
                p->pairs[p->count - 1]->sockets[FAULT_PROXY_UPSTREAM]);
        }
        fault_proxy_close(p, p->count - 1);
    }
}

/* Pass on what is kept; false where the other end is gone. */
static bool
fault_proxy_push(fault_proxy_pair *pair, enum fault_proxy_end from)
{
    fault_proxy_flow *flow = &pair->flows[from];
    int to = pair->sockets[from == FAULT_PROXY_CLIENT ? FAULT_PROXY_UPSTREAM
                                                      : FAULT_PROXY_CLIENT];
    while (flow->at < flow->length) {
        ssize_t sent = send(to, flow->bytes + flow->at,
                            flow->length - flow->at, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN;
        }
        flow->at += (size_t)sent;
    }
    free(flow->bytes);
    flow->bytes = NULL;
    return true;
}

/* Move what is there one way; false where the connection is over. */
static bool
fault_proxy_move(fault_proxy *p, fault_proxy_pair *pair,
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
        flow->lost = true;
    }
    if (flow->lost) {
        return true; /* swallowed */
    }
    if (reply && mode == FAULT_PROXY_CLOSE_ON_REPLY) {
        return false;
    }
    flow->bytes = malloc((size_t)length);
    memcpy(flow->bytes, buffer, (size_t)length);
    flow->at = 0;
    flow->length = (size_t)length;
    if (reply && mode == FAULT_PROXY_DELAY_REPLY) {
        flow->due_us = clock_now_us() + FAULT_PROXY_REPLY_DELAY_US;
        return true;
    }
    return pair->connecting || fault_proxy_push(pair, from);
}

/* The connection to the far end is there, or was refused. */
static bool
fault_proxy_connected(fault_proxy_pair *pair)
{
    int fault = 0;
    socklen_t size = sizeof(fault);
    getsockopt(pair->sockets[FAULT_PROXY_UPSTREAM], SOL_SOCKET, SO_ERROR,
               &fault, &size);
    pair->connecting = false;
    return fault == 0 && fault_proxy_push(pair, FAULT_PROXY_CLIENT);
}

/* Which events of an end matter now. */
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

/* What has happened at an end; false where the connection is over. */
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
        return fault_proxy_connected(pair);
    }
    if ((events & POLLOUT) != 0 && !fault_proxy_push(pair, other)) {
        return false;
    }
    /* An end that has closed is heard of once its bytes are passed on. */
    return pair->flows[end].bytes != NULL || fault_proxy_move(p, pair, end);
}

/* Pass on the replies that were held back long enough. */
static bool
fault_proxy_due(fault_proxy_pair *pair, int64_t now_us)
{
    fault_proxy_flow *flow = &pair->flows[FAULT_PROXY_UPSTREAM];
    if (flow->due_us == 0 || now_us < flow->due_us) {
        return true;
    }
    flow->due_us = 0;
    return fault_proxy_push(pair, FAULT_PROXY_UPSTREAM);
}

static int
fault_proxy_wait_ms(const fault_proxy *p, int64_t now_us)
{
    int64_t least_us = INT64_MAX;
    for (size_t i = 0; i < p->count; i++) {
        int64_t due_us = p->pairs[i]->flows[FAULT_PROXY_UPSTREAM].due_us;
        if (due_us != 0 && due_us < least_us) {
            least_us = due_us;
        }
    }
    if (least_us == INT64_MAX) {
        return -1;
    }
    return least_us <= now_us
               ? 0
               : (int)((least_us - now_us) / CLOCK_US_PER_MS + 1);
}

static void
fault_proxy_take(fault_proxy *p)
{
    struct sockaddr_in address = fault_proxy_address(p->to_port);
    int near = accept4(p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (near < 0 && (errno == EMFILE || errno == ENFILE)) {
        perror("a proxy can't accept");
        abort();
    }
    if (near < 0) {
        return;
    }
    int far = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    fault_proxy_pair *pair = calloc(1, sizeof(*pair));
    if (pair == NULL || far < 0 || p->count == FAULT_PROXY_PAIRS_MAX ||
        atomic_load(&p->mode) == FAULT_PROXY_CLOSE ||
        (connect(far, (struct sockaddr *)&address, sizeof(address)) != 0 &&
         errno != EINPROGRESS)) {
        close(near);
        if (far >= 0) {
            close(far);
        }
        free(pair);
        return;
    }
    pair->sockets[FAULT_PROXY_CLIENT] = near;
    pair->sockets[FAULT_PROXY_UPSTREAM] = far;
    pair->connecting = true;
    p->pairs[p->count++] = pair;
}

/* Follow what the test has asked for since the last turn. */
static void
fault_proxy_follow(fault_proxy *p)
{
    uint64_t changes = 0;
    if (read(p->news, &changes, sizeof(changes)) < 0 && errno != EAGAIN) {
        abort();
    }
    int resets = atomic_load(&p->resets);
    if (resets != p->resets_done) {
        p->resets_done = resets;
        fault_proxy_close_all(p, true);
    }
    if (atomic_load(&p->mode) == FAULT_PROXY_CLOSE) {
        fault_proxy_close_all(p, false);
    }
}

static void
fault_proxy_turn(fault_proxy *p)
{
    p->fds[0] = (struct pollfd){p->news, POLLIN, 0};
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
         fault_proxy_wait_ms(p, clock_now_us()));
    int64_t now_us = clock_now_us();
    for (size_t i = polled; i-- > 0;) {
        const struct pollfd *fds = &p->fds[2 + FAULT_PROXY_ENDS * i];
        fault_proxy_pair *pair = p->pairs[i];
        if (!fault_proxy_handle_events(p, pair, FAULT_PROXY_CLIENT,
                                       fds[FAULT_PROXY_CLIENT].revents) ||
            !fault_proxy_handle_events(p, pair, FAULT_PROXY_UPSTREAM,
                                       fds[FAULT_PROXY_UPSTREAM].revents) ||
            !fault_proxy_due(pair, now_us)) {
            fault_proxy_close(p, i);
        }
    }
    if (p->fds[1].revents != 0) {
        fault_proxy_take(p);
    }
    if (p->fds[0].revents != 0) {
        fault_proxy_follow(p);
    }
}

static void *
fault_proxy_main(void *payload)
{
    fault_proxy *p = payload;
    while (!atomic_load(&p->stopped)) {
        fault_proxy_turn(p);
    }
    fault_proxy_close_all(p, false);
    return NULL;
}

static void
fault_proxy_wake(fault_proxy *p)
{
    uint64_t one = 1;
    if (write(p->news, &one, sizeof(one)) < 0) {
        abort();
    }
}

/* Stand at a loopback port for another one. */
fault_proxy *
fault_proxy_start(int listen_port, int to_port)
{
    fault_proxy *p = calloc(1, sizeof(*p));
    struct sockaddr_in address = fault_proxy_address(listen_port);
    int on = 1;
    p->to_port = to_port;
    p->news = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    p->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(p->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (p->news < 0 ||
        bind(p->listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(p->listener, FAULT_PROXY_BACKLOG) != 0) {
        abort();
    }
    pthread_create(&p->thread, NULL, fault_proxy_main, p);
    return p;
}

/* Change what it does, for open connections as well. */
void
fault_proxy_set_mode(fault_proxy *p, enum fault_proxy_mode mode)
{
    atomic_store(&p->mode, mode);
    fault_proxy_wake(p);
}

/* Reset the connections that are open now, both sides of each. */
void
fault_proxy_reset_connections(fault_proxy *p)
{
    atomic_fetch_add(&p->resets, 1);
    fault_proxy_wake(p);
}

/* Close everything; takes NULL. */
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
    close(p->news);
    free(p);
}
