#include "http_syntax.h"

#include <glib.h>
#include <stdbool.h>

#include "lav/err.h"

/* The start of a status line: 'd' stands for a digit, 'c' for the class of a
 * status, which is 1 to 5. */
static const char http_syntax_status_pattern[] = "HTTP/1.d cdd";

#define HTTP_SYNTAX_STATUS_PATTERN_LENGTH                                     \
    (sizeof(http_syntax_status_pattern) - 1)

/* Result of a byte. */
enum http_syntax_step {
    HTTP_SYNTAX_NEXT,
    HTTP_SYNTAX_END, /* the last byte of a head */
    HTTP_SYNTAX_INVALID
};

/* Expect the status line of the next response. */
void
http_syntax_begin_response(http_syntax *s)
{
    *s = (http_syntax){.state = HTTP_SYNTAX_STATUS_LINE};
}

/* Expect a body, which ends where the parser finds its end. */
void
http_syntax_begin_body(http_syntax *s)
{
    s->state = HTTP_SYNTAX_BODY;
}

/* Return whether a byte matches a character of the status line's pattern. */
static bool
http_syntax_matches(char pattern, char byte)
{
    switch (pattern) {
    case 'd':
        return g_ascii_isdigit(byte);
    case 'c':
        return byte >= '1' && byte <= '5';
    default:
        return byte == pattern;
    }
}

/* Return whether a byte may be in a reason phrase. */
static bool
http_syntax_is_text(char byte)
{
    return byte == '\t' || !g_ascii_iscntrl(byte);
}

/* Check a byte up to the end of the status code.  Empty lines before it are
 * skipped, as http_parser does. */
static enum http_syntax_step
http_syntax_step_status_line(http_syntax *s, char byte)
{
    if (s->offset == 0 && (byte == '\r' || byte == '\n')) {
        return HTTP_SYNTAX_NEXT;
    }
    if (!http_syntax_matches(http_syntax_status_pattern[s->offset], byte)) {
        return HTTP_SYNTAX_INVALID;
    }
    s->offset++;
    if (s->offset == HTTP_SYNTAX_STATUS_PATTERN_LENGTH) {
        s->state = HTTP_SYNTAX_AFTER_STATUS;
    }
    return HTTP_SYNTAX_NEXT;
}

/* Go to a state if `valid`. */
static enum http_syntax_step
http_syntax_go(http_syntax *s, enum http_syntax_state state, bool valid)
{
    s->state = state;
    return valid ? HTTP_SYNTAX_NEXT : HTTP_SYNTAX_INVALID;
}

/* Check a byte of a head. */
static enum http_syntax_step
http_syntax_step(http_syntax *s, char byte)
{
    switch (s->state) {
    case HTTP_SYNTAX_STATUS_LINE:
        return http_syntax_step_status_line(s, byte);
    case HTTP_SYNTAX_AFTER_STATUS:
    case HTTP_SYNTAX_REASON:
        if (byte == '\r') {
            return http_syntax_go(s, HTTP_SYNTAX_STATUS_LF, true);
        }
        if (byte == '\n') {
            return http_syntax_go(s, HTTP_SYNTAX_LINE_START, true);
        }
        return http_syntax_go(s, HTTP_SYNTAX_REASON,
                              s->state == HTTP_SYNTAX_AFTER_STATUS
                                  ? byte == ' '
                                  : http_syntax_is_text(byte));
    case HTTP_SYNTAX_STATUS_LF:
        return http_syntax_go(s, HTTP_SYNTAX_LINE_START, byte == '\n');
    case HTTP_SYNTAX_LINE_START:
        if (byte == '\n') {
            return HTTP_SYNTAX_END;
        }
        return http_syntax_go(
            s, byte == '\r' ? HTTP_SYNTAX_LINE_START : HTTP_SYNTAX_LINE, true);
    case HTTP_SYNTAX_LINE:
        return http_syntax_go(
            s, byte == '\n' ? HTTP_SYNTAX_LINE_START : HTTP_SYNTAX_LINE, true);
    case HTTP_SYNTAX_BODY:
        break;
    }
    return HTTP_SYNTAX_INVALID;
}

/* Check the next bytes up to the end of a head, and set `*out` to their
 * number, which is at least 1.  They go to http_parser before the next call;
 * its callbacks then tell what follows the head.  ERR_INVALID: they are not
 * part of a valid response. */
int
http_syntax_check(size_t *out, http_syntax *s, const char *bytes,
                  size_t length)
{
    *out = length;
    if (s->state == HTTP_SYNTAX_BODY) {
        return 0;
    }
    for (size_t i = 0; i < length; i++) {
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
    return 0;
}
