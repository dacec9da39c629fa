/*
 * http_syntax: checks the bytes of the requests or responses on a connection
 * against the grammar of HTTP/1.1 (RFC 9112) before http_parser gets them,
 * which Debian builds in its lenient mode.  It finds where heads, chunk sizes
 * and trailers end, but does not interpret them: the owner tells what follows.
 * Pure; all state is in the structure.
 */
#ifndef LAV_HTTP_SYNTAX_H
#define LAV_HTTP_SYNTAX_H

#include <stddef.h>
#include <stdint.h>

/* Where the next byte belongs. */
enum http_syntax_state {
    HTTP_SYNTAX_METHOD,
    HTTP_SYNTAX_TARGET,
    HTTP_SYNTAX_VERSION,      /* of a request */
    HTTP_SYNTAX_LINE_END,     /* CR or LF */
    HTTP_SYNTAX_STATUS_LINE,  /* up to the status code */
    HTTP_SYNTAX_AFTER_STATUS, /* the byte after the status code */
    HTTP_SYNTAX_REASON,
    HTTP_SYNTAX_LINE_LF, /* the LF that must follow the CR of a line */
    HTTP_SYNTAX_FIELD_START,
    HTTP_SYNTAX_FIELD_NAME,
    HTTP_SYNTAX_FIELD_VALUE,
    HTTP_SYNTAX_FIELDS_LF, /* the LF of the empty line after the fields */
    HTTP_SYNTAX_BODY,      /* that is not chunked */
    HTTP_SYNTAX_CHUNK_SIZE,
    HTTP_SYNTAX_CHUNK_BLANK, /* blanks after the size */
    HTTP_SYNTAX_CHUNK_EXTENSION,
    HTTP_SYNTAX_CHUNK_SIZE_LF,
    HTTP_SYNTAX_CHUNK_DATA,
    HTTP_SYNTAX_CHUNK_CR,
    HTTP_SYNTAX_CHUNK_LF
};

typedef struct http_syntax {
    enum http_syntax_state state;
    size_t offset; /* in the part of a start line that is checked */
    uint64_t left; /* bytes to come of a chunk, while in its data */
} http_syntax;

void http_syntax_begin_request(http_syntax *s);
void http_syntax_begin_response(http_syntax *s);
void http_syntax_begin_body(http_syntax *s);
void http_syntax_begin_chunks(http_syntax *s);
void http_syntax_begin_chunk(http_syntax *s, uint64_t length);
int http_syntax_check(size_t *out, http_syntax *s, const char *bytes,
                      size_t length);

#endif
