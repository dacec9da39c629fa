/*
 * http_syntax: checks the bytes of the responses on a connection against the
 * grammar of HTTP/1.1 (RFC 9112) before http_parser gets them, which Debian
 * builds in its lenient mode.  It finds where heads end, but does not
 * interpret their fields: the owner tells where a body begins and where the
 * next response does.  Pure; all state is in the structure.
 */
#ifndef LAV_HTTP_SYNTAX_H
#define LAV_HTTP_SYNTAX_H

#include <stddef.h>

/* Where the next byte belongs. */
enum http_syntax_state {
    HTTP_SYNTAX_STATUS_LINE,  /* up to the status code */
    HTTP_SYNTAX_AFTER_STATUS, /* the byte after the status code */
    HTTP_SYNTAX_REASON,
    HTTP_SYNTAX_STATUS_LF, /* the LF that must follow a CR */
    HTTP_SYNTAX_LINE_START,
    HTTP_SYNTAX_LINE,
    HTTP_SYNTAX_BODY
};

typedef struct http_syntax {
    enum http_syntax_state state;
    size_t offset; /* in the status line, while in that state */
} http_syntax;

void http_syntax_begin_response(http_syntax *s);
void http_syntax_begin_body(http_syntax *s);
int http_syntax_check(size_t *out, http_syntax *s, const char *bytes,
                      size_t length);

#endif
