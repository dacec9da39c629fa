/*
 * pending_table: bounded table of the calls received over HTTP that have not
 * been answered yet. A call is referred to by its handle. The HTTP server
 * (ingress) fills in the request; the router owns the entry until it has
 * stored the response there.
 */
#ifndef LAV_NODE_PENDING_H
#define LAV_NODE_PENDING_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/id.h"
#include "lav/msg.h"
#include "lav/reason.h"

#define PENDING_NONE (-1)

struct MHD_Connection;

typedef struct pending_response {
    enum outcome outcome;
    enum reason reason;
    int status; /* HTTP status of the target, for OUTCOME_DONE */
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
} pending_response;

typedef struct pending_call {
    bool used;
    struct MHD_Connection *connection;
    int socket;         /* of the caller, polled for disconnection */
    bool from_target;   /* made by the local target */
    bool has_context;   /* `token` is set */
    bool has_id;        /* the caller supplied the request id */
    bool invalid_id;    /* ... but it could not be parsed */
    int caller_attempt; /* attempt number given by the caller; 0: none */
    bool earlier_attempts_not_run; /* the caller says that all earlier
                                    * attempts were answered "not run" */
    uint64_t token; /* of the served call that this one is made for */
    id request;
    char key[ID_KEY_SIZE]; /* distinguishes calls of the same operation */
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char method[8];
    char path[MSG_PATH_SIZE];
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
    pending_response response;
} pending_call;

typedef struct pending_table pending_table;

int pending_new(pending_table **out, size_t capacity);
void pending_free(pending_table *table);
int pending_acquire(pending_table *table);
void pending_release(pending_table *table, int handle);
pending_call *pending_get(pending_table *table, int handle);
size_t pending_capacity(const pending_table *table);

#endif
