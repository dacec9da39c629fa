#include "http_conn_private.h"

#include <string.h>

/* Result of a parser callback that stops the parser; any but 0 does. */
#define HTTP_CONN_PARSER_STOP 1

/* Return whether nothing more is parsed. */
static bool
http_conn_is_over(const http_conn *c)
{
    return c->fd < 0 || c->lingering;
}

/* Return the connection of a parser. */
static http_conn *
http_conn_from_parser(http_parser *parser)
{
    return parser->data;
}

/* The head, or the connection, is complete: it is no longer part of
 * evloop.head_bytes. */
void
http_conn_finish_head(http_conn *c)
{
    c->l->head_bytes -= c->unfinished_bytes;
    c->unfinished_bytes = 0;
}

/* Fail the connections with the largest unfinished heads but `c` until all
 * others fit the limit. */
static void
http_conn_shed_heads(const http_conn *c)
{
    while (c->l->head_bytes > HTTP_CONN_HEADS_BYTES_MAX) {
        http_conn *largest = NULL;
        for (http_conn *x = c->l->connections; x != NULL; x = x->next) {
            if (x != c && x->unfinished_bytes > 0 &&
                (largest == NULL ||
                 x->unfinished_bytes >= largest->unfinished_bytes)) {
                largest = x;
            }
        }
        if (largest == NULL) {
            return;
        }
        http_conn_fail(largest, HTTP_CONN_TOO_LARGE);
    }
}

/* Add to the size of the head; returns false if it exceeds the limit. */
static bool
http_conn_count_head_bytes(http_conn *c, size_t length)
{
    c->head_bytes += length;
    if (c->parser.type == HTTP_REQUEST) {
        c->unfinished_bytes += length;
        c->l->head_bytes += length;
        http_conn_shed_heads(c);
    }
    return c->head_bytes_max == 0 || c->head_bytes <= c->head_bytes_max;
}

/* Parser callback: the first byte of a message.  Starts the head timeout. */
static int
http_conn_on_message_begin(http_parser *parser)
{
    http_conn *c = http_conn_from_parser(parser);
    http_head_reset(&c->head);
    c->field_part = HTTP_CONN_PART_NONE;
    c->head_bytes = 0;
    c->in_message = true;
    if (c->head_timeout_us != 0) {
        c->deadline_us = c->l->now_us + c->head_timeout_us;
    }
    return 0;
}

/* Parser callback: a part of the request target. */
static int
http_conn_on_url(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_from_parser(parser);
    if (!http_conn_count_head_bytes(c, length)) {
        return HTTP_CONN_PARSER_STOP;
    }
    if (c->head.target.length == 0) {
        c->head.target.offset = (uint32_t)c->head.text.end;
    }
    bytebuf_append(&c->head.text, at, length);
    c->head.target.length += (uint32_t)length;
    return 0;
}

/* Parser callback: a part of a field name. */
static int
http_conn_on_field_name(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_from_parser(parser);
    http_head *head = &c->head;
    if (!http_conn_count_head_bytes(c, length + sizeof(": \r\n") - 1)) {
        return HTTP_CONN_PARSER_STOP;
    }
    if (c->field_part != HTTP_CONN_PART_NAME) {
        if (head->count == HTTP_HEAD_FIELDS_MAX) {
            head->too_many_fields = true;
            return HTTP_CONN_PARSER_STOP;
        }
        head->fields[head->count].name =
            (http_head_span){(uint32_t)head->text.end, 0};
        head->fields[head->count].value =
            (http_head_span){(uint32_t)head->text.end, 0};
        head->count++;
        c->field_part = HTTP_CONN_PART_NAME;
    }
    bytebuf_append(&head->text, at, length);
    head->fields[head->count - 1].name.length += (uint32_t)length;
    return 0;
}

/* Parser callback: a part of a field value. */
static int
http_conn_on_field_value(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_from_parser(parser);
    http_head *head = &c->head;
    if (!http_conn_count_head_bytes(c, length) || head->count == 0) {
        return HTTP_CONN_PARSER_STOP;
    }
    http_head_field *field = &head->fields[head->count - 1];
    if (c->field_part != HTTP_CONN_PART_VALUE) {
        field->value.offset = (uint32_t)head->text.end;
        c->field_part = HTTP_CONN_PART_VALUE;
    }
    bytebuf_append(&head->text, at, length);
    field->value.length += (uint32_t)length;
    return 0;
}

/* Return whether this is a response without a body whatever its fields say
 * (RFC 9112, 6.3). */
static bool
http_conn_response_has_no_body(const http_conn *c, const http_parser *parser)
{
    return parser->type == HTTP_RESPONSE &&
           (c->no_body || parser->status_code / 100 == 1 ||
            parser->status_code == 204 || parser->status_code == 304);
}

/* Return whether the body has a length that fits the head and a coding that is
 * understood. */
static bool
http_conn_check_framing(http_conn *c, const http_parser *parser)
{
    const http_head *head = &c->head;
    if ((parser->flags & F_CONTENTLENGTH) != 0 &&
        parser->content_length > INT64_MAX) {
        return false;
    }
    bool known = http_head_is_coding_known(head);
    c->unsupported = !known && !head->is_http_1_0;
    return known;
}

/* Parser callback: the head is complete.  Returns 0, 1 if the message has no
 * body, or -1 if it is malformed or the connection was closed. */
static int
http_conn_on_headers_complete(http_parser *parser)
{
    http_conn *c = http_conn_from_parser(parser);
    http_head *head = &c->head;
    http_conn_finish_head(c);
    parser->upgrade = 0; /* upgrades are not supported: the bytes stay HTTP */
    head->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    head->content_length = (parser->flags & F_CONTENTLENGTH) != 0
                               ? (int64_t)parser->content_length
                               : HTTP_HEAD_NO_LENGTH;
    head->keep_alive = http_should_keep_alive(parser);
    bool no_body = http_conn_response_has_no_body(c, parser);
    if (!http_conn_check_framing(c, parser)) {
        return -1;
    }
    if (head->chunked) {
        http_syntax_begin_chunks(&c->syntax);
    }
    else {
        http_syntax_begin_body(&c->syntax);
    }
    if (parser->type == HTTP_REQUEST) {
        head->method = http_method_str((enum http_method)parser->method);
    }
    else {
        head->status = parser->status_code;
        if (head->status == HTTP_STATUS_SWITCHING_PROTOCOLS) {
            return -1; /* no request asks for another protocol */
        }
        head->body_until_eof = !no_body && !head->chunked &&
                               head->content_length == HTTP_HEAD_NO_LENGTH;
        if (head->status / 100 == 1) {
            c->skipping_message = true;
            return 1; /* tells the parser that there is no body */
        }
        if (!head->keep_alive) {
            c->not_reusable = true;
        }
    }
    enum http_conn_head_result result =
        c->handlers->on_head(c, head, c->payload);
    if (result == HTTP_CONN_CLOSED || http_conn_is_over(c)) {
        return -1;
    }
    c->skipping_message = result == HTTP_CONN_SKIP;
    if (!c->skipping_message) {
        c->unused_bytes = 0;
    }
    return no_body ? 1 : 0;
}

/* Parser callback: the size of a chunk. */
static int
http_conn_on_chunk_header(http_parser *parser)
{
    http_conn *c = http_conn_from_parser(parser);
    if (parser->content_length > INT64_MAX) {
        return HTTP_CONN_PARSER_STOP;
    }
    http_syntax_begin_chunk(&c->syntax, parser->content_length);
    return 0;
}

/* Parser callback: a part of the body. */
static int
http_conn_on_body(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_from_parser(parser);
    if (c->skipping_message) {
        return 0;
    }
    c->unused_bytes = 0;
    c->handlers->on_body(c, at, length, c->payload);
    return http_conn_is_over(c) ? HTTP_CONN_PARSER_STOP : 0;
}

/* Expect the start line of the next message. */
static void
http_conn_begin_syntax(http_conn *c)
{
    if (c->parser.type == HTTP_REQUEST) {
        http_syntax_begin_request(&c->syntax);
    }
    else {
        http_syntax_begin_response(&c->syntax);
    }
}

/* Parser callback: the end of a message.  Pauses the parser, so that the next
 * message is not parsed before the owner asks for it, or, after a skipped one,
 * before its bytes are checked. */
static int
http_conn_on_message_complete(http_parser *parser)
{
    http_conn *c = http_conn_from_parser(parser);
    c->in_message = false;
    http_conn_finish_head(c); /* its trailer */
    http_conn_begin_syntax(c);
    http_parser_pause(parser, 1);
    if (c->skipping_message) {
        c->skipping_message = false;
        if (!c->head.keep_alive) {
            c->not_reusable = true;
        }
        return 0;
    }
    c->message_complete = true;
    return 0;
}

static const http_parser_settings http_conn_parser_settings = {
    .on_message_begin = http_conn_on_message_begin,
    .on_url = http_conn_on_url,
    .on_header_field = http_conn_on_field_name,
    .on_header_value = http_conn_on_field_value,
    .on_headers_complete = http_conn_on_headers_complete,
    .on_body = http_conn_on_body,
    .on_chunk_header = http_conn_on_chunk_header,
    .on_message_complete = http_conn_on_message_complete,
};

/* Initialize the parser for requests or responses; always returns 0. */
int
http_conn_parser_setup(http_conn *c, enum http_parser_type type)
{
    http_parser_init(&c->parser, type);
    http_conn_begin_syntax(c);
    c->parser.data = c;
    return 0;
}

/* Finish a complete message: keep the bytes that follow it, `rest`, and call
 * on_message.  On a client connection such bytes prevent reuse. */
static void
http_conn_finish_message(http_conn *c, const char *rest, size_t length)
{
    if (c->parser.type == HTTP_RESPONSE) {
        c->response_pending = false;
        http_conn_silence_note_answered(c);
        c->not_reusable = c->not_reusable || length > 0;
    }
    else {
        bytebuf_append(&c->pending, rest, length);
        if (bytebuf_length(&c->pending) > HTTP_CONN_PENDING_BYTES_MAX) {
            ev_io_stop(c->l->loop, &c->readable);
        }
    }
    c->handlers->on_message(c, c->payload);
}

/* Return why the parser has stopped with an error. */
static enum http_conn_close_reason
http_conn_parser_failure(const http_conn *c)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    if (c->head.too_many_fields || error == HPE_HEADER_OVERFLOW ||
        (c->head_bytes_max != 0 && c->head_bytes > c->head_bytes_max)) {
        return HTTP_CONN_TOO_LARGE;
    }
    if (c->parser.type == HTTP_REQUEST &&
        (error == HPE_INVALID_METHOD || c->unsupported)) {
        return HTTP_CONN_UNSUPPORTED;
    }
    return HTTP_CONN_MALFORMED;
}

/* Parse the next part of the received bytes, at most up to the end of what
 * http_syntax_check() checks at once.  Returns the number of bytes parsed, or 0
 * if the connection has failed. */
static size_t
http_conn_parse_part(http_conn *c, const char *bytes, size_t length)
{
    size_t part = length;
    if (http_syntax_check(&part, &c->syntax, bytes, length) < 0) {
        http_conn_fail(c, HTTP_CONN_MALFORMED);
        return 0;
    }
    size_t parsed = http_parser_execute(&c->parser, &http_conn_parser_settings,
                                        bytes, part);
    enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    if (!http_conn_is_over(c) && error != HPE_OK && error != HPE_PAUSED) {
        http_conn_fail(c, http_conn_parser_failure(c));
    }
    return http_conn_is_over(c) ? 0 : parsed;
}

/* Parse received bytes; returns HTTP_CONN_CLOSED if the connection has been
 * closed meanwhile, else HTTP_CONN_ACCEPT. */
enum http_conn_head_result
http_conn_parse(http_conn *c, const char *bytes, size_t length)
{
    c->unused_bytes += length;
    while (length > 0 && !c->message_complete) {
        size_t parsed = http_conn_parse_part(c, bytes, length);
        if (parsed == 0) {
            return HTTP_CONN_CLOSED;
        }
        bytes += parsed;
        length -= parsed;
        if (!c->message_complete) {
            http_parser_pause(&c->parser, 0); /* after a skipped message */
        }
    }
    if (c->message_complete) {
        http_conn_finish_message(c, bytes, length);
    }
    else if (c->parser.type == HTTP_RESPONSE &&
             c->unused_bytes > HTTP_CONN_UNUSED_BYTES_MAX) {
        http_conn_fail(c, HTTP_CONN_MALFORMED);
    }
    return http_conn_is_over(c) ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

/* The peer closed the stream, which may complete a response delimited by the
 * end of the connection. */
void
http_conn_parse_eof(http_conn *c)
{
    c->not_reusable = true;
    if (c->message_complete || !c->in_message) {
        http_conn_fail(c, HTTP_CONN_EOF);
        return;
    }
    http_parser_execute(&c->parser, &http_conn_parser_settings, NULL, 0);
    if (http_conn_is_over(c)) {
        return;
    }
    if (c->message_complete) {
        http_conn_finish_message(c, NULL, 0);
        return;
    }
    http_conn_fail(c, HTTP_CONN_EOF);
}
