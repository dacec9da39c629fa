#include "http_conn_private.h"

#include <string.h>

/* Parser callbacks stop the parser by a result other than 0. */
#define HTTP_CONN_STOP 1

static http_conn *
http_conn_of(http_parser *parser)
{
    return parser->data;
}

static bool
http_conn_head_grows(http_conn *c, size_t length)
{
    c->head_bytes += length;
    return c->head_max == 0 || c->head_bytes <= c->head_max;
}

static int
http_conn_on_begin(http_parser *parser)
{
    http_conn *c = http_conn_of(parser);
    http_head_reset(&c->head);
    c->part = HTTP_CONN_PART_NONE;
    c->head_bytes = 0;
    c->in_message = true;
    if (c->head_us != 0) {
        c->expire_us = c->l->now_us + c->head_us;
    }
    return 0;
}

static int
http_conn_on_url(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_of(parser);
    if (!http_conn_head_grows(c, length)) {
        return HTTP_CONN_STOP;
    }
    if (c->head.target.length == 0) {
        c->head.target.at = (uint32_t)c->head.text.end;
    }
    bytebuf_append(&c->head.text, at, length);
    c->head.target.length += (uint32_t)length;
    return 0;
}

static int
http_conn_on_name(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_of(parser);
    http_head *m = &c->head;
    if (!http_conn_head_grows(c, length + sizeof(": \r\n") - 1)) {
        return HTTP_CONN_STOP;
    }
    if (c->part != HTTP_CONN_PART_NAME) {
        if (m->count == HTTP_HEAD_FIELDS_MAX) {
            m->overflow = true;
            return HTTP_CONN_STOP;
        }
        m->fields[m->count].name = (http_head_span){(uint32_t)m->text.end, 0};
        m->fields[m->count].value = (http_head_span){(uint32_t)m->text.end, 0};
        m->count++;
        c->part = HTTP_CONN_PART_NAME;
    }
    bytebuf_append(&m->text, at, length);
    m->fields[m->count - 1].name.length += (uint32_t)length;
    return 0;
}

static int
http_conn_on_value(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_of(parser);
    http_head *m = &c->head;
    if (!http_conn_head_grows(c, length) || m->count == 0) {
        return HTTP_CONN_STOP;
    }
    http_head_field *field = &m->fields[m->count - 1];
    if (c->part != HTTP_CONN_PART_VALUE) {
        field->value.at = (uint32_t)m->text.end;
        c->part = HTTP_CONN_PART_VALUE;
    }
    bytebuf_append(&m->text, at, length);
    field->value.length += (uint32_t)length;
    return 0;
}

/* Whether this answer has no body whatever its fields say (RFC 9112, 6.3). */
static bool
http_conn_bodiless(const http_conn *c, const http_parser *parser)
{
    return parser->type == HTTP_RESPONSE &&
           (c->no_body || parser->status_code / 100 == 1 ||
            parser->status_code == 204 || parser->status_code == 304);
}

static int
http_conn_on_head(http_parser *parser)
{
    http_conn *c = http_conn_of(parser);
    http_head *m = &c->head;
    parser->upgrade = 0; /* never taken up: the bytes stay HTTP */
    m->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    m->chunked = (parser->flags & F_CHUNKED) != 0;
    m->content_length = (parser->flags & F_CONTENTLENGTH) != 0
                            ? (int64_t)parser->content_length
                            : HTTP_HEAD_NO_LENGTH;
    m->keep_alive = http_should_keep_alive(parser);
    bool bodiless = http_conn_bodiless(c, parser);
    if (parser->type == HTTP_REQUEST) {
        m->method = http_method_str((enum http_method)parser->method);
    }
    else {
        m->status = parser->status_code;
        m->body_until_eof = !bodiless && !m->chunked &&
                            m->content_length == HTTP_HEAD_NO_LENGTH;
        if (m->status / 100 == 1) {
            c->skipping = true;
            return 1; /* no body */
        }
        if (!m->keep_alive) {
            c->unfit = true;
        }
    }
    enum http_conn_head_result verdict =
        c->handlers->on_head(c, m, c->payload);
    if (verdict == HTTP_CONN_CLOSED || c->fd < 0) {
        return -1;
    }
    c->skipping = verdict == HTTP_CONN_SKIP;
    return bodiless ? 1 : 0;
}

static int
http_conn_on_body(http_parser *parser, const char *at, size_t length)
{
    http_conn *c = http_conn_of(parser);
    if (c->skipping) {
        return 0;
    }
    c->handlers->on_body(c, at, length, c->payload);
    return c->fd < 0 ? HTTP_CONN_STOP : 0;
}

static int
http_conn_on_message(http_parser *parser)
{
    http_conn *c = http_conn_of(parser);
    c->in_message = false;
    if (c->skipping) {
        c->skipping = false;
        if (!c->head.keep_alive) {
            c->unfit = true;
        }
        return 0;
    }
    c->holding = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings http_conn_parser_settings = {
    .on_message_begin = http_conn_on_begin,
    .on_url = http_conn_on_url,
    .on_header_field = http_conn_on_name,
    .on_header_value = http_conn_on_value,
    .on_headers_complete = http_conn_on_head,
    .on_body = http_conn_on_body,
    .on_message_complete = http_conn_on_message,
};

/* Begin to parse messages of one kind. */
int
http_conn_parser_setup(http_conn *c, enum http_parser_type type)
{
    http_parser_init(&c->parser, type);
    c->parser.data = c;
    return 0;
}

/* The message is complete: keep what follows it, then tell the owner. */
static void
http_conn_complete(http_conn *c, const char *rest, size_t length)
{
    if (c->parser.type == HTTP_RESPONSE) {
        c->answer_due = false;
        c->unfit = c->unfit || length > 0;
    }
    else {
        bytebuf_append(&c->pending, rest, length);
        if (bytebuf_length(&c->pending) > HTTP_CONN_PENDING_BYTES_MAX) {
            ev_io_stop(c->l->loop, &c->readable);
        }
    }
    c->handlers->on_message(c, c->payload);
}

/* Parse bytes just read; HTTP_CONN_CLOSED where the connection is gone after. */
enum http_conn_head_result
http_conn_parse(http_conn *c, const char *bytes, size_t length)
{
    size_t used = http_parser_execute(&c->parser, &http_conn_parser_settings,
                                      bytes, length);
    if (c->fd < 0) {
        return HTTP_CONN_CLOSED;
    }
    enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    if (error == HPE_PAUSED) {
        http_conn_complete(c, bytes + used, length - used);
    }
    else if (error != HPE_OK) {
        bool large = c->head.overflow ||
                     (c->head_max != 0 && c->head_bytes > c->head_max);
        http_conn_fail(c, large ? HTTP_CONN_TOO_LARGE : HTTP_CONN_MALFORMED);
    }
    return c->fd < 0 ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

/* The other side closed in order: an answer may end so. */
void
http_conn_parse_eof(http_conn *c)
{
    c->unfit = true;
    if (c->holding || !c->in_message) {
        http_conn_fail(c, HTTP_CONN_EOF);
        return;
    }
    http_parser_execute(&c->parser, &http_conn_parser_settings, NULL, 0);
    if (c->fd < 0) {
        return;
    }
    if (c->holding) {
        http_conn_complete(c, NULL, 0);
        return;
    }
    http_conn_fail(c, HTTP_CONN_EOF);
}
