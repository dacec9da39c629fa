#include "http_conn_private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/err.h"

#define HTTP_CONN_CHUNK_HEAD_SIZE 20 /* bytes of a chunk's length line */

/* Keep the structure through a handler that may close it. */
void
http_conn_ref(http_conn *c)
{
    c->refs++;
}

static void
http_conn_unlink(http_conn *c)
{
    if (c->previous != NULL) {
        c->previous->next = c->next;
    }
    else {
        c->l->all = c->next;
    }
    if (c->next != NULL) {
        c->next->previous = c->previous;
    }
}

/* End of http_conn_ref(); after the last one a closed connection is freed at the
 * end of this turn of the loop. */
void
http_conn_unref(http_conn *c)
{
    c->refs--;
    if (c->refs == 0) {
        http_conn_unlink(c);
        http_head_reset(&c->head);
        bytebuf_clear(&c->out);
        bytebuf_clear(&c->pending);
        c->next = c->l->closed;
        c->l->closed = c;
    }
}

static void
http_conn_dirty_add(http_conn *c)
{
    if (c->is_dirty || c->fd < 0) {
        return;
    }
    c->is_dirty = true;
    c->dirty_previous = NULL;
    c->dirty_next = c->l->dirty;
    if (c->dirty_next != NULL) {
        c->dirty_next->dirty_previous = c;
    }
    c->l->dirty = c;
}

static void
http_conn_dirty_remove(http_conn *c)
{
    if (!c->is_dirty) {
        return;
    }
    c->is_dirty = false;
    if (c->dirty_previous != NULL) {
        c->dirty_previous->dirty_next = c->dirty_next;
    }
    else {
        c->l->dirty = c->dirty_next;
    }
    if (c->dirty_next != NULL) {
        c->dirty_next->dirty_previous = c->dirty_previous;
    }
}

/* Hand the connection to another owner. */
void
http_conn_set_handlers(http_conn *c, const http_conn_handlers *handlers,
                       void *payload)
{
    c->handlers = handlers;
    c->payload = payload;
}

/* Close at once; no handler is called any more. */
void
http_conn_close(http_conn *c)
{
    if (c->fd < 0) {
        return;
    }
    ev_io_stop(c->l->loop, &c->readable);
    ev_io_stop(c->l->loop, &c->writable);
    http_conn_dirty_remove(c);
    close(c->fd);
    c->fd = -1;
    c->expire_us = 0;
    c->l->open--;
    http_conn_unref(c);
}

/* Tell the owner that the connection is over, then close it. */
void
http_conn_fail(http_conn *c, enum http_conn_close_reason end)
{
    if (c->fd < 0) {
        return;
    }
    http_conn_ref(c);
    c->unfit = true;
    c->handlers->on_end(c, end, c->payload);
    http_conn_close(c);
    http_conn_unref(c);
}

/* Break the connection with a reset, so that an answer cut short can't look
 * complete; the owner hears on_end(HTTP_CONN_RESET). */
void
http_conn_reset(http_conn *c)
{
    if (c->fd >= 0) {
        struct linger linger = {1, 0};
        (void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger,
                         sizeof(linger));
        http_conn_fail(c, HTTP_CONN_RESET);
    }
}

/* Hand what is queued to the kernel now, as the connection closes next; what
 * it doesn't take is lost. */
void
http_conn_flush_before_close(http_conn *c)
{
    if (c->fd >= 0 && bytebuf_length(&c->out) > 0) {
        ssize_t sent = send(c->fd, bytebuf_data(&c->out),
                            bytebuf_length(&c->out), MSG_NOSIGNAL);
        (void)sent;
    }
}

/* on_end(HTTP_CONN_TIMEOUT) comes at this time (clk); 0: never. */
void
http_conn_set_deadline(http_conn *c, int64_t at_us)
{
    c->expire_us = at_us;
}

static bool
http_conn_wants_bytes(const http_conn *c)
{
    return c->fd >= 0 && !c->paused && !c->connecting && !c->eof_seen &&
           bytebuf_length(&c->pending) <= HTTP_CONN_PENDING_BYTES_MAX;
}

/* Stop or go on reading. */
void
http_conn_set_paused(http_conn *c, bool paused)
{
    c->paused = paused;
    if (c->fd < 0 || c->connecting) {
        return;
    }
    if (http_conn_wants_bytes(c)) {
        ev_io_start(c->l->loop, &c->readable);
    }
    else {
        ev_io_stop(c->l->loop, &c->readable);
    }
}

/* A server's: the exchange is over; parse the next request. */
void
http_conn_next_request(http_conn *c)
{
    http_conn_ref(c);
    c->holding = false;
    http_parser_pause(&c->parser, 0);
    http_head_reset(&c->head);
    while (c->fd >= 0 && !c->holding && bytebuf_length(&c->pending) > 0) {
        bytebuf bytes = c->pending;
        c->pending = (bytebuf){0};
        http_conn_parse(c, bytebuf_data(&bytes), bytebuf_length(&bytes));
        bytebuf_clear(&bytes);
    }
    if (c->fd >= 0) {
        http_conn_set_paused(c, c->paused);
    }
    http_conn_unref(c);
}

/* A client's: a request has been queued; `no_body`: it was a HEAD. */
void
http_conn_expect_response(http_conn *c, bool no_body)
{
    c->answer_due = true;
    c->holding = false;
    c->no_body = no_body;
    http_parser_pause(&c->parser, 0);
}

/* The bytes to be written; the connection is flushed before the loop waits
 * again. */
bytebuf *
http_conn_output(http_conn *c)
{
    http_conn_dirty_add(c);
    return &c->out;
}

/* Queue a piece of a body. */
void
http_conn_write_body(http_conn *c, enum http_conn_framing framing,
                     const char *bytes, size_t length)
{
    if (length == 0 || c->fd < 0 || framing == HTTP_CONN_BODY_NONE) {
        return;
    }
    bytebuf *out = http_conn_output(c);
    if (framing == HTTP_CONN_BODY_CHUNKED) {
        char head[HTTP_CONN_CHUNK_HEAD_SIZE];
        int size = snprintf(head, sizeof(head), "%zx\r\n", length);
        bytebuf_append(out, head, (size_t)size);
    }
    bytebuf_append(out, bytes, length);
    if (framing == HTTP_CONN_BODY_CHUNKED) {
        bytebuf_append(out, "\r\n", 2);
    }
    c->was_full =
        c->was_full || bytebuf_length(out) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES;
}

/* Queue the end of a body. */
void
http_conn_end_body(http_conn *c, enum http_conn_framing framing)
{
    if (framing == HTTP_CONN_BODY_CHUNKED && c->fd >= 0) {
        bytebuf_append_text(http_conn_output(c), "0\r\n\r\n");
    }
}

/* Bytes queued and not yet taken by the kernel. */
size_t
http_conn_queued_bytes(const http_conn *c)
{
    return bytebuf_length(&c->out);
}

/* Close in order once all is written; the owner hears on_end(HTTP_CONN_EOF). */
void
http_conn_close_after_flush(http_conn *c)
{
    c->closing = true;
    http_conn_dirty_add(c);
}

/* Whether the connection is established. */
bool
http_conn_is_connected(const http_conn *c)
{
    return !c->connecting && c->fd >= 0;
}

/* Whether another request may be sent: nothing is under way or left over. */
bool
http_conn_is_reusable(const http_conn *c)
{
    return c->fd >= 0 && !c->unfit && !c->connecting && !c->answer_due &&
           !c->eof_seen && bytebuf_length(&c->out) == 0;
}

/* Address of the other side. */
const struct sockaddr_in *
http_conn_peer(const http_conn *c)
{
    return &c->peer;
}

/* Whether a part of a message has come, and not all of it. */
bool
http_conn_is_mid_message(const http_conn *c)
{
    return c->in_message;
}

/* Write what is queued; the rest waits until the socket takes it. */
void
http_conn_flush(http_conn *c)
{
    http_conn_dirty_remove(c);
    if (c->fd < 0 || c->connecting) {
        return;
    }
    http_conn_ref(c);
    while (bytebuf_length(&c->out) > 0) {
        ssize_t sent = send(c->fd, bytebuf_data(&c->out),
                            bytebuf_length(&c->out), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(c->l->loop, &c->writable);
            break;
        }
        if (sent < 0) {
            http_conn_fail(c, HTTP_CONN_RESET);
            http_conn_unref(c);
            return;
        }
        bytebuf_consume(&c->out, (size_t)sent);
    }
    if (bytebuf_length(&c->out) == 0) {
        ev_io_stop(c->l->loop, &c->writable);
        if (c->closing) {
            http_conn_fail(c, HTTP_CONN_EOF);
        }
    }
    if (c->fd >= 0 && c->was_full &&
        bytebuf_length(&c->out) < HTTP_CONN_OUTPUT_LOW_WATER_BYTES) {
        c->was_full = false;
        c->handlers->on_drain(c, c->payload);
    }
    http_conn_unref(c);
}

static void
http_conn_on_connected(http_conn *c)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0) {
        error = errno;
    }
    if (error != 0) {
        http_conn_fail(c, error == ECONNREFUSED ? HTTP_CONN_REFUSED
                                                : HTTP_CONN_RESET);
        return;
    }
    c->connecting = false;
    ev_io_stop(c->l->loop, &c->writable);
    http_conn_set_paused(c, c->paused);
    http_conn_flush(c);
}

/* The socket takes bytes again, or is connected. */
void
http_conn_on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    http_conn *c = watcher->data;
    http_conn_ref(c);
    evloop_update_now(c->l);
    if (c->connecting) {
        http_conn_on_connected(c);
    }
    else {
        http_conn_flush(c);
    }
    http_conn_unref(c);
}

static void
http_conn_take_bytes(http_conn *c, const char *bytes, size_t length)
{
    if (c->parser.type == HTTP_RESPONSE && (c->holding || !c->answer_due)) {
        http_conn_fail(
            c, HTTP_CONN_MALFORMED); /* bytes that no request asked for */
    }
    else if (c->holding) {
        bytebuf_append(&c->pending, bytes, length);
        http_conn_set_paused(c, c->paused);
    }
    else {
        http_conn_parse(c, bytes, length);
    }
}

/* Bytes have come, or the end of the connection. */
void
http_conn_on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    http_conn *c = watcher->data;
    evloop *l = c->l;
    http_conn_ref(c);
    evloop_update_now(l);
    ssize_t got = recv(c->fd, l->read_buffer, sizeof(l->read_buffer), 0);
    if (got > 0) {
        http_conn_take_bytes(c, l->read_buffer, (size_t)got);
    }
    else if (got == 0) {
        c->eof_seen = true;
        ev_io_stop(l->loop, &c->readable);
        http_conn_parse_eof(c);
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        http_conn_fail(c, HTTP_CONN_RESET);
    }
    http_conn_unref(c);
}
