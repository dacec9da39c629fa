/*
 * sin: what the stand-ins share: a small HTTP server with a thread for each
 * connection, and answers.
 */
#ifndef LAV_SIN_H
#define LAV_SIN_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "lav/err.h"

#define SIN_PATH_SIZE 512

/* One request; the body ends with a NUL. */
typedef struct sin_request {
    struct MHD_Connection *connection;
    const char *method;
    char path[SIN_PATH_SIZE]; /* with the query */
    const char *url;          /* without it */
    size_t length;
    char *body;
} sin_request;

/* Answers by sin_text() and the like; MHD_NO closes the connection. */
typedef enum MHD_Result (*sin_cb)(const sin_request *request, void *payload);

typedef struct sin sin_server;

int sin_new(sin_server **out, int port, sin_cb callback, void *payload,
            err *e);
void sin_free(sin_server *s);
enum MHD_Result sin_text(const sin_request *request, unsigned status,
                         const char *text, const char *etag);
enum MHD_Result sin_cut(const sin_request *request, const char *text);
const char *sin_query(const sin_request *request, const char *name);
int sin_query_int(const sin_request *request, const char *name, int absent);
const char *sin_header(const sin_request *request, const char *name);
int sin_wait_for_signal(int timeout_ms);
void sin_catch_signals(void);

#endif
