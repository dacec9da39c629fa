#include "lav/err.h"

#include <stdarg.h>
#include <stdio.h>

/* Store an error in `e`; does nothing if `e` is NULL. */
static void
err_fill(err *e, int code, const char *where, int line, const char *format,
         va_list args)
{
    if (e == NULL) {
        return;
    }
    e->code = code;
    e->line = line;
    snprintf(e->where, sizeof(e->where), "%s", where);
    vsnprintf(e->message, sizeof(e->message), format, args);
}

/* Store a code and a printf-style message in `e` (may be NULL); see
 * ERR_SET(). */
void
err_set(err *e, int code, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    err_fill(e, code, "", 0, format, args);
    va_end(args);
}

/* As err_set(), with the input file and line (from 1) that caused the
 * error. */
void
err_set_at(err *e, int code, const char *where, int line, const char *format,
           ...)
{
    va_list args;
    va_start(args, format);
    err_fill(e, code, where, line, format, args);
    va_end(args);
}

/* Return the name of an err_code for logs and JSON output; "unlisted" for
 * any other value. */
const char *
err_code_name(int code)
{
    switch (code) {
    case ERR_OK:
        return "ok";
    case ERR_INVALID:
        return "invalid";
    case ERR_NOT_FOUND:
        return "not_found";
    case ERR_CONFLICT:
        return "conflict";
    case ERR_UNAVAILABLE:
        return "unavailable";
    case ERR_UNKNOWN:
        return "unknown";
    case ERR_FULL:
        return "full";
    case ERR_IO:
        return "io";
    case ERR_NO_MEMORY:
        return "no_memory";
    default:
        return "unlisted";
    }
}
