#include "attempt.h"

#include <glib.h>
#include <inttypes.h>

/* Copies method, target, header fields (except those that `skip` selects) and
 * framing of a request whose head was received. */
void
attempt_request_init(attempt_request *r, const http_head *head,
                     http_head_skip_cb skip, void *payload)
{
    http_str target = http_head_get_target(head);
    r->method = head->method;
    bytebuf_append(&r->target, target.bytes, target.length);
    http_head_write_fields(&r->fields, head, skip, payload);
    r->length = head->content_length;
    if (head->chunked) {
        r->framing = HTTP_CONN_BODY_CHUNKED;
    }
    else if (head->content_length != HTTP_HEAD_NO_LENGTH) {
        r->framing = HTTP_CONN_BODY_LENGTH;
    }
    else {
        r->framing = HTTP_CONN_BODY_NONE;
    }
}

/* Returns the offset past the last body byte received so far. */
size_t
attempt_body_end_offset(const attempt_request *r)
{
    return r->body_start + bytebuf_length(&r->body);
}

/* Appends body bytes received from the caller. */
void
attempt_body_append(attempt_request *r, const char *bytes, size_t length)
{
    bytebuf_append(&r->body, bytes, length);
}

/* Queues the body bytes received past offset `sent` on a connection, unless
 * its output buffer is full, and returns the new offset.  Once more than
 * ATTEMPT_BODY_REPLAY_BYTES_MAX bytes are retained, those already sent are
 * discarded, after which the request cannot be resent to another instance. */
size_t
attempt_body_send(attempt_request *r, size_t sent, http_conn *to)
{
    size_t end = attempt_body_end_offset(r);
    if (end > sent &&
        http_conn_queued_bytes(to) < HTTP_CONN_OUTPUT_HIGH_WATER_BYTES) {
        http_conn_write_body(to, r->framing,
                             bytebuf_data(&r->body) + (sent - r->body_start),
                             end - sent);
        sent = end;
    }
    if (bytebuf_length(&r->body) > ATTEMPT_BODY_REPLAY_BYTES_MAX) {
        size_t length = sent - r->body_start;
        bytebuf_consume(&r->body, length);
        r->body_start += length;
    }
    return sent;
}

/* Appends the header fields that frame a body, and the end of the head. */
void
attempt_write_framing(bytebuf *out, enum http_conn_framing framing,
                      int64_t length)
{
    switch (framing) {
    case HTTP_CONN_BODY_LENGTH:
        bytebuf_appendf(out, "Content-Length: %" PRId64 "\r\n\r\n", length);
        break;
    case HTTP_CONN_BODY_CHUNKED:
        bytebuf_append_text(out, "Transfer-Encoding: chunked\r\n\r\n");
        break;
    case HTTP_CONN_BODY_NONE:
        bytebuf_append_text(out, "\r\n");
        break;
    }
}

/* Whether the whole request is still retained, so that it can be resent. */
bool
attempt_is_resendable(const attempt_request *r)
{
    return r->body_start == 0;
}

/* Releases the request's buffers. */
void
attempt_request_clear(attempt_request *r)
{
    bytebuf_clear(&r->target);
    bytebuf_clear(&r->fields);
    bytebuf_clear(&r->body);
}
