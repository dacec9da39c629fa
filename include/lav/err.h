/*
 * err: the error struct that is passed down through every call that can
 * fail.  A function returns 0 or one of the negative codes below and leaves
 * the detail (message, file and line of the input at fault) in the struct.
 */
#ifndef LAV_ERR_H
#define LAV_ERR_H

#ifdef __cplusplus
extern "C" {
#endif

#define ERR_MESSAGE_SIZE 512 /* bytes, with the closing NUL */
#define ERR_WHERE_SIZE 256   /* bytes, with the closing NUL */

enum err_code {
    ERR_OK = 0,
    ERR_INVALID = -1,     /* input that breaks a documented rule */
    ERR_NOT_FOUND = -2,   /* no such object, key or entry */
    ERR_CONFLICT = -3,    /* the version on the platform is another */
    ERR_UNAVAILABLE = -4, /* the other side could not be reached */
    ERR_UNKNOWN = -5,     /* sent, and no trustworthy answer came */
    ERR_FULL = -6,        /* a bounded table, ring or buffer is full */
    ERR_IO = -7,          /* a file or socket of this host failed */
    ERR_NO_MEMORY = -8    /* allocation failed */
};

typedef struct err {
    int code;
    char where[ERR_WHERE_SIZE]; /* input file, or empty */
    int line;                   /* line in that file, or 0 */
    char message[ERR_MESSAGE_SIZE];
} err;

#define ERR_INIT                                                              \
    {                                                                         \
        0, "", 0, ""                                                          \
    }

/* Fill an error (NULL: none) and yield `code`, which is evaluated twice. */
#define ERR_SET(e, code, ...) (err_set((e), (code), __VA_ARGS__), (code))

/* The same with the input file and the line at fault. */
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
