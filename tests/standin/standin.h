/*
 * Small HTTP server shared by the stand-ins for the platform and the targets,
 * and helpers that send responses.  Requests are handled at the same time, on
 * threads that run already: on a busy machine a thread started for a request
 * might begin it seconds later.
 */
#ifndef LAV_STANDIN_H
#define LAV_STANDIN_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "lav/err.h"

#define STANDIN_PATH_SIZE 512

typedef struct standin_state standin_state;

/* One request; the body ends with a NUL. */
typedef struct standin_request {
    standin_state *state;
    struct MHD_Connection *connection;
    const char *method;
    char path[STANDIN_PATH_SIZE]; /* with the query */
    const char *url;              /* without it */
    size_t length;
    char *body;
} standin_request;

/* Responds with standin_reply() or a similar function; MHD_NO closes the
 * connection. */
typedef enum MHD_Result (*standin_cb)(const standin_request *request,
                                      void *payload);

typedef struct standin_http standin_server;

int standin_new(standin_server **out, int port, standin_cb callback,
                void *payload, err *e);
void standin_free(standin_server *s);
enum MHD_Result standin_reply(const standin_request *request, unsigned status,
                              const char *text, const char *etag);
enum MHD_Result standin_reply_truncated(const standin_request *request,
                                        const char *text);
const char *standin_get_query(const standin_request *request,
                              const char *name);
int standin_get_query_int(const standin_request *request, const char *name,
                          int absent);
const char *standin_get_header(const standin_request *request,
                               const char *name);
int standin_wait_for_signal(int timeout_ms);
void standin_catch_signals(void);

#endif
