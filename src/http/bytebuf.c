#include "bytebuf.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BYTEBUF_CAPACITY_MIN 512 /* bytes of the first allocation */
#define BYTEBUF_LINE_SIZE 1024   /* bytes of one formatted piece */

/* Release the memory; the buffer is empty and may be used again. */
void
bytebuf_clear(bytebuf *b)
{
    g_free(b->data);
    *b = (bytebuf){0};
}

/* Make room for `length` more bytes at the end. */
static void
bytebuf_reserve(bytebuf *b, size_t length)
{
    size_t held = b->end - b->head;
    if (b->head > 0 && (held == 0 || b->end + length > b->capacity)) {
        memmove(b->data, b->data + b->head, held);
        b->head = 0;
        b->end = held;
    }
    if (b->end + length <= b->capacity) {
        return;
    }
    size_t capacity = MAX(b->capacity * 2, BYTEBUF_CAPACITY_MIN);
    while (capacity < b->end + length) {
        capacity *= 2;
    }
    b->data = g_realloc(b->data, capacity);
    b->capacity = capacity;
}

/* Append bytes. */
void
bytebuf_append(bytebuf *b, const char *bytes, size_t length)
{
    if (length == 0) {
        return;
    }
    bytebuf_reserve(b, length);
    memcpy(b->data + b->end, bytes, length);
    b->end += length;
}

/* Append a NUL-terminated text without its NUL. */
void
bytebuf_append_text(bytebuf *b, const char *text)
{
    bytebuf_append(b, text, strlen(text));
}

/* Append formatted text of less than BYTEBUF_LINE_SIZE bytes. */
void
bytebuf_appendf(bytebuf *b, const char *format, ...)
{
    char line[BYTEBUF_LINE_SIZE];
    va_list args;
    va_start(args, format);
    int length = vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    g_assert(length >= 0 && length < BYTEBUF_LINE_SIZE);
    bytebuf_append(b, line, (size_t)length);
}

/* Consume `length` bytes from the front. */
void
bytebuf_consume(bytebuf *b, size_t length)
{
    b->head += length;
    if (b->head == b->end) {
        bytebuf_clear(b);
    }
}

/* Unread bytes. */
size_t
bytebuf_length(const bytebuf *b)
{
    return b->end - b->head;
}

/* The first unread byte. */
const char *
bytebuf_data(const bytebuf *b)
{
    return b->data == NULL ? "" : b->data + b->head;
}
