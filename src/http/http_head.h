/*
 * http_head: the parsed head of one HTTP/1.1 message: method and target or
 * status, the header fields in order, and the framing of the body.
 */
#ifndef LAV_HTTP_HEAD_H
#define LAV_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bytebuf.h"

#define HTTP_HEAD_FIELDS_MAX 100   /* fields of one message */
#define HTTP_HEAD_NO_LENGTH (-1LL) /* no Content-Length field */

/* A range of bytes in http_head.text. */
typedef struct http_head_span {
    uint32_t offset;
    uint32_t length;
} http_head_span;

typedef struct http_head_field {
    http_head_span name;
    http_head_span value;
} http_head_field;

typedef struct http_head {
    bytebuf text; /* the target and all field names and values */
    http_head_span target;
    http_head_field fields[HTTP_HEAD_FIELDS_MAX];
    int count;
    bool too_many_fields; /* more than HTTP_HEAD_FIELDS_MAX */
    const char *method;   /* static text; NULL in a response */
    int status;           /* of a response */
    bool is_http_1_0;     /* HTTP/1.0, not 1.1 */
    bool keep_alive;
    bool chunked;
    bool body_until_eof;    /* a response that ends with the connection */
    int64_t content_length; /* or HTTP_HEAD_NO_LENGTH */
} http_head;

/* A string that is not NUL-terminated. */
typedef struct http_str {
    const char *bytes; /* NULL: no such field */
    size_t length;
} http_str;

/* Returns whether to leave out the field `name`. */
typedef bool (*http_head_skip_cb)(http_str name, void *payload);

void http_head_reset(http_head *head);
http_str http_head_get_target(const http_head *head);
http_str http_head_get_field(const http_head *head, const char *name);
int http_head_count_field(const http_head *head, const char *name);
bool http_head_is_coding_known(const http_head *head);
bool http_str_copy(char *out, size_t size, http_str text);
bool http_str_equals_nocase(http_str text, const char *other);
void http_head_write_fields(bytebuf *out, const http_head *head,
                            http_head_skip_cb skip, void *payload);

#endif
