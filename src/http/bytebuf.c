#include "bytebuf.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BYTEBUF_CAPACITY_MIN 512 /* bytes; first allocation */
#define BYTEBUF_FORMAT_SIZE 1024 /* bytes, including the NUL */

/* Empty the buffer and release its memory; it can be used again. */
void
bytebuf_clear(bytebuf *b)
{
    g_free(b->data);
    *b = (bytebuf){0};
}

/* Make room for `length` more bytes at the end, first by moving the unread
 * bytes to the start, then by growing. */
static void
bytebuf_reserve(bytebuf *b, size_t length)
{
    size_t unread = b->end - b->head;
    if (b->head > 0 && (unread == 0 || b->end + length > b->capacity)) {
        memmove(b->data, b->data + b->head, unread);
        b->head = 0;
        b->end = unread;
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

/* Append `length` bytes. */
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

/* Append a NUL-terminated string without its NUL. */
void
bytebuf_append_text(bytebuf *b, const char *text)
{
    bytebuf_append(b, text, strlen(text));
}

/* Append printf-style text, which must be shorter than BYTEBUF_FORMAT_SIZE
 * bytes. */
void
bytebuf_appendf(bytebuf *b, const char *format, ...)
{
    char text[BYTEBUF_FORMAT_SIZE];
    va_list args;
    va_start(args, format);
    int length = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    g_assert(length >= 0 && length < BYTEBUF_FORMAT_SIZE);
    bytebuf_append(b, text, (size_t)length);
}

/* Remove `length` bytes from the front; at most bytebuf_length(). */
void
bytebuf_consume(bytebuf *b, size_t length)
{
    b->head += length;
    if (b->head == b->end) {
        bytebuf_clear(b);
    }
}

/* Remove all unread bytes but the first `length`; at most
 * bytebuf_length(). */
void
bytebuf_truncate(bytebuf *b, size_t length)
{
    b->end = b->head + length;
    if (length == 0) {
        bytebuf_clear(b);
    }
}

/* Return the number of unread bytes. */
size_t
bytebuf_length(const bytebuf *b)
{
    return b->end - b->head;
}

/* Return the unread bytes; valid until the buffer is next modified. */
const char *
bytebuf_data(const bytebuf *b)
{
    return b->data == NULL ? "" : b->data + b->head;
}
