/*
 * http_head: the head of one HTTP/1.1 message as it was parsed: method and target
 * or status, the header fields in their order, and how the body is framed.
 */
#ifndef LAV_HTTP_HEAD_H
#define LAV_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bytebuf.h"

#define HTTP_HEAD_FIELDS_MAX 100   /* header fields of one message */
#define HTTP_HEAD_NO_LENGTH (-1LL) /* no Content-Length was given */

typedef struct http_head_span {
    uint32_t at;
    uint32_t length;
} http_head_span;

typedef struct http_head_field {
    http_head_span name;
    http_head_span value;
} http_head_field;

typedef struct http_head {
    bytebuf text; /* all names and values, and the target */
    http_head_span target;
    http_head_field fields[HTTP_HEAD_FIELDS_MAX];
    int count;
    bool overflow;      /* more fields than fit */
    const char *method; /* static text; NULL in an answer */
    int status;         /* of an answer */
    bool is_http_1_0;   /* HTTP/1.0 */
    bool keep_alive;
    bool chunked;
    bool body_until_eof; /* an answer that ends with its connection */
    int64_t content_length;
} http_head;

typedef struct http_str {
    const char *bytes; /* NULL: there is no such field */
    size_t length;
} http_str;

typedef bool (*http_head_skip_cb)(http_str name, void *payload);

void http_head_reset(http_head *m);
http_str http_head_get_target(const http_head *m);
http_str http_head_get_field(const http_head *m, const char *name);
int http_head_count_field(const http_head *m, const char *name);
bool http_str_copy(char *out, size_t size, http_str text);
bool http_str_equals_nocase(http_str text, const char *word);
void http_head_write_fields(bytebuf *out, const http_head *m,
                            http_head_skip_cb skip, void *payload);

#endif
