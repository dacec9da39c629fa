#include "server_conn.h"

#include <http_parser.h>
#include <string.h>

/* Begins a request whose head was received; sends 100 Continue if expected. */
void
server_conn_begin_request(server_conn *s, const http_head *head)
{
    s->in_exchange = true;
    s->request_complete = false;
    s->close_after = !head->keep_alive || s->n->stopping;
    s->head_request = strcmp(head->method, "HEAD") == 0;
    s->framing = HTTP_CONN_BODY_NONE;
    http_conn_set_deadline(s->c, 0);
    http_str expect = http_head_get_field(head, "Expect");
    if (http_str_equals_nocase(expect, "100-continue")) {
        bytebuf_append_text(http_conn_output(s->c),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

/* Returns the framing with which a response body is relayed. */
enum http_conn_framing
server_conn_response_framing(const http_head *head)
{
    if (head->content_length != HTTP_HEAD_NO_LENGTH) {
        return HTTP_CONN_BODY_LENGTH;
    }
    return head->chunked || head->body_until_eof ? HTTP_CONN_BODY_CHUNKED
                                                 : HTTP_CONN_BODY_NONE;
}

/* Writes the head of a response; `fields` holds complete header lines, or is
 * NULL. */
void
server_conn_write_head(server_conn *s, int status, const bytebuf *fields,
                       enum http_conn_framing framing, int64_t length)
{
    bytebuf *out = http_conn_output(s->c);
    s->close_after = s->close_after || s->n->stopping;
    bytebuf_appendf(out, "HTTP/1.1 %d %s\r\n", status,
                    http_status_str((enum http_status)status));
    if (fields != NULL) {
        bytebuf_append(out, bytebuf_data(fields), bytebuf_length(fields));
    }
    if (s->close_after) {
        bytebuf_append_text(out, "Connection: close\r\n");
    }
    attempt_write_framing(out, framing, length);
    s->framing = s->head_request ? HTTP_CONN_BODY_NONE : framing;
}

/* Writes a part of the response body. */
void
server_conn_write_body(server_conn *s, const char *bytes, size_t length)
{
    http_conn_write_body(s->c, s->framing, bytes, length);
}

/* Closes the connection, or waits for the next request on it. */
static void
server_conn_await_next_request(server_conn *s)
{
    s->in_exchange = false;
    if (s->close_after) {
        http_conn_close_after_flush(s->c);
        return;
    }
    http_conn_set_paused(s->c, false);
    http_conn_set_deadline(s->c, s->n->l->now_us + s->idle_us);
    http_conn_next_request(s->c);
}

/* Completes the response.  The rest of the request, if any, is read and
 * discarded before the next one. */
void
server_conn_end_response(server_conn *s)
{
    http_conn_end_body(s->c, s->framing);
    s->request = NULL;
    if (s->request_complete) {
        server_conn_await_next_request(s);
    }
    else {
        http_conn_set_paused(s->c, false);
        http_conn_set_deadline(s->c, s->n->l->now_us + s->idle_us);
    }
}

/* Notes that the whole request has been read. */
void
server_conn_end_request(server_conn *s)
{
    s->request_complete = true;
    if (s->request == NULL) {
        server_conn_await_next_request(s);
    }
}
