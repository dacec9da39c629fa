/* Connections to servers that read a request slowly, and to servers that
 * acknowledge nothing any more, as the client of the store meets them. */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <linux/filter.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_pool.h"
#include "evloop.h"
#include "http_async.h"
#include "http_conn_silence.h"
#include "lav/clock.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define MS(ms) ((ms)*CLOCK_US_PER_MS)

#define BODY_SIZE 1048576 /* more than a socket that isn't read takes */
#define FIRST_SIZE 16384  /* read before a pause */
#define FOR_EVER_MS 20000
#define LONG_TIMEOUT_MS 20000
#define SHORT_TIMEOUT_MS 4000
#define POLL_MS 10

typedef struct server_case {
    const char *name;
    int timeout_ms; /* of the request */
    int pause_ms;
    bool dies; /* after the pause */
    bool complete;
    int earliest_ms; /* of a result that isn't complete */
    int latest_ms;
} server_case;

static const server_case server_cases[] = {
    {"2.5 s", LONG_TIMEOUT_MS, 2500, false, true, 0, 0},
    {"6 s", LONG_TIMEOUT_MS, 6000, false, true, 0, 0},
    {"for ever", SHORT_TIMEOUT_MS, FOR_EVER_MS, false, false,
     SHORT_TIMEOUT_MS - 100, LONG_TIMEOUT_MS},
    {"dies soon", LONG_TIMEOUT_MS, 300, true, false, 0, LONG_TIMEOUT_MS / 2},
    {"dies after 3 s", LONG_TIMEOUT_MS, 3000, true, false, 2500,
     LONG_TIMEOUT_MS / 2},
};

typedef struct server {
    const server_case *c;
    int listener;
    volatile bool stopped;
    pthread_t thread;
    struct sockaddr_in address;
} server;

static void
wait_stopped(const server *s, int ms)
{
    for (int waited = 0; waited < ms && !s->stopped; waited += POLL_MS) {
        usleep(MS(POLL_MS));
    }
}

static size_t
read_bytes(int fd, size_t length)
{
    char bytes[4096];
    size_t left = length;
    while (left > 0) {
        ssize_t got =
            recv(fd, bytes, left < sizeof(bytes) ? left : sizeof(bytes), 0);
        if (got <= 0) {
            break;
        }
        left -= (size_t)got;
    }
    return length - left;
}

/* Serves one connection, then ends; a request has at least BODY_SIZE bytes,
 * head and body. */
static void *
server_main(void *payload)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop_all};
    server *s = payload;
    int fd = accept(s->listener, NULL, NULL);
    read_bytes(fd, FIRST_SIZE);
    wait_stopped(s, s->c->pause_ms);
    if (s->c->dies) {
        setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof(program));
        wait_stopped(s, FOR_EVER_MS);
    }
    else if (read_bytes(fd, BODY_SIZE - FIRST_SIZE) ==
             BODY_SIZE - FIRST_SIZE) {
        send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL);
    }
    close(fd);
    return NULL;
}

static void
server_start(server *s, const server_case *c)
{
    socklen_t size = sizeof(s->address);
    *s = (server){.c = c, .address = {.sin_family = AF_INET}};
    s->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    cr_assert_eq(bind(s->listener, (const struct sockaddr *)&s->address, size),
                 0);
    cr_assert_eq(listen(s->listener, 1), 0);
    cr_assert_eq(
        getsockname(s->listener, (struct sockaddr *)&s->address, &size), 0);
    pthread_create(&s->thread, NULL, server_main, s);
}

static void
server_stop(server *s)
{
    s->stopped = true;
    pthread_join(s->thread, NULL);
    close(s->listener);
}

typedef struct received {
    struct ev_loop *loop;
    bool ended;
    enum http_async_result result;
} received;

static void
on_done(const http_async_response *response, void *payload)
{
    received *r = payload;
    r->ended = true;
    r->result = response->result;
    ev_break(r->loop, EVBREAK_ALL);
}

static void
play(const server_case *c)
{
    static char body[BODY_SIZE];
    http_async_options opts = {.method = "PUT",
                               .path = "/",
                               .body = body,
                               .length = sizeof(body),
                               .timeout_us = MS(c->timeout_ms)};
    server s;
    evloop *l = NULL;
    conn_pool *pool = NULL;
    server_start(&s, c);
    cr_assert_eq(evloop_new(&l), 0);
    cr_assert_eq(conn_pool_new(&pool, l), 0);
    received r = {.loop = l->loop};
    int64_t start_us = clock_now_us();
    cr_assert_eq(
        http_async_start(NULL, pool, l, &s.address, &opts, on_done, &r), 0);
    while (!r.ended) {
        ev_run(l->loop, 0);
    }
    int64_t took_ms = (clock_now_us() - start_us) / CLOCK_US_PER_MS;
    cr_expect_eq(
        r.result, c->complete ? HTTP_ASYNC_COMPLETE : HTTP_ASYNC_NO_RESPONSE,
        "%s: result %d after %ld ms", c->name, r.result, (long)took_ms);
    cr_expect(c->complete ||
                  (took_ms >= c->earliest_ms && took_ms < c->latest_ms),
              "%s: after %ld ms", c->name, (long)took_ms);
    cr_expect_null(conn_pool_take(pool, &s.address, MS(LONG_TIMEOUT_MS)),
                   "%s: kept", c->name);
    server_stop(&s);
    conn_pool_free(pool);
    evloop_free(l);
}

Test(http_conn_silence, servers_that_read_slowly, .timeout = 60)
{
    for (size_t i = 0; i < COUNT(server_cases); i++) {
        play(&server_cases[i]);
    }
}

/* A sequence of checks of a connection that is watched since 10 s, with output
 * pending since then. */
typedef struct check {
    int at_ms;
    bool owes_answer;
    int heard_at_ms;
} check;

typedef struct check_case {
    const char *name;
    bool asked_often;
    check checks[5];
    int dead_at; /* index of the check; -1: none */
} check_case;

#define WATCHED_MS 10000

static const check_case check_cases[] = {
    {"answers each probe",
     true,
     {{10200, false, 10000},
      {11200, true, 10600},
      {11400, false, 11300},
      {13000, false, 11300},
      {15000, false, 11300}},
     -1},
    {"silent",
     true,
     {{10200, true, 9900},
      {10600, true, 9900},
      {11400, true, 9900},
      {11600, true, 9900},
      {11800, true, 9900}},
     3},
    {"a probe that was just sent",
     true,
     {{10200, false, 10000},
      {13000, true, 10000},
      {13200, true, 10000},
      {13400, true, 10000},
      {13600, false, 13500}},
     3},
    {"always asked, and answers",
     true,
     {{10200, true, 10100},
      {11600, true, 11000},
      {13000, true, 12500},
      {14000, true, 13800},
      {15400, true, 14500}},
     -1},
    {"asked again just now",
     true,
     {{10200, true, 10100},
      {12000, true, 10300},
      {12200, true, 12100},
      {12800, false, 12700},
      {13000, false, 12900}},
     -1},
    {"output of an idle connection",
     true,
     {{10200, true, 1000},
      {10600, true, 1000},
      {11000, true, 1000},
      {11400, true, 1000},
      {11600, true, 1000}},
     4},
    {"asked rarely, answers late",
     false,
     {{10200, true, 10100},
      {15000, true, 12000},
      {15400, true, 12000},
      {15600, false, 15500},
      {16000, false, 15500}},
     -1},
    {"asked rarely, silent",
     false,
     {{12200, true, 12000},
      {13000, true, 12000},
      {15000, true, 12000},
      {15400, true, 12000},
      {15600, true, 12000}},
     4},
};

Test(http_conn_silence, dead_peers)
{
    for (size_t i = 0; i < COUNT(check_cases); i++) {
        const check_case *c = &check_cases[i];
        http_conn_silence s = {.pending_us = MS(WATCHED_MS),
                               .watched_us = MS(WATCHED_MS),
                               .asked_often = c->asked_often};
        int dead_at = -1;
        for (int k = 0; k < (int)COUNT(c->checks) && dead_at < 0; k++) {
            const check *at = &c->checks[k];
            http_conn_silence_state state = {at->owes_answer,
                                             MS(at->at_ms - at->heard_at_ms)};
            if (http_conn_silence_is_dead(&s, &state, MS(at->at_ms))) {
                dead_at = k;
            }
        }
        cr_expect_eq(dead_at, c->dead_at, "%s: at check %d", c->name, dead_at);
    }
}
