#include "http_async.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "lav/err.h"

/* 5 s; idle connections are probed every second, so a dead one is found well
 * before. */
#define HTTP_ASYNC_REUSE_IDLE_MAX_US 5000000LL
#define HTTP_ASYNC_HOST_SIZE 32 /* bytes, including the NUL */

struct http_async_call {
    evloop *l;
    conn_pool *pool;
    http_conn *connection;
    http_async_response response;
    const char *fields[HTTP_ASYNC_RESPONSE_FIELDS_MAX];
    bool kept; /* the connection had been kept */
    size_t body_bytes_max;
    GByteArray *body;
    http_async_done_cb done;
    void *payload;
};

/* Free a call, but not its connection. */
static void
http_async_free(http_async_call *call)
{
    g_byte_array_free(call->body, TRUE);
    free(call);
}

/* Report the result to the caller and free the call. */
static void
http_async_finish(http_async_call *call, enum http_async_result result)
{
    g_byte_array_append(call->body, (const guint8 *)"", 1);
    call->response.result = result;
    call->response.body = (const char *)call->body->data;
    call->response.length = call->body->len - 1;
    call->done(&call->response, call->payload);
    http_async_free(call);
}

/* Keep the status and the requested fields of the response. */
static enum http_conn_head_result
http_async_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)c;
    http_async_call *call = payload;
    call->response.status = head->status;
    for (int i = 0; i < HTTP_ASYNC_RESPONSE_FIELDS_MAX; i++) {
        if (call->fields[i] != NULL) {
            http_str_copy(call->response.values[i],
                          HTTP_ASYNC_FIELD_VALUE_SIZE,
                          http_head_get_field(head, call->fields[i]));
        }
    }
    return HTTP_CONN_ACCEPT;
}

/* Collect the body; one over the limit ends the call. */
static void
http_async_on_body(http_conn *c, const char *bytes, size_t length,
                   void *payload)
{
    http_async_call *call = payload;
    if (call->body->len + length > call->body_bytes_max) {
        http_conn_close(c);
        http_async_finish(call, HTTP_ASYNC_TOO_LARGE);
        return;
    }
    g_byte_array_append(call->body, (const guint8 *)bytes, (guint)length);
}

/* The response is complete: give the connection to the pool. */
static void
http_async_on_message(http_conn *c, void *payload)
{
    http_async_call *call = payload;
    conn_pool_put(call->pool, c, CONN_POOL_IDLE_TIMEOUT_US);
    http_async_finish(call, HTTP_ASYNC_COMPLETE);
}

/* Nothing to do: a request is queued as a whole. */
static void
http_async_on_drain(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

/* The connection failed before the response was complete. */
static void
http_async_on_close(http_conn *c, enum http_conn_close_reason reason,
                    void *payload)
{
    http_async_call *call = payload;
    bool sent = http_conn_is_connected(c);
    call->response.dropped =
        call->kept && call->response.status == 0 &&
        !http_conn_is_mid_message(c) &&
        (reason == HTTP_CONN_EOF || reason == HTTP_CONN_RESET);
    http_async_finish(call,
                      sent ? HTTP_ASYNC_NO_RESPONSE : HTTP_ASYNC_NOT_SENT);
}

static const http_conn_handlers http_async_handlers = {
    http_async_on_head, http_async_on_body, http_async_on_message,
    http_async_on_drain, http_async_on_close};

/* Queue the request on a connection. */
static void
http_async_write_request(http_conn *c, const http_async_options *opts)
{
    char host[HTTP_ASYNC_HOST_SIZE];
    http_listener_format_address(host, sizeof(host), http_conn_peer(c));
    bytebuf *out = http_conn_output(c);
    bytebuf_append_text(out, opts->method);
    bytebuf_append_text(out, " ");
    bytebuf_append_text(out, opts->path);
    bytebuf_appendf(out, " HTTP/1.1\r\nHost: %s\r\n", host);
    if (opts->body != NULL) {
        bytebuf_appendf(out, "Content-Length: %zu\r\n", opts->length);
    }
    if (opts->header_lines != NULL) {
        bytebuf_append_text(out, opts->header_lines);
    }
    else if (opts->body != NULL) {
        bytebuf_append_text(out, "Content-Type: application/json\r\n");
    }
    bytebuf_append_text(out, "\r\n");
    if (opts->body != NULL) {
        bytebuf_append(out, opts->body, opts->length);
    }
    http_conn_expect_response(c, strcmp(opts->method, "HEAD") == 0);
}

/* Start a request; `done` is called exactly once, never from within this
 * function.  `out` may be NULL.  On an error (ERR_NO_MEMORY, ERR_IO or
 * ERR_UNAVAILABLE) nothing was sent and `done` is not called. */
int
http_async_start(http_async_call **out, conn_pool *pool, evloop *l,
                 const struct sockaddr_in *to, const http_async_options *opts,
                 http_async_done_cb done, void *payload)
{
    http_async_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return ERR_NO_MEMORY;
    }
    *call = (http_async_call){.l = l,
                              .pool = pool,
                              .done = done,
                              .payload = payload,
                              .body_bytes_max = HTTP_ASYNC_BODY_BYTES_MAX};
    if (opts->response_body_bytes_max != 0) {
        call->body_bytes_max = opts->response_body_bytes_max;
    }
    memcpy(call->fields, opts->fields, sizeof(call->fields));
    call->body = g_byte_array_new();
    http_conn *c = conn_pool_take(pool, to, HTTP_ASYNC_REUSE_IDLE_MAX_US);
    call->kept = c != NULL;
    if (c == NULL) {
        int64_t connect_timeout_us = opts->connect_timeout_us == 0
                                         ? opts->timeout_us
                                         : opts->connect_timeout_us;
        int result = http_conn_connect(&c, l, to, connect_timeout_us,
                                       &http_async_handlers, call);
        if (result < 0) {
            http_async_free(call);
            return result;
        }
        http_conn_enable_keepalive(c);
    }
    http_conn_set_handlers(c, &http_async_handlers, call);
    call->connection = c;
    http_async_write_request(c, opts);
    http_conn_set_deadline(c, l->now_us + opts->timeout_us);
    if (out != NULL) {
        *out = call;
    }
    return 0;
}

/* Cancel a request that has not finished: its connection is closed and `done`
 * is not called.  `call` may be NULL. */
void
http_async_cancel(http_async_call *call)
{
    if (call != NULL) {
        http_conn_close(call->connection);
        http_async_free(call);
    }
}
