#include "request_reader.h"

#include <stdbool.h>
#include <string.h>

/* Append a text with its length. */
void
request_reader_append(GString *out, http_str text)
{
    g_string_append_printf(out, "[%zu:", text.length);
    g_string_append_len(out, text.bytes, (gssize)text.length);
    g_string_append_c(out, ']');
}

/* A reader that goes by the grammar alone. */
typedef struct reader {
    const char *at;
    const char *end;
    GString *messages;
} reader;

/* Take a line, of which `*out` is the content.  `lenient`: a LF alone ends it
 * too. */
static bool
take_line(reader *r, http_str *out, bool lenient)
{
    const char *lf = memchr(r->at, '\n', (size_t)(r->end - r->at));
    if (lf == NULL) {
        return false;
    }
    bool crlf = lf > r->at && lf[-1] == '\r';
    *out = (http_str){r->at, (size_t)(lf - r->at) - (crlf ? 1 : 0)};
    r->at = lf + 1;
    return crlf || lenient;
}

/* Whether each byte is valid or one of `chars`. */
static bool
is_each(http_str text, const char *chars, bool (*valid)(char byte))
{
    for (size_t i = 0; i < text.length; i++) {
        if (!valid(text.bytes[i]) &&
            (text.bytes[i] == '\0' || strchr(chars, text.bytes[i]) == NULL)) {
            return false;
        }
    }
    return true;
}

/* Letters and digits. */
static bool
is_alnum(char byte)
{
    return g_ascii_isalnum(byte);
}

/* All but blanks and control bytes. */
static bool
is_visible(char byte)
{
    return (unsigned char)byte > ' ' && byte != '\177';
}

/* A token (RFC 9110, 5.6.2). */
static bool
is_token(http_str text)
{
    return text.length > 0 && is_each(text, "!#$%&'*+-.^_`|~", is_alnum);
}

/* Split at the first `separator`. */
static bool
split(http_str *first, http_str *rest, http_str text, char separator)
{
    const char *at = memchr(text.bytes, separator, text.length);
    if (at == NULL) {
        return false;
    }
    *first = (http_str){text.bytes, (size_t)(at - text.bytes)};
    *rest = (http_str){at + 1, text.length - first->length - 1};
    return true;
}

/* Remove blanks at the start, and at the end if `at_end`. */
static http_str
trim(http_str text, bool at_end)
{
    while (text.length > 0 && strchr(" \t", text.bytes[0]) != NULL) {
        text.bytes++;
        text.length--;
    }
    while (at_end && text.length > 0 &&
           strchr(" \t", text.bytes[text.length - 1]) != NULL) {
        text.length--;
    }
    return text;
}

/* The framing of a body. */
typedef struct framing {
    int lengths;
    int codings;
    uint64_t length;
    bool chunked;
} framing;

/* Take a field; `*last`: it is the empty line after them. */
static bool
take_field(reader *r, framing *f, bool *last, bool trailer)
{
    http_str line;
    http_str name;
    http_str value;
    if (!take_line(r, &line, true)) {
        return false;
    }
    *last = line.length == 0;
    if (*last) {
        return true;
    }
    if (!split(&name, &value, line, ':') || !is_token(name) ||
        !is_each(value, " \t", is_visible)) {
        return false;
    }
    if (trailer) {
        return true;
    }
    request_reader_append(r->messages, name);
    request_reader_append(r->messages, trim(value, false));
    char text[32];
    bool fits = http_str_copy(text, sizeof(text), trim(value, true));
    if (http_str_equals_nocase(name, "Content-Length")) {
        guint64 length = 0;
        f->lengths++;
        if (!fits || strspn(text, "0123456789") != strlen(text) ||
            !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &length,
                                        NULL)) {
            return false;
        }
        f->length = length;
    }
    else if (http_str_equals_nocase(name, "Transfer-Encoding")) {
        f->codings++;
        f->chunked = fits && g_ascii_strcasecmp(text, "chunked") == 0;
    }
    return true;
}

/* Take the fields of a head or trailer. */
static bool
take_fields(reader *r, framing *f, bool trailer)
{
    bool last = false;
    while (!last) {
        if (!take_field(r, f, &last, trailer)) {
            return false;
        }
    }
    return true;
}

/* Take a part of a body. */
static bool
take_bytes(reader *r, uint64_t length)
{
    if (length > (uint64_t)(r->end - r->at)) {
        return false;
    }
    g_string_append_len(r->messages, r->at, (gssize)length);
    r->at += length;
    return true;
}

/* Take a chunked body with its trailer. */
static bool
take_chunks(reader *r)
{
    for (;;) {
        http_str line;
        http_str size;
        http_str extension = {"", 0};
        char text[64];
        guint64 length = 0;
        if (!take_line(r, &line, false)) {
            return false;
        }
        if (!split(&size, &extension, line, ';')) {
            size = line;
        }
        if (!is_each(extension, " \t", is_visible) ||
            trim(size, false).length != size.length ||
            !http_str_copy(text, sizeof(text), trim(size, true)) ||
            strspn(text, "0123456789abcdefABCDEF") != strlen(text) ||
            !g_ascii_string_to_unsigned(text, 16, 0, G_MAXINT64, &length,
                                        NULL)) {
            return false;
        }
        if (length == 0) {
            framing ignored = {0};
            return take_fields(r, &ignored, true);
        }
        if (!take_bytes(r, length) || r->end - r->at < 2 ||
            memcmp(r->at, "\r\n", 2) != 0) {
            return false;
        }
        r->at += 2;
    }
}

/* Take a whole request. */
static bool
take_request(reader *r)
{
    http_str line;
    http_str method;
    http_str target;
    http_str version;
    framing f = {0};
    while (r->at < r->end && strchr("\r\n", *r->at) != NULL && *r->at != 0) {
        r->at++;
    }
    if (!take_line(r, &line, true) || !split(&method, &target, line, ' ') ||
        !split(&target, &version, target, ' ') || !is_token(method) ||
        target.length == 0 || !is_each(target, "", is_visible)) {
        return false;
    }
    g_string_append_len(r->messages, method.bytes, (gssize)method.length);
    request_reader_append(r->messages, target);
    char text[sizeof("HTTP/1.1")];
    if (!http_str_copy(text, sizeof(text), version) ||
        (strcmp(text, "HTTP/1.1") != 0 && strcmp(text, "HTTP/1.0") != 0) ||
        !take_fields(r, &f, false)) {
        return false;
    }
    g_string_append_printf(r->messages, " %s ", text + strlen("HTTP/"));
    if (f.lengths + f.codings > 1 || (f.codings == 1 && !f.chunked) ||
        (f.codings == 1 && strcmp(text, "HTTP/1.0") == 0)) {
        return false;
    }
    if (!(f.chunked ? take_chunks(r) : take_bytes(r, f.length))) {
        return false;
    }
    g_string_append(r->messages, " end\n");
    return true;
}

/* The whole requests at the start of the bytes. */
GString *
request_reader_read(const char *bytes, size_t length)
{
    reader r = {bytes, bytes + length, g_string_new(NULL)};
    size_t complete = 0;
    while (r.at < r.end && take_request(&r)) {
        complete = r.messages->len;
    }
    g_string_truncate(r.messages, complete);
    return r.messages;
}
