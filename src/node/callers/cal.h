/*
 * cal: the calls of callers that this node has taken and not yet answered,
 * in a bounded table.  A call is named by its handle; inbound fills the
 * request in, the router owns it until it has put the answer there.
 */
#ifndef LAV_NODE_CAL_H
#define LAV_NODE_CAL_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/id.h"
#include "lav/msg.h"
#include "lav/reason.h"

#define CAL_NONE (-1)

struct MHD_Connection;

typedef struct cal_answer {
    enum outcome outcome;
    enum reason reason;
    int status; /* HTTP status, of the target where done */
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
} cal_answer;

typedef struct cal_call {
    bool used;
    struct MHD_Connection *connection;
    int socket;       /* of the caller, to notice that it has gone */
    bool from_target; /* the local target's own call */
    bool has_context;
    bool has_id;          /* the caller named the request */
    bool bad_id;          /* ... with a text that is not an id */
    int caller_attempt;   /* as the caller counts; 0: not said */
    bool earlier_not_run; /* it was told "not run" of all earlier ones */
    uint64_t token;       /* of the call that the target serves */
    id request;
    char key[ID_KEY_SIZE]; /* tells calls of one operation apart */
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char method[8];
    char path[MSG_PATH_SIZE];
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
    cal_answer answer;
} cal_call;

typedef struct cal cal;

int cal_new(cal **out, size_t calls_max);
void cal_free(cal *c);
int cal_take(cal *c);
void cal_give_back(cal *c, int handle);
cal_call *cal_get(cal *c, int handle);
size_t cal_size(const cal *c);

#endif
