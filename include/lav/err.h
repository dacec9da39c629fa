/*
 * err: details of an error, filled in by calls that can fail.  Such a call
 * returns 0 or one of the negative codes below and stores the message and,
 * where an input is at fault, its file and line in the struct.
 */
#ifndef LAV_ERR_H
#define LAV_ERR_H

#ifdef __cplusplus
extern "C" {
#endif

#define ERR_MESSAGE_SIZE 512 /* bytes, including the NUL */
#define ERR_WHERE_SIZE 256   /* bytes, including the NUL */

enum err_code {
    ERR_OK = 0,
    ERR_INVALID = -1,     /* the input violates a documented rule */
    ERR_NOT_FOUND = -2,   /* no such object, key or entry */
    ERR_CONFLICT = -3,    /* the platform holds another version */
    ERR_UNAVAILABLE = -4, /* the remote end could not be reached */
    ERR_UNKNOWN = -5,     /* sent, but no trustworthy response arrived */
    ERR_FULL = -6,        /* a bounded table, ring or buffer is full */
    ERR_IO = -7,          /* a local file or socket operation failed */
    ERR_NO_MEMORY = -8    /* allocation failed */
};

typedef struct err {
    int code;
    char where[ERR_WHERE_SIZE]; /* input file, or empty */
    int line;                   /* line in that file from 1, or 0 */
    char message[ERR_MESSAGE_SIZE];
} err;

#define ERR_INIT                                                              \
    {                                                                         \
        0, "", 0, ""                                                          \
    }

/* Store an error in `e` (may be NULL) and evaluate to `code`; the argument
 * `code` is evaluated twice. */
#define ERR_SET(e, code, ...) (err_set((e), (code), __VA_ARGS__), (code))

/* As ERR_SET(), with the input file and line that caused the error. */
#define ERR_SET_AT(e, code, where, line, ...)                                 \
    (err_set_at((e), (code), (where), (line), __VA_ARGS__), (code))

void err_set(err *e, int code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void err_set_at(err *e, int code, const char *where, int line,
                const char *format, ...) __attribute__((format(printf, 5, 6)));
const char *err_code_name(int code);

#ifdef __cplusplus
}
#endif

#endif
