#include "prx.h"

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

#define PRX_SLOW_US 150000
#define PRX_BUFFER_SIZE 65536
#define PRX_PAIRS_MAX 2048
#define PRX_BACKLOG 256

/* Ends of a pair, and the way of the bytes that come from there. */
enum prx_end {
    PRX_NEAR, /* who connected */
    PRX_FAR,  /* whom the proxy stands for */
    PRX_ENDS
};

/* Bytes that one end has sent and the other has not taken yet. */
typedef struct prx_flow {
    bool lost;      /* some were swallowed: nothing more passes */
    int64_t due_us; /* what is there is passed on then; 0: at once */
    char *bytes;    /* NULL: none are kept */
    size_t at;      /* of the first that is kept */
    size_t length;  /* up to the last one */
} prx_flow;

typedef struct prx_pair {
    int sockets[PRX_ENDS];
    bool connecting; /* to the far end */
    prx_flow flows[PRX_ENDS];
} prx_pair;

struct prx {
    int listener;
    int news; /* eventfd: mode, resets or stopped have changed */
    int to_port;
    atomic_int mode;
    atomic_bool stopped;
    atomic_int resets;
    int resets_done;
    pthread_t thread;
    size_t count;
    prx_pair *pairs[PRX_PAIRS_MAX];
    struct pollfd fds[2 + PRX_PAIRS_MAX * PRX_ENDS];
};

static struct sockaddr_in
prx_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/* Let the close of a socket be a reset. */
static void
prx_linger(int socket)
{
    struct linger linger = {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
prx_close(prx *p, size_t index)
{
    prx_pair *pair = p->pairs[index];
    for (int end = 0; end < PRX_ENDS; end++) {
        close(pair->sockets[end]);
        free(pair->flows[end].bytes);
    }
    free(pair);
    p->pairs[index] = p->pairs[--p->count];
}

static void
prx_close_all(prx *p, bool reset)
{
    while (p->count > 0) {
        if (reset) {
            prx_linger(p->pairs[p->count - 1]->sockets[PRX_NEAR]);
            prx_linger(p->pairs[p->count - 1]->sockets[PRX_FAR]);
        }
        prx_close(p, p->count - 1);
    }
}

/* Pass on what is kept; false where the other end is gone. */
static bool
prx_push(prx_pair *pair, enum prx_end from)
{
    prx_flow *flow = &pair->flows[from];
    int to = pair->sockets[from == PRX_NEAR ? PRX_FAR : PRX_NEAR];
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
prx_move(prx *p, prx_pair *pair, enum prx_end from)
{
    char buffer[PRX_BUFFER_SIZE];
    prx_flow *flow = &pair->flows[from];
    bool reply = from == PRX_FAR;
    int mode = atomic_load(&p->mode);
    ssize_t length = recv(pair->sockets[from], buffer, sizeof(buffer), 0);
    if (length < 0 && errno == EAGAIN) {
        return true;
    }
    if (length <= 0 || mode == PRX_CUT) {
        return false;
    }
    if (mode == PRX_HOLD || (reply && mode == PRX_HOLD_REPLY)) {
        flow->lost = true;
    }
    if (flow->lost) {
        return true; /* swallowed */
    }
    if (reply && mode == PRX_CUT_REPLY) {
        return false;
    }
    flow->bytes = malloc((size_t)length);
    memcpy(flow->bytes, buffer, (size_t)length);
    flow->at = 0;
    flow->length = (size_t)length;
    if (reply && mode == PRX_SLOW) {
        flow->due_us = clock_now_us() + PRX_SLOW_US;
        return true;
    }
    return pair->connecting || prx_push(pair, from);
}

/* The connection to the far end is there, or was refused. */
static bool
prx_connected(prx_pair *pair)
{
    int fault = 0;
    socklen_t size = sizeof(fault);
    getsockopt(pair->sockets[PRX_FAR], SOL_SOCKET, SO_ERROR, &fault, &size);
    pair->connecting = false;
    return fault == 0 && prx_push(pair, PRX_NEAR);
}

/* Which events of an end matter now. */
static short
prx_events(const prx_pair *pair, enum prx_end end)
{
    enum prx_end other = end == PRX_NEAR ? PRX_FAR : PRX_NEAR;
    const prx_flow *in = &pair->flows[end];
    const prx_flow *out = &pair->flows[other];
    if (end == PRX_FAR && pair->connecting) {
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
prx_happened(prx *p, prx_pair *pair, enum prx_end end, short events)
{
    enum prx_end other = end == PRX_NEAR ? PRX_FAR : PRX_NEAR;
    if (events == 0) {
        return true;
    }
    if (end == PRX_FAR && pair->connecting) {
        return prx_connected(pair);
    }
    if ((events & POLLOUT) != 0 && !prx_push(pair, other)) {
        return false;
    }
    /* An end that has closed is heard of once its bytes are passed on. */
    return pair->flows[end].bytes != NULL || prx_move(p, pair, end);
}

/* Pass on the replies that were held back long enough. */
static bool
prx_due(prx_pair *pair, int64_t now_us)
{
    prx_flow *flow = &pair->flows[PRX_FAR];
    if (flow->due_us == 0 || now_us < flow->due_us) {
        return true;
    }
    flow->due_us = 0;
    return prx_push(pair, PRX_FAR);
}

static int
prx_wait_ms(const prx *p, int64_t now_us)
{
    int64_t least_us = INT64_MAX;
    for (size_t i = 0; i < p->count; i++) {
        int64_t due_us = p->pairs[i]->flows[PRX_FAR].due_us;
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
prx_take(prx *p)
{
    struct sockaddr_in address = prx_address(p->to_port);
    int near = accept4(p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (near < 0 && (errno == EMFILE || errno == ENFILE)) {
        perror("a proxy can't accept");
        abort();
    }
    if (near < 0) {
        return;
    }
    int far = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    prx_pair *pair = calloc(1, sizeof(*pair));
    if (pair == NULL || far < 0 || p->count == PRX_PAIRS_MAX ||
        atomic_load(&p->mode) == PRX_CUT ||
        (connect(far, (struct sockaddr *)&address, sizeof(address)) != 0 &&
         errno != EINPROGRESS)) {
        close(near);
        if (far >= 0) {
            close(far);
        }
        free(pair);
        return;
    }
    pair->sockets[PRX_NEAR] = near;
    pair->sockets[PRX_FAR] = far;
    pair->connecting = true;
    p->pairs[p->count++] = pair;
}

/* Follow what the test has asked for since the last turn. */
static void
prx_follow(prx *p)
{
    uint64_t changes = 0;
    if (read(p->news, &changes, sizeof(changes)) < 0 && errno != EAGAIN) {
        abort();
    }
    int resets = atomic_load(&p->resets);
    if (resets != p->resets_done) {
        p->resets_done = resets;
        prx_close_all(p, true);
    }
    if (atomic_load(&p->mode) == PRX_CUT) {
        prx_close_all(p, false);
    }
}

static void
prx_turn(prx *p)
{
    p->fds[0] = (struct pollfd){p->news, POLLIN, 0};
    p->fds[1] = (struct pollfd){p->listener, POLLIN, 0};
    size_t polled = p->count;
    for (size_t i = 0; i < polled; i++) {
        for (int end = 0; end < PRX_ENDS; end++) {
            short events = prx_events(p->pairs[i], end);
            int socket = events != 0 ? p->pairs[i]->sockets[end] : -1;
            p->fds[2 + PRX_ENDS * i + (size_t)end] =
                (struct pollfd){socket, events, 0};
        }
    }
    poll(p->fds, 2 + PRX_ENDS * polled, prx_wait_ms(p, clock_now_us()));
    int64_t now_us = clock_now_us();
    for (size_t i = polled; i-- > 0;) {
        const struct pollfd *fds = &p->fds[2 + PRX_ENDS * i];
        prx_pair *pair = p->pairs[i];
        if (!prx_happened(p, pair, PRX_NEAR, fds[PRX_NEAR].revents) ||
            !prx_happened(p, pair, PRX_FAR, fds[PRX_FAR].revents) ||
            !prx_due(pair, now_us)) {
            prx_close(p, i);
        }
    }
    if (p->fds[1].revents != 0) {
        prx_take(p);
    }
    if (p->fds[0].revents != 0) {
        prx_follow(p);
    }
}

static void *
prx_main(void *payload)
{
    prx *p = payload;
    while (!atomic_load(&p->stopped)) {
        prx_turn(p);
    }
    prx_close_all(p, false);
    return NULL;
}

static void
prx_tell(prx *p)
{
    uint64_t one = 1;
    if (write(p->news, &one, sizeof(one)) < 0) {
        abort();
    }
}

/* Stand at a loopback port for another one. */
prx *
prx_start(int listen_port, int to_port)
{
    prx *p = calloc(1, sizeof(*p));
    struct sockaddr_in address = prx_address(listen_port);
    int on = 1;
    p->to_port = to_port;
    p->news = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    p->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(p->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (p->news < 0 ||
        bind(p->listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(p->listener, PRX_BACKLOG) != 0) {
        abort();
    }
    pthread_create(&p->thread, NULL, prx_main, p);
    return p;
}

/* Change what it does, for open connections as well. */
void
prx_set(prx *p, enum prx_mode mode)
{
    atomic_store(&p->mode, mode);
    prx_tell(p);
}

/* Reset the connections that are open now, both sides of each. */
void
prx_reset(prx *p)
{
    atomic_fetch_add(&p->resets, 1);
    prx_tell(p);
}

/* Close everything; takes NULL. */
void
prx_stop(prx *p)
{
    if (p == NULL) {
        return;
    }
    atomic_store(&p->stopped, true);
    prx_tell(p);
    pthread_join(p->thread, NULL);
    close(p->listener);
    close(p->news);
    free(p);
}
