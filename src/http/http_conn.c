#include "http_conn_private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/err.h"

#define HTTP_CONN_CHUNK_LINE_SIZE 20 /* bytes; hex size, CRLF and NUL */

/* Keep the structure alive while a handler that may close it runs. */
void
http_conn_ref(http_conn *c)
{
    c->refs++;
}

/* Remove the connection from the list of the loop. */
static void
http_conn_unlink(http_conn *c)
{
    if (c->previous != NULL) {
        c->previous->next = c->next;
    }
    else {
        c->l->connections = c->next;
    }
    if (c->next != NULL) {
        c->next->previous = c->previous;
    }
}

/* Drop a reference; when the last one is gone, the loop frees the connection
 * at the end of this iteration. */
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

/* Have the connection flushed before the loop waits. */
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

/* Undo http_conn_dirty_add(). */
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

/* Set the handlers and their payload, and so the owner. */
void
http_conn_set_handlers(http_conn *c, const http_conn_handlers *handlers,
                       void *payload)
{
    c->handlers = handlers;
    c->payload = payload;
}

/* Close at once, discarding queued output; no handler is called. */
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
    c->deadline_us = 0;
    http_conn_finish_head(c);
    c->l->open--;
    http_conn_unref(c);
}

/* Call on_close and close the connection, unless it lingers from then on. */
void
http_conn_fail(http_conn *c, enum http_conn_close_reason reason)
{
    if (c->fd < 0) {
        return;
    }
    http_conn_ref(c);
    c->not_reusable = true;
    bool lingering = c->lingering;
    c->handlers->on_close(c, reason, c->payload);
    if (lingering || !c->lingering) {
        http_conn_close(c);
    }
    http_conn_unref(c);
}

/* Abort the connection with a TCP reset, so that a truncated response cannot
 * be taken for a complete one; on_close(HTTP_CONN_RESET) is called. */
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

/* Fail the connection with HTTP_CONN_TIMEOUT at `deadline_us`, a time of
 * clock_now_us(); 0: never. */
void
http_conn_set_deadline(http_conn *c, int64_t deadline_us)
{
    c->deadline_us = deadline_us;
}

/* Return whether the socket should be polled for input. */
static bool
http_conn_should_read(const http_conn *c)
{
    return c->fd >= 0 && !c->paused && !c->connecting && !c->eof_received &&
           bytebuf_length(&c->pending) <= HTTP_CONN_PENDING_BYTES_MAX;
}

/* Pause or resume reading. */
void
http_conn_set_paused(http_conn *c, bool paused)
{
    c->paused = paused;
    if (c->fd < 0 || c->connecting) {
        return;
    }
    if (http_conn_should_read(c)) {
        ev_io_start(c->l->loop, &c->readable);
    }
    else {
        ev_io_stop(c->l->loop, &c->readable);
    }
}

/* Server: the response has been queued; parse the next request. */
void
http_conn_next_request(http_conn *c)
{
    http_conn_ref(c);
    c->message_complete = false;
    http_parser_pause(&c->parser, 0);
    http_head_reset(&c->head);
    while (c->fd >= 0 && !c->message_complete &&
           bytebuf_length(&c->pending) > 0) {
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

/* Client: a request has been queued, parse its response; `no_body` if it was a
 * HEAD request. */
void
http_conn_expect_response(http_conn *c, bool no_body)
{
    c->response_pending = true;
    c->message_complete = false;
    c->no_body = no_body;
    http_parser_pause(&c->parser, 0);
}

/* Return the output buffer to append to; it is flushed before the loop waits
 * again. */
bytebuf *
http_conn_output(http_conn *c)
{
    http_conn_dirty_add(c);
    return &c->out;
}

/* Queue a part of a body. */
void
http_conn_write_body(http_conn *c, enum http_conn_framing framing,
                     const char *bytes, size_t length)
{
    if (length == 0 || c->fd < 0 || framing == HTTP_CONN_BODY_NONE) {
        return;
    }
    bytebuf *out = http_conn_output(c);
    if (framing == HTTP_CONN_BODY_CHUNKED) {
        char head[HTTP_CONN_CHUNK_LINE_SIZE];
        int size = snprintf(head, sizeof(head), "%zx\r\n", length);
        bytebuf_append(out, head, (size_t)size);
    }
    bytebuf_append(out, bytes, length);
    if (framing == HTTP_CONN_BODY_CHUNKED) {
        bytebuf_append(out, "\r\n", 2);
    }
    c->drain_pending = c->drain_pending ||
                       bytebuf_length(out) > HTTP_CONN_OUTPUT_HIGH_WATER_BYTES;
}

/* Queue the end of a body. */
void
http_conn_end_body(http_conn *c, enum http_conn_framing framing)
{
    if (framing == HTTP_CONN_BODY_CHUNKED && c->fd >= 0) {
        bytebuf_append_text(http_conn_output(c), "0\r\n\r\n");
    }
}

/* Return the number of bytes queued and not yet accepted by the kernel. */
size_t
http_conn_queued_bytes(const http_conn *c)
{
    return bytebuf_length(&c->out);
}

/* Return whether a server connection of the loop has output that the kernel
 * has not accepted yet. */
bool
http_conn_is_any_response_queued(const evloop *l)
{
    for (const http_conn *c = l->connections; c != NULL; c = c->next) {
        if (c->parser.type == HTTP_REQUEST && http_conn_queued_bytes(c) > 0) {
            return true;
        }
    }
    return false;
}

/* Close in order once all output is written; on_close(HTTP_CONN_EOF) is
 * called then. */
void
http_conn_close_after_flush(http_conn *c)
{
    c->close_after_flush = true;
    http_conn_dirty_add(c);
}

/* Return whether the connection is established. */
bool
http_conn_is_connected(const http_conn *c)
{
    return !c->connecting && c->fd >= 0;
}

/* Return whether another request may be sent: nothing is in progress or left
 * over. */
bool
http_conn_is_reusable(const http_conn *c)
{
    return c->fd >= 0 && !c->not_reusable && !c->connecting &&
           !c->response_pending && !c->eof_received &&
           bytebuf_length(&c->out) == 0;
}

/* Return the address of the peer. */
const struct sockaddr_in *
http_conn_peer(const http_conn *c)
{
    return &c->peer;
}

/* Return whether a message has been received in part. */
bool
http_conn_is_mid_message(const http_conn *c)
{
    return c->in_message;
}

/* Write the queued output; what the socket does not accept is written once it
 * is writable. */
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
        http_conn_silence_note_sent(c);
    }
    if (bytebuf_length(&c->out) == 0) {
        ev_io_stop(c->l->loop, &c->writable);
        if (c->close_after_flush) {
            http_conn_fail(c, HTTP_CONN_EOF);
        }
        else if (c->lingering) {
            http_conn_linger_flushed(c);
        }
    }
    if (c->fd >= 0 && c->drain_pending &&
        bytebuf_length(&c->out) < HTTP_CONN_OUTPUT_LOW_WATER_BYTES) {
        c->drain_pending = false;
        c->handlers->on_drain(c, c->payload);
    }
    http_conn_unref(c);
}

/* The connect attempt has finished, with or without success. */
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

/* The socket is writable, or a connect attempt has finished. */
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

/* Parse received bytes, keep them while a request is being answered, or discard
 * them if the connection lingers. */
static void
http_conn_handle_input(http_conn *c, const char *bytes, size_t length)
{
    if (c->lingering) {
        http_conn_linger_discard(c, length);
    }
    else if (c->parser.type == HTTP_RESPONSE &&
             (c->message_complete || !c->response_pending)) {
        /* Bytes that belong to no request. */
        http_conn_fail(c, HTTP_CONN_MALFORMED);
    }
    else if (c->message_complete) {
        bytebuf_append(&c->pending, bytes, length);
        http_conn_set_paused(c, c->paused);
    }
    else {
        http_conn_parse(c, bytes, length);
    }
}

/* The socket is readable: input or the end of the stream. */
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
        http_conn_handle_input(c, l->read_buffer, (size_t)got);
    }
    else if (got == 0) {
        c->eof_received = true;
        ev_io_stop(l->loop, &c->readable);
        http_conn_parse_eof(c);
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        http_conn_fail(c, HTTP_CONN_RESET);
    }
    http_conn_unref(c);
}
