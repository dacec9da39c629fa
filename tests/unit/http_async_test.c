/* The HTTP client of the store, of peers and of health checks against a server
 * whose responses are not valid HTTP/1.1. */
#include <criterion/criterion.h>
#include <stdbool.h>
#include <string.h>

#include "conn_pool.h"
#include "evloop.h"
#include "http_async.h"
#include "lav/clock.h"
#include "response_server.h"

#define REQUEST_TIMEOUT_US (5 * CLOCK_US_PER_S)

typedef struct received {
    struct ev_loop *loop;
    bool ended;
    enum http_async_result result;
    int status;
    bool same_body; /* as that of the valid responses */
} received;

static void
on_done(const http_async_response *response, void *payload)
{
    received *r = payload;
    r->ended = true;
    r->result = response->result;
    r->status = response->status;
    r->same_body = strcmp(response->body, BROKEN_RESPONSE_BODY) == 0;
    ev_break(r->loop, EVBREAK_ALL);
}

/* Sends a request to a server that answers with `response`. */
static received
request_once(const broken_response *response)
{
    response_server server;
    http_async_options opts = {
        .method = "GET", .path = "/", .timeout_us = REQUEST_TIMEOUT_US};
    evloop *l = NULL;
    conn_pool *pool = NULL;
    response_server_start(&server, response, NULL);
    cr_assert_eq(evloop_new(&l), 0);
    cr_assert_eq(conn_pool_new(&pool, l), 0);
    received r = {.loop = l->loop};
    cr_assert_eq(
        http_async_start(NULL, pool, l, &server.address, &opts, on_done, &r),
        0);
    while (!r.ended) {
        ev_run(l->loop, 0);
    }
    response_server_stop(&server);
    conn_pool_free(pool);
    evloop_free(l);
    return r;
}

static void
check_table(const broken_response_table *table, bool valid)
{
    for (size_t i = 0; i < table->count; i++) {
        const char *name = table->cases[i].name;
        received r = request_once(&table->cases[i]);
        cr_expect_eq(r.result,
                     valid ? HTTP_ASYNC_COMPLETE : HTTP_ASYNC_NO_RESPONSE,
                     "%s: result %d, status %d", name, r.result, r.status);
        cr_expect(!valid || (r.status == 200 && r.same_body), "%s: %d", name,
                  r.status);
    }
}

Test(http_async, only_valid_responses_are_complete)
{
    check_table(&valid_responses, true);
    for (size_t i = 0; i < BROKEN_RESPONSE_TABLE_COUNT; i++) {
        check_table(broken_response_tables[i], false);
    }
}
