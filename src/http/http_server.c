#include "http_server.h"

#include <http_parser.h>
#include <stdlib.h>
#include <unistd.h>

#include "http_conn.h"

#define HTTP_SERVER_HEAD_BYTES_MAX 16384       /* of a request */
#define HTTP_SERVER_IDLE_TIMEOUT_US 30000000LL /* 30 s; between requests */

struct http_server {
    evloop *l;
    http_listener *listener;
    http_server_handler_cb handler;
    void *payload;
};

typedef struct http_server_connection {
    http_server *s;
    http_server_request request;
    bytebuf body;
    bool close_after;
} http_server_connection;

/* Keep the method and path of a request. */
static enum http_conn_head_result
http_server_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)c;
    http_server_connection *conn = payload;
    conn->request.method = head->method;
    conn->close_after = !head->keep_alive;
    if (!http_str_copy(conn->request.path, sizeof(conn->request.path),
                       http_head_get_target(head))) {
        conn->request.path[0] = '\0';
    }
    return HTTP_CONN_ACCEPT;
}

/* Queue a response without a body, after which the connection is closed. */
static void
http_server_reject(http_conn *c, int status)
{
    bytebuf_appendf(http_conn_output(c),
                    "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
                    "Connection: close\r\n\r\n",
                    status, http_status_str((enum http_status)status));
    http_conn_linger(c);
}

/* Free the state of a connection. */
static void
http_server_connection_free(http_server_connection *conn)
{
    bytebuf_clear(&conn->body);
    free(conn);
}

/* Collect the body of a request; one over the limit is rejected. */
static void
http_server_on_body(http_conn *c, const char *bytes, size_t length,
                    void *payload)
{
    http_server_connection *conn = payload;
    if (bytebuf_length(&conn->body) + length > HTTP_SERVER_BODY_BYTES_MAX) {
        http_server_reject(c, HTTP_STATUS_PAYLOAD_TOO_LARGE);
        http_server_connection_free(conn);
        return;
    }
    bytebuf_append(&conn->body, bytes, length);
}

/* Call the handler for a complete request and queue its response. */
static void
http_server_on_message(http_conn *c, void *payload)
{
    http_server_connection *conn = payload;
    http_server_response response = {0};
    bytebuf_append(&conn->body, "", 1);
    conn->request.body = bytebuf_data(&conn->body);
    conn->request.length = bytebuf_length(&conn->body) - 1;
    conn->s->handler(&response, &conn->request, conn->s->payload);
    bytebuf *out = http_conn_output(c);
    bytebuf_appendf(out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
                    response.status,
                    http_status_str((enum http_status)response.status),
                    bytebuf_length(&response.body));
    if (response.type != NULL) {
        bytebuf_appendf(out, "Content-Type: %s\r\n", response.type);
    }
    if (conn->close_after) {
        bytebuf_append_text(out, "Connection: close\r\n");
    }
    bytebuf_append_text(out, "\r\n");
    bytebuf_append(out, bytebuf_data(&response.body),
                   bytebuf_length(&response.body));
    bytebuf_clear(&response.body);
    bytebuf_clear(&conn->body);
    http_conn_set_deadline(c,
                           conn->s->l->now_us + HTTP_SERVER_IDLE_TIMEOUT_US);
    if (conn->close_after) {
        http_conn_close_after_flush(c);
    }
    else {
        http_conn_next_request(c);
    }
}

/* Nothing to do: a response is queued as a whole. */
static void
http_server_on_drain(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

/* The connection is over, after a response if a request was not read to its
 * end. */
static void
http_server_on_close(http_conn *c, enum http_conn_close_reason reason,
                     void *payload)
{
    int status = http_conn_error_status(c, reason);
    if (status != 0) {
        http_server_reject(c, status);
    }
    http_server_connection_free(payload);
}

static const http_conn_handlers http_server_handlers = {
    http_server_on_head, http_server_on_body, http_server_on_message,
    http_server_on_drain, http_server_on_close};

/* Set up the state of an accepted connection. */
static void
http_server_on_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    http_server *s = payload;
    http_server_connection *conn = calloc(1, sizeof(*conn));
    if (conn == NULL) {
        close(fd);
        return;
    }
    conn->s = s;
    http_conn *c = NULL;
    if (http_conn_accept(&c, s->l, fd, from, HTTP_SERVER_HEAD_BYTES_MAX,
                         &http_server_handlers, conn) < 0) {
        free(conn);
        return;
    }
    http_conn_set_deadline(c, s->l->now_us + HTTP_SERVER_IDLE_TIMEOUT_US);
}

/* Listen on an address ("a.b.c.d:port"); `handler` must fill in the response
 * before it returns.  Returns 0, ERR_INVALID, ERR_IO or ERR_NO_MEMORY. */
int
http_server_new(http_server **out, evloop *l, const char *address, err *e,
                http_server_handler_cb handler, void *payload)
{
    struct sockaddr_in socket_address;
    if (http_listener_parse_address(&socket_address, address) < 0) {
        return ERR_SET(e, ERR_INVALID, "\"%s\" is no address", address);
    }
    http_server *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "out of memory for the server at %s",
                       address);
    }
    *s = (http_server){.l = l, .handler = handler, .payload = payload};
    int result = http_listener_new(&s->listener, l, &socket_address, e,
                                   http_server_on_accept, s);
    if (result < 0) {
        free(s);
        return result;
    }
    *out = s;
    return 0;
}

/* Stop listening and free the server; `s` may be NULL.  Open connections are
 * not closed. */
void
http_server_free(http_server *s)
{
    if (s != NULL) {
        http_listener_free(s->listener);
        free(s);
    }
}
