/*
 * usage_gate: takes requests of outside callers from the usage caps of their
 * workspaces, which all nodes keep together (usage_share, usage_owner).  A
 * request whose answer is not known here waits for the owner of its slot for
 * some milliseconds, and for a bounded time at most.
 *
 * Nothing is sent, and no timer runs, before a workspace has a cap.
 */
#ifndef LAV_USAGE_GATE_H
#define LAV_USAGE_GATE_H

#include <glib.h>

#include "bytebuf.h"
#include "http_head.h"
#include "lav/reason.h"
#include "lav/usage_share.h"
#include "runtime.h"

typedef struct usage_gate usage_gate;

typedef struct usage_gate_result {
    enum usage_decision decision;
    int status;         /* of a refusal */
    enum reason reason; /* of a refusal */
    int64_t retry_after_us;
} usage_gate_result;

/* Delivers the decision on a request that has waited: granted or refused. */
typedef void (*usage_gate_done_cb)(const usage_gate_result *result,
                                   void *payload);

/* A request at the gate; part of the caller's state, initially all 0.  While it
 * waits, the caller keeps it where it is. */
typedef struct usage_gate_request {
    usage_gate *gate;
    uint32_t workspace;
    bool waiting;
    bool taken; /* `token` may be given back */
    usage_token token;
    int64_t since_us;
    int64_t patient_until_us;
    usage_gate_done_cb done;
    void *payload;
    usage_gate_result *immediate; /* where to store a decision at once */
    usage_gate_result result;
    GQueue *queue; /* that `link` is in */
    GList link;
} usage_gate_request;

int usage_gate_new(usage_gate **out, runtime *n);
void usage_gate_free(usage_gate *gate);
void usage_gate_configure(usage_gate *gate);
usage_gate_result usage_gate_take(usage_gate *gate,
                                  usage_gate_request *request,
                                  uint32_t workspace, int64_t patience_us,
                                  usage_gate_done_cb done, void *payload);
void usage_gate_cancel(usage_gate_request *request);
void usage_gate_return(usage_gate_request *request);
char *usage_gate_handle_query(usage_gate *gate, http_str path);
void usage_gate_write_metrics(bytebuf *out, const usage_gate *gate);

#endif
