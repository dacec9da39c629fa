/*
 * bytebuf: a byte buffer that grows at its end and is consumed from its front.
 * It has no size limit of its own; the owner enforces one.  Its memory is
 * released when it becomes empty.
 */
#ifndef LAV_BYTEBUF_H
#define LAV_BYTEBUF_H

#include <stddef.h>

typedef struct bytebuf {
    char *data;
    size_t head; /* first unread byte */
    size_t end;  /* one past the last byte */
    size_t capacity;
} bytebuf;

void bytebuf_clear(bytebuf *b);
void bytebuf_append(bytebuf *b, const char *bytes, size_t length);
void bytebuf_append_text(bytebuf *b, const char *text);
void bytebuf_appendf(bytebuf *b, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void bytebuf_truncate(bytebuf *b, size_t length);
void bytebuf_consume(bytebuf *b, size_t length);
size_t bytebuf_length(const bytebuf *b);
const char *bytebuf_data(const bytebuf *b);

#endif
