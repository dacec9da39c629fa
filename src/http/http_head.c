#include "http_head.h"

#include <string.h>
#include <strings.h>

/* Hop-by-hop fields (RFC 9110, 7.6.1) and the fields that the framing of the
 * next hop replaces. */
static const char *const http_head_hop_by_hop_fields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

#define HTTP_HEAD_ARRAY_LENGTH(list) (sizeof(list) / sizeof((list)[0]))

/* Reset to the state before a message and release the memory. */
void
http_head_reset(http_head *head)
{
    bytebuf_clear(&head->text);
    head->target = (http_head_span){0, 0};
    head->count = 0;
    head->too_many_fields = false;
    head->method = NULL;
    head->status = 0;
    head->is_http_1_0 = false;
    head->keep_alive = false;
    head->chunked = false;
    head->body_until_eof = false;
    head->content_length = HTTP_HEAD_NO_LENGTH;
}

/* Return the string of a span; valid until the head is next modified. */
static http_str
http_head_span_str(const http_head *head, http_head_span span)
{
    return (http_str){bytebuf_data(&head->text) + span.offset, span.length};
}

/* Return the request target: path and query as received. */
http_str
http_head_get_target(const http_head *head)
{
    return http_head_span_str(head, head->target);
}

/* Return whether `text` equals `other`, ignoring case; false if `text` is
 * NULL. */
bool
http_str_equals_nocase(http_str text, const char *other)
{
    return text.bytes != NULL && strlen(other) == text.length &&
           strncasecmp(text.bytes, other, text.length) == 0;
}

/* Return the value of the first field named `name` (case is ignored); `bytes`
 * is NULL if there is none. */
http_str
http_head_get_field(const http_head *head, const char *name)
{
    for (int i = 0; i < head->count; i++) {
        if (http_str_equals_nocase(
                http_head_span_str(head, head->fields[i].name), name)) {
            return http_head_span_str(head, head->fields[i].value);
        }
    }
    return (http_str){NULL, 0};
}

/* Return the number of fields named `name` (case is ignored). */
int
http_head_count_field(const http_head *head, const char *name)
{
    int count = 0;
    for (int i = 0; i < head->count; i++) {
        count += http_str_equals_nocase(
            http_head_span_str(head, head->fields[i].name), name);
    }
    return count;
}

/* Return whether the body has no transfer coding but chunked, once: bodies are
 * relayed without the Transfer-Encoding field, so another coding would be
 * taken for the content.  HTTP/1.0 has none. */
bool
http_head_is_coding_known(const http_head *head)
{
    http_str coding = http_head_get_field(head, "Transfer-Encoding");
    if (coding.bytes == NULL) {
        return true;
    }
    return head->chunked && !head->is_http_1_0 &&
           http_head_count_field(head, "Transfer-Encoding") == 1 &&
           memchr(coding.bytes, ',', coding.length) == NULL;
}

/* Copy `text` to `out`, an array of `size` bytes, with a NUL.  Returns false
 * and makes `out` empty if the text is NULL or does not fit. */
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

/* Return whether the Connection field lists `name` (case is ignored). */
static bool
http_head_is_in_connection_field(const http_head *head, http_str name)
{
    http_str list = http_head_get_field(head, "Connection");
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

/* Return whether a field must not be forwarded to the next hop. */
static bool
http_head_is_hop_by_hop(const http_head *head, http_str name)
{
    for (size_t i = 0; i < HTTP_HEAD_ARRAY_LENGTH(http_head_hop_by_hop_fields);
         i++) {
        if (http_str_equals_nocase(name, http_head_hop_by_hop_fields[i])) {
            return true;
        }
    }
    return http_head_is_in_connection_field(head, name);
}

/* Append the end-to-end fields in their order, except those for which `skip`
 * (may be NULL) returns true. */
void
http_head_write_fields(bytebuf *out, const http_head *head,
                       http_head_skip_cb skip, void *payload)
{
    for (int i = 0; i < head->count; i++) {
        http_str name = http_head_span_str(head, head->fields[i].name);
        if (http_head_is_hop_by_hop(head, name) ||
            (skip != NULL && skip(name, payload))) {
            continue;
        }
        http_str value = http_head_span_str(head, head->fields[i].value);
        bytebuf_append(out, name.bytes, name.length);
        bytebuf_append(out, ": ", 2);
        bytebuf_append(out, value.bytes, value.length);
        bytebuf_append(out, "\r\n", 2);
    }
}
