/* nng resends requests by itself in its default settings, and http_sync where
 * the caller allows it; these tests guard the settings that prevent it. */
#include <criterion/criterion.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <unistd.h>

#include "lav/http_sync.h"
#include "proc.h"
#include "tcp_server.h"

/* REP server that reads each request and closes its connection without a
 * reply. */
static void *
drop_requests(void *payload)
{
    nng_socket *server = payload;
    for (;;) {
        nng_msg *raw = NULL;
        if (nng_recvmsg(*server, &raw, 0) != 0) {
            return NULL;
        }
        tcp_server_request_count++;
        nng_pipe pipe = nng_msg_get_pipe(raw);
        nng_msg_free(raw);
        nng_pipe_close(pipe);
    }
}

typedef struct resend_case {
    nng_duration resend_ms;
    bool once;
} resend_case;

/* nng resends a request when its connection drops, unless the resend time is
 * infinite; then the caller sees a lost connection. */
static const resend_case resend_cases[] = {
    {100, false},
    {NNG_DURATION_INFINITE, true},
};

Test(traps, nng_resends_unless_disabled)
{
    for (size_t i = 0; i < 2; i++) {
        char url[64];
        nng_socket server;
        nng_socket client;
        pthread_t thread;
        char *response = NULL;
        size_t length = 0;
        tcp_server_request_count = 0;
        snprintf(url, sizeof(url), "tcp://127.0.0.1:%d", proc_reserve_port());
        cr_assert_eq(nng_rep0_open(&server), 0);
        cr_assert_eq(nng_listen(server, url, NULL, 0), 0);
        pthread_create(&thread, NULL, drop_requests, &server);
        cr_assert_eq(nng_req0_open(&client), 0);
        nng_socket_set_ms(client, NNG_OPT_REQ_RESENDTIME,
                          resend_cases[i].resend_ms);
        nng_socket_set_ms(client, NNG_OPT_RECVTIMEO, 3000);
        cr_assert_eq(nng_dial(client, url, NULL, 0), 0);
        cr_assert_eq(nng_send(client, "pay", 4, 0), 0);
        cr_expect_neq(nng_recv(client, &response, &length, NNG_FLAG_ALLOC), 0);
        if (resend_cases[i].once) {
            cr_expect_eq(tcp_server_request_count, 1);
        }
        else {
            cr_expect_gt(tcp_server_request_count, 1);
        }
        nng_close(client);
        nng_close(server);
        pthread_join(thread, NULL);
    }
}

typedef struct persistent_case {
    bool may_resend;
    int expected; /* requests that the server read in the second exchange */
} persistent_case;

/* http_sync resends a request when the persistent connection closes after
 * sending, unless the request forbids it; then it uses a new connection for
 * it. */
static const persistent_case persistent_cases[] = {
    {true, 2},
    {false, 1},
};

Test(traps, a_kept_connection_resends_unless_disabled)
{
    for (size_t i = 0; i < 2; i++) {
        char url[64];
        http_sync_client *client = NULL;
        http_sync_response response;
        int port = proc_reserve_port();
        /* The first request gets a response; each later one is read and its
         * connection closed, up to the second or third in all. */
        tcp_server_start(port, persistent_cases[i].may_resend ? 2 : 3);
        http_sync_request request = {.method = "POST",
                                     .path = "/pay",
                                     .body = "x",
                                     .length = 1,
                                     .may_resend = true,
                                     .timeout_s = 2,
                                     .response_body_bytes_max = 100};
        snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
        cr_assert_eq(http_sync_new(&client, url, NULL), 0);
        cr_assert_eq(http_sync_perform(&response, client, &request, NULL), 0);
        http_sync_response_clear(&response);
        tcp_server_request_count = 0;
        request.may_resend = persistent_cases[i].may_resend;
        int result = http_sync_perform(&response, client, &request, NULL);
        cr_expect_eq(tcp_server_request_count, persistent_cases[i].expected,
                     "case %zu: %d", i, tcp_server_request_count);
        if (persistent_cases[i].may_resend) {
            cr_expect_eq(result, 0);
            cr_expect(response.resent, "the resend is reported");
        }
        else {
            cr_expect_eq(result, ERR_UNKNOWN);
        }
        http_sync_response_clear(&response);
        http_sync_free(client);
        tcp_server_stop();
    }
}

Test(traps, a_truncated_response_is_unknown_and_a_closed_port_is_not_sent)
{
    char url[64];
    http_sync_client *client = NULL;
    http_sync_response response;
    int port = proc_reserve_port();
    http_sync_request request = {.method = "GET",
                                 .path = "/cut",
                                 .timeout_s = 1,
                                 .response_body_bytes_max = 100};
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
    cr_assert_eq(http_sync_new(&client, url, NULL), 0);
    cr_expect_eq(http_sync_perform(&response, client, &request, NULL),
                 ERR_UNAVAILABLE);
    http_sync_response_clear(&response);
    tcp_server_start(port, 1);
    cr_expect_eq(http_sync_perform(&response, client, &request, NULL),
                 ERR_UNKNOWN);
    http_sync_response_clear(&response);
    tcp_server_stop();
    http_sync_free(client);
}
