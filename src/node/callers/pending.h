/*
 * pending_table: the calls of callers that this node has taken and not yet answered,
 * in a bounded table.  A call is named by its handle; caller_http fills the
 * request in, the router owns it until it has put the answer there.
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

typedef struct pending_answer {
    enum outcome outcome;
    enum reason reason;
    int status; /* HTTP status, of the target where done */
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
} pending_answer;

typedef struct pending_call {
    bool used;
    struct MHD_Connection *connection;
    int socket;       /* of the caller, to notice that it has gone */
    bool from_target; /* the local target's own call */
    bool has_context;
    bool has_id;        /* the caller named the request */
    bool invalid_id;    /* ... with a text that is not an id */
    int caller_attempt; /* as the caller counts; 0: not said */
    bool
        earlier_attempts_not_run; /* it was told "not run" of all earlier ones */
    uint64_t token;               /* of the call that the target serves */
    id request;
    char key[ID_KEY_SIZE]; /* tells calls of one operation apart */
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char method[8];
    char path[MSG_PATH_SIZE];
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
    pending_answer answer;
} pending_call;

typedef struct pending_table pending_table;

int pending_new(pending_table **out, size_t calls_max);
void pending_free(pending_table *c);
int pending_acquire(pending_table *c);
void pending_release(pending_table *c, int handle);
pending_call *pending_get(pending_table *c, int handle);
size_t pending_capacity(const pending_table *c);

#endif
