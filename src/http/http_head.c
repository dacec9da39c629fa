#include "http_head.h"

#include <string.h>
#include <strings.h>

/* Header fields that concern one connection only (RFC 9110, 7.6.1), and
 * those that the framing of the next hop replaces. */
static const char *const http_head_hop_fields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

#define HTTP_HEAD_ARRAY_LENGTH(list) (sizeof(list) / sizeof((list)[0]))

/* Forget the message; its memory is released. */
void
http_head_reset(http_head *m)
{
    bytebuf_clear(&m->text);
    m->target = (http_head_span){0, 0};
    m->count = 0;
    m->overflow = false;
    m->method = NULL;
    m->status = 0;
    m->is_http_1_0 = false;
    m->keep_alive = false;
    m->chunked = false;
    m->body_until_eof = false;
    m->content_length = HTTP_HEAD_NO_LENGTH;
}

static http_str
http_head_span_text(const http_head *m, http_head_span span)
{
    return (http_str){bytebuf_data(&m->text) + span.at, span.length};
}

/* The request target, path and query as they were sent. */
http_str
http_head_get_target(const http_head *m)
{
    return http_head_span_text(m, m->target);
}

/* Whether `text` is `word`, in any case of letters. */
bool
http_str_equals_nocase(http_str text, const char *word)
{
    return text.bytes != NULL && strlen(word) == text.length &&
           strncasecmp(text.bytes, word, text.length) == 0;
}

/* The first field of that name; `bytes` is NULL where there is none. */
http_str
http_head_get_field(const http_head *m, const char *name)
{
    for (int i = 0; i < m->count; i++) {
        if (http_str_equals_nocase(http_head_span_text(m, m->fields[i].name),
                                   name)) {
            return http_head_span_text(m, m->fields[i].value);
        }
    }
    return (http_str){NULL, 0};
}

/* How many fields have that name. */
int
http_head_count_field(const http_head *m, const char *name)
{
    int count = 0;
    for (int i = 0; i < m->count; i++) {
        count += http_str_equals_nocase(
            http_head_span_text(m, m->fields[i].name), name);
    }
    return count;
}

/* Copy into a NUL-terminated array; false (and "") where it doesn't fit or
 * there is none. */
bool
http_str_copy(char *out, size_t size, http_str text)
{
    out[0] = '\0';
    if (text.bytes == NULL || text.length >= size) {
        return false;
    }
    memcpy(out, text.bytes, text.length);
    out[text.length] = '\0';
    return true;
}

/* Whether the Connection field names `name`. */
static bool
http_head_connection_names(const http_head *m, http_str name)
{
    http_str list = http_head_get_field(m, "Connection");
    size_t at = 0;
    while (at < list.length) {
        while (at < list.length &&
               (list.bytes[at] == ' ' || list.bytes[at] == ',')) {
            at++;
        }
        size_t start = at;
        while (at < list.length && list.bytes[at] != ',' &&
               list.bytes[at] != ' ') {
            at++;
        }
        if (at > start && at - start == name.length &&
            strncasecmp(list.bytes + start, name.bytes, name.length) == 0) {
            return true;
        }
    }
    return false;
}

static bool
http_head_is_hop_field(const http_head *m, http_str name)
{
    for (size_t i = 0; i < HTTP_HEAD_ARRAY_LENGTH(http_head_hop_fields); i++) {
        if (http_str_equals_nocase(name, http_head_hop_fields[i])) {
            return true;
        }
    }
    return http_head_connection_names(m, name);
}

/* Write the end-to-end fields in their order, but for those that `skip`
 * (may be NULL) names. */
void
http_head_write_fields(bytebuf *out, const http_head *m,
                       http_head_skip_cb skip, void *payload)
{
    for (int i = 0; i < m->count; i++) {
        http_str name = http_head_span_text(m, m->fields[i].name);
        if (http_head_is_hop_field(m, name) ||
            (skip != NULL && skip(name, payload))) {
            continue;
        }
        http_str value = http_head_span_text(m, m->fields[i].value);
        bytebuf_append(out, name.bytes, name.length);
        bytebuf_append(out, ": ", 2);
        bytebuf_append(out, value.bytes, value.length);
        bytebuf_append(out, "\r\n", 2);
    }
}
