#include "http_syntax.h"

#include <glib.h>
#include <limits.h>
#include <stdbool.h>

#include "lav/err.h"

/* The start of a status line: 'd' stands for a digit, 'c' for the class of a
 * status, which is 1 to 5. */
static const char http_syntax_status_pattern[] = "HTTP/1.d cdd";

/* The version of a request: 'm' stands for the minor version, 0 or 1. */
static const char http_syntax_version_pattern[] = "HTTP/1.m";

/* The characters of a token (RFC 9110, 5.6.2). */
static const bool http_syntax_tokens[UCHAR_MAX + 1] = {
    ['!'] = true,         ['#' ... '\''] = true, ['*' ... '+'] = true,
    ['-' ... '.'] = true, ['0' ... '9'] = true,  ['A' ... 'Z'] = true,
    ['^' ... 'z'] = true, ['|'] = true,          ['~'] = true,
};

/* The bytes of a reason phrase or a field value. */
static const bool http_syntax_text_bytes[UCHAR_MAX + 1] = {
    ['\t'] = true, [' ' ... '~'] = true, [0x80 ... UCHAR_MAX] = true};

/* The bytes of a request target.  Those outside ASCII are forwarded as they
 * are. */
static const bool http_syntax_target_bytes[UCHAR_MAX + 1] = {
    ['!' ... '~'] = true, [0x80 ... UCHAR_MAX] = true};

/* Result of a byte. */
enum http_syntax_step {
    HTTP_SYNTAX_NEXT,
    HTTP_SYNTAX_END, /* the last byte of a part that the parser interprets */
    HTTP_SYNTAX_INVALID
};

/* Expect the request line of the next request. */
void
http_syntax_begin_request(http_syntax *s)
{
    *s = (http_syntax){.state = HTTP_SYNTAX_METHOD};
}

/* Expect the status line of the next response. */
void
http_syntax_begin_response(http_syntax *s)
{
    *s = (http_syntax){.state = HTTP_SYNTAX_STATUS_LINE};
}

/* Expect a body that is not chunked; the parser finds its end. */
void
http_syntax_begin_body(http_syntax *s)
{
    s->state = HTTP_SYNTAX_BODY;
}

/* Expect the size of the first chunk of a body. */
void
http_syntax_begin_chunks(http_syntax *s)
{
    s->state = HTTP_SYNTAX_CHUNK_SIZE;
}

/* Expect the data of a chunk of `length` bytes; after that of 0 bytes, which
 * is the last one, the trailer. */
void
http_syntax_begin_chunk(http_syntax *s, uint64_t length)
{
    s->state = length > 0 ? HTTP_SYNTAX_CHUNK_DATA : HTTP_SYNTAX_FIELD_START;
    s->left = length;
}

/* Return whether a byte matches a character of a pattern. */
static bool
http_syntax_matches(char pattern, char byte)
{
    switch (pattern) {
    case 'd':
        return g_ascii_isdigit(byte);
    case 'c':
        return byte >= '1' && byte <= '5';
    case 'm':
        return byte == '0' || byte == '1';
    default:
        return byte == pattern;
    }
}

/* Return whether a byte may be in a reason phrase or a field value. */
static bool
http_syntax_is_text(char byte)
{
    return http_syntax_text_bytes[(unsigned char)byte];
}

/* Return whether a byte may be in a field name. */
static bool
http_syntax_is_token(char byte)
{
    return http_syntax_tokens[(unsigned char)byte];
}

/* Return whether a byte may be in a request target. */
static bool
http_syntax_is_target(char byte)
{
    return http_syntax_target_bytes[(unsigned char)byte];
}

/* Return the characters that go on with the present part and leave the state as
 * it is; NULL if each byte has to be checked by http_syntax_step(). */
static const bool *
http_syntax_get_run(const http_syntax *s)
{
    switch (s->state) {
    case HTTP_SYNTAX_METHOD:
        return s->offset > 0 ? http_syntax_tokens : NULL;
    case HTTP_SYNTAX_TARGET:
        return s->offset > 0 ? http_syntax_target_bytes : NULL;
    case HTTP_SYNTAX_FIELD_NAME:
        return http_syntax_tokens;
    case HTTP_SYNTAX_FIELD_VALUE:
        return http_syntax_text_bytes;
    default:
        return NULL;
    }
}

/* Return how many of the bytes go on with the present part. */
static size_t
http_syntax_count_run(const http_syntax *s, const char *bytes, size_t length)
{
    size_t count = 0;
    const bool *run = http_syntax_get_run(s);
    if (run != NULL) {
        while (count < length && run[(unsigned char)bytes[count]]) {
            count++;
        }
    }
    return count;
}

/* Go to a state if `valid`. */
static enum http_syntax_step
http_syntax_go(http_syntax *s, enum http_syntax_state state, bool valid)
{
    s->state = state;
    return valid ? HTTP_SYNTAX_NEXT : HTTP_SYNTAX_INVALID;
}

/* Return whether a byte belongs to an empty line before a start line; those
 * are skipped, as http_parser does. */
static bool
http_syntax_is_before_start(const http_syntax *s, char byte)
{
    return s->offset == 0 && (byte == '\r' || byte == '\n');
}

/* Check a byte against a pattern, after which `next` follows. */
static enum http_syntax_step
http_syntax_step_pattern(http_syntax *s, const char *pattern, char byte,
                         enum http_syntax_state next)
{
    if (!http_syntax_matches(pattern[s->offset], byte)) {
        return HTTP_SYNTAX_INVALID;
    }
    s->offset++;
    if (pattern[s->offset] == '\0') {
        s->state = next;
    }
    return HTTP_SYNTAX_NEXT;
}

/* Check a byte of a method or target, which ends with one blank. */
static enum http_syntax_step
http_syntax_step_word(http_syntax *s, char byte, bool valid,
                      enum http_syntax_state next)
{
    if (byte == ' ' && s->offset > 0) {
        s->offset = 0;
        return http_syntax_go(s, next, true);
    }
    s->offset++;
    return http_syntax_go(s, s->state, valid);
}

/* Check a byte of a text that ends with its line. */
static enum http_syntax_step
http_syntax_step_text(http_syntax *s, enum http_syntax_state state, char byte)
{
    if (byte == '\r') {
        return http_syntax_go(s, HTTP_SYNTAX_LINE_LF, true);
    }
    if (byte == '\n') {
        return http_syntax_go(s, HTTP_SYNTAX_FIELD_START, true);
    }
    return http_syntax_go(s, state, http_syntax_is_text(byte));
}

/* Check a byte of the line of a chunk's size.  The parser checks that there is
 * a digit, and the range. */
static enum http_syntax_step
http_syntax_step_chunk_size(http_syntax *s, char byte)
{
    if (s->state == HTTP_SYNTAX_CHUNK_SIZE_LF) {
        return byte == '\n' ? HTTP_SYNTAX_END : HTTP_SYNTAX_INVALID;
    }
    if (byte == '\r') {
        return http_syntax_go(s, HTTP_SYNTAX_CHUNK_SIZE_LF, true);
    }
    if (s->state == HTTP_SYNTAX_CHUNK_EXTENSION || byte == ';') {
        return http_syntax_go(s, HTTP_SYNTAX_CHUNK_EXTENSION,
                              http_syntax_is_text(byte));
    }
    if (byte == ' ' || byte == '\t') {
        return http_syntax_go(s, HTTP_SYNTAX_CHUNK_BLANK, true);
    }
    return s->state == HTTP_SYNTAX_CHUNK_SIZE && g_ascii_isxdigit(byte)
               ? HTTP_SYNTAX_NEXT
               : HTTP_SYNTAX_INVALID;
}

/* Check a byte outside bodies and the data of chunks.  A line that begins with
 * a blank, which once continued the line before it, has no valid name. */
static enum http_syntax_step
http_syntax_step(http_syntax *s, char byte)
{
    switch (s->state) {
    case HTTP_SYNTAX_METHOD:
        return http_syntax_is_before_start(s, byte)
                   ? HTTP_SYNTAX_NEXT
                   : http_syntax_step_word(s, byte, http_syntax_is_token(byte),
                                           HTTP_SYNTAX_TARGET);
    case HTTP_SYNTAX_TARGET:
        return http_syntax_step_word(s, byte, http_syntax_is_target(byte),
                                     HTTP_SYNTAX_VERSION);
    case HTTP_SYNTAX_VERSION:
        return http_syntax_step_pattern(s, http_syntax_version_pattern, byte,
                                        HTTP_SYNTAX_LINE_END);
    case HTTP_SYNTAX_STATUS_LINE:
        return http_syntax_is_before_start(s, byte)
                   ? HTTP_SYNTAX_NEXT
                   : http_syntax_step_pattern(s, http_syntax_status_pattern,
                                              byte, HTTP_SYNTAX_AFTER_STATUS);
    case HTTP_SYNTAX_LINE_END:
        return byte == '\r' || byte == '\n'
                   ? http_syntax_step_text(s, s->state, byte)
                   : HTTP_SYNTAX_INVALID;
    case HTTP_SYNTAX_AFTER_STATUS:
        if (byte != ' ' && byte != '\r' && byte != '\n') {
            return HTTP_SYNTAX_INVALID;
        }
        return http_syntax_step_text(s, HTTP_SYNTAX_REASON, byte);
    case HTTP_SYNTAX_REASON:
    case HTTP_SYNTAX_FIELD_VALUE:
        return http_syntax_step_text(s, s->state, byte);
    case HTTP_SYNTAX_LINE_LF:
        return http_syntax_go(s, HTTP_SYNTAX_FIELD_START, byte == '\n');
    case HTTP_SYNTAX_FIELD_START:
        if (byte == '\n') {
            return HTTP_SYNTAX_END;
        }
        return byte == '\r' ? http_syntax_go(s, HTTP_SYNTAX_FIELDS_LF, true)
                            : http_syntax_go(s, HTTP_SYNTAX_FIELD_NAME,
                                             http_syntax_is_token(byte));
    case HTTP_SYNTAX_FIELD_NAME:
        return byte == ':' ? http_syntax_go(s, HTTP_SYNTAX_FIELD_VALUE, true)
                           : http_syntax_go(s, HTTP_SYNTAX_FIELD_NAME,
                                            http_syntax_is_token(byte));
    case HTTP_SYNTAX_FIELDS_LF:
        return byte == '\n' ? HTTP_SYNTAX_END : HTTP_SYNTAX_INVALID;
    case HTTP_SYNTAX_CHUNK_SIZE:
    case HTTP_SYNTAX_CHUNK_BLANK:
    case HTTP_SYNTAX_CHUNK_EXTENSION:
    case HTTP_SYNTAX_CHUNK_SIZE_LF:
        return http_syntax_step_chunk_size(s, byte);
    case HTTP_SYNTAX_CHUNK_CR:
        return http_syntax_go(s, HTTP_SYNTAX_CHUNK_LF, byte == '\r');
    case HTTP_SYNTAX_CHUNK_LF:
        return http_syntax_go(s, HTTP_SYNTAX_CHUNK_SIZE, byte == '\n');
    case HTTP_SYNTAX_BODY:
    case HTTP_SYNTAX_CHUNK_DATA:
        break;
    }
    return HTTP_SYNTAX_INVALID;
}

/* Check the next bytes up to the end of a head, chunk size, chunk's data or
 * trailer, and set `*out` to their number, which is at least 1.  They go to
 * http_parser before the next call; its callbacks then tell what follows.
 * ERR_INVALID: they are not part of a valid message. */
int
http_syntax_check(size_t *out, http_syntax *s, const char *bytes,
                  size_t length)
{
    *out = length;
    if (s->state == HTTP_SYNTAX_BODY) {
        return 0;
    }
    if (s->state == HTTP_SYNTAX_CHUNK_DATA) {
        *out = (size_t)MIN((uint64_t)length, s->left);
        s->left -= *out;
        if (s->left == 0) {
            s->state = HTTP_SYNTAX_CHUNK_CR;
        }
        return 0;
    }
    for (size_t i = 0;; i++) {
        i += http_syntax_count_run(s, bytes + i, length - i);
        if (i == length) {
            return 0;
        }
        switch (http_syntax_step(s, bytes[i])) {
        case HTTP_SYNTAX_NEXT:
            break;
        case HTTP_SYNTAX_END:
            *out = i + 1;
            return 0;
        case HTTP_SYNTAX_INVALID:
            return ERR_INVALID;
        }
    }
}
