#include "http_server.h"

#include <http_parser.h>
#include <stdlib.h>
#include <unistd.h>

#include "http_conn.h"

#define HTTP_SERVER_HEAD_BYTES_MAX 16384       /* bytes of a head */
#define HTTP_SERVER_IDLE_TIMEOUT_US 30000000LL /* 30 s between requests */

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

static enum http_conn_head_result
http_server_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)c;
    http_server_connection *k = payload;
    k->request.method = head->method;
    k->close_after = !head->keep_alive;
    if (!http_str_copy(k->request.path, sizeof(k->request.path),
                       http_head_get_target(head))) {
        k->request.path[0] = '\0';
    }
    return HTTP_CONN_ACCEPT;
}

static void
http_server_on_body(http_conn *c, const char *bytes, size_t length,
                    void *payload)
{
    http_server_connection *k = payload;
    if (bytebuf_length(&k->body) + length > HTTP_SERVER_BODY_BYTES_MAX) {
        http_conn_reset(c);
        return;
    }
    bytebuf_append(&k->body, bytes, length);
}

static void
http_server_on_message(http_conn *c, void *payload)
{
    http_server_connection *k = payload;
    http_server_response answer = {0};
    bytebuf_append(&k->body, "", 1);
    k->request.body = bytebuf_data(&k->body);
    k->request.length = bytebuf_length(&k->body) - 1;
    k->s->handler(&answer, &k->request, k->s->payload);
    bytebuf *out = http_conn_output(c);
    bytebuf_appendf(out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
                    answer.status,
                    http_status_str((enum http_status)answer.status),
                    bytebuf_length(&answer.body));
    if (answer.type != NULL) {
        bytebuf_appendf(out, "Content-Type: %s\r\n", answer.type);
    }
    if (k->close_after) {
        bytebuf_append_text(out, "Connection: close\r\n");
    }
    bytebuf_append_text(out, "\r\n");
    bytebuf_append(out, bytebuf_data(&answer.body),
                   bytebuf_length(&answer.body));
    bytebuf_clear(&answer.body);
    bytebuf_clear(&k->body);
    http_conn_set_deadline(c, k->s->l->now_us + HTTP_SERVER_IDLE_TIMEOUT_US);
    if (k->close_after) {
        http_conn_close_after_flush(c);
    }
    else {
        http_conn_next_request(c);
    }
}

static void
http_server_on_drain(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

static void
http_server_on_end(http_conn *c, enum http_conn_close_reason end,
                   void *payload)
{
    (void)c;
    (void)end;
    http_server_connection *k = payload;
    bytebuf_clear(&k->body);
    free(k);
}

static const http_conn_handlers http_server_handlers = {
    http_server_on_head, http_server_on_body, http_server_on_message,
    http_server_on_drain, http_server_on_end};

static void
http_server_on_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    http_server *s = payload;
    http_server_connection *k = calloc(1, sizeof(*k));
    if (k == NULL) {
        close(fd);
        return;
    }
    k->s = s;
    http_conn *c = NULL;
    if (http_conn_accept(&c, s->l, fd, from, HTTP_SERVER_HEAD_BYTES_MAX,
                         &http_server_handlers, k) < 0) {
        free(k);
        return;
    }
    http_conn_set_deadline(c, s->l->now_us + HTTP_SERVER_IDLE_TIMEOUT_US);
}

/* Serve at an address; `handler` answers each request at once. */
int
http_server_new(http_server **out, evloop *l, const char *address, err *e,
                http_server_handler_cb handler, void *payload)
{
    struct sockaddr_in at;
    if (http_listener_parse_address(&at, address) < 0) {
        return ERR_SET(e, ERR_INVALID, "\"%s\" is no address", address);
    }
    http_server *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "%s", address);
    }
    *s = (http_server){.l = l, .handler = handler, .payload = payload};
    int result =
        http_listener_new(&s->listener, l, &at, e, http_server_on_accept, s);
    if (result < 0) {
        free(s);
        return result;
    }
    *out = s;
    return 0;
}

/* Stop listening; takes NULL. */
void
http_server_free(http_server *s)
{
    if (s != NULL) {
        http_listener_free(s->listener);
        free(s);
    }
}
