#include "prx.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clk.h"

#define PRX_STEP_MS 10
#define PRX_SLOW_US 150000
#define PRX_BUFFER_SIZE 65536

struct prx {
    int listener;
    int to_port;
    atomic_int mode;
    atomic_bool stopped;
    atomic_int connections;
    atomic_int resets;
    pthread_t thread;
};

typedef struct prx_pair {
    prx *owner;
    int near;     /* who connected */
    int far;      /* whom the proxy stands for */
    int resets;   /* of the proxy, when it was made */
    bool lost[2]; /* bytes that way, or replies: nothing more can pass */
} prx_pair;

static struct sockaddr_in
prx_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static bool
prx_send_all(int socket, const char *bytes, ssize_t length)
{
    while (length > 0) {
        ssize_t sent = send(socket, bytes, (size_t)length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= sent;
    }
    return true;
}

/* Move what is there one way; false where the connection is over. */
static bool
prx_move(prx_pair *pair, bool reply)
{
    prx *p = pair->owner;
    int from = reply ? pair->far : pair->near;
    int to = reply ? pair->near : pair->far;
    char buffer[PRX_BUFFER_SIZE];
    ssize_t length = recv(from, buffer, sizeof(buffer), 0);
    int mode = atomic_load(&p->mode);
    if (length <= 0 || mode == PRX_CUT) {
        return false;
    }
    if (mode == PRX_HOLD || (reply && mode == PRX_HOLD_REPLY)) {
        pair->lost[reply] = true;
    }
    if (pair->lost[reply]) {
        return true; /* swallowed */
    }
    if (reply && mode == PRX_CUT_REPLY) {
        return false;
    }
    if (reply && mode == PRX_SLOW) {
        clk_sleep_us(PRX_SLOW_US);
    }
    return prx_send_all(to, buffer, length);
}

/* Let the close of a socket be a reset. */
static void
prx_linger(int socket)
{
    struct linger linger = {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void *
prx_serve(void *payload)
{
    prx_pair *pair = payload;
    prx *p = pair->owner;
    bool open = true;
    while (open && !atomic_load(&p->stopped) &&
           atomic_load(&p->mode) != PRX_CUT) {
        if (pair->resets != atomic_load(&p->resets)) {
            prx_linger(pair->near);
            prx_linger(pair->far);
            break;
        }
        struct pollfd fds[2] = {{pair->near, POLLIN, 0},
                                {pair->far, POLLIN, 0}};
        if (poll(fds, 2, PRX_STEP_MS) <= 0) {
            continue;
        }
        if (fds[0].revents != 0) {
            open = prx_move(pair, false);
        }
        if (open && fds[1].revents != 0) {
            open = prx_move(pair, true);
        }
    }
    close(pair->near);
    close(pair->far);
    free(pair);
    atomic_fetch_sub(&p->connections, 1);
    return NULL;
}

static void
prx_take(prx *p, int near)
{
    struct sockaddr_in address = prx_address(p->to_port);
    int far = socket(AF_INET, SOCK_STREAM, 0);
    prx_pair *pair = malloc(sizeof(*pair));
    pthread_t thread;
    if (pair == NULL || atomic_load(&p->mode) == PRX_CUT ||
        connect(far, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(near);
        close(far);
        free(pair);
        return;
    }
    *pair = (prx_pair){p, near, far, atomic_load(&p->resets), {false, false}};
    atomic_fetch_add(&p->connections, 1);
    if (pthread_create(&thread, NULL, prx_serve, pair) == 0) {
        pthread_detach(thread);
    }
}

static void *
prx_main(void *payload)
{
    prx *p = payload;
    while (!atomic_load(&p->stopped)) {
        struct pollfd fd = {p->listener, POLLIN, 0};
        if (poll(&fd, 1, PRX_STEP_MS) > 0) {
            int near = accept(p->listener, NULL, NULL);
            if (near >= 0) {
                prx_take(p, near);
            }
        }
    }
    return NULL;
}

/* Stand at a loopback port for another one. */
prx *
prx_start(int listen_port, int to_port)
{
    prx *p = calloc(1, sizeof(*p));
    struct sockaddr_in address = prx_address(listen_port);
    int on = 1;
    p->to_port = to_port;
    p->listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(p->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(p->listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(p->listener, 64) != 0) {
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
}

/* Reset the connections that are open now, both sides of each. */
void
prx_reset(prx *p)
{
    atomic_fetch_add(&p->resets, 1);
}

/* Close everything; takes NULL. */
void
prx_stop(prx *p)
{
    if (p == NULL) {
        return;
    }
    atomic_store(&p->stopped, true);
    pthread_join(p->thread, NULL);
    close(p->listener);
    while (atomic_load(&p->connections) > 0) {
        clk_sleep_us(PRX_STEP_MS * CLK_US_PER_MS);
    }
    free(p);
}
