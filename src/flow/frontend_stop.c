/* Requests that are open when the node is about to end. */
#include <http_parser.h>

#include "frontend_private.h"

/* Ends the attempts at other nodes whose response was not passed on yet.  Each
 * request gets its error response now, or as soon as the peer has said whether
 * it ran. */
void
frontend_end_attempts(runtime *n)
{
    GList *next = NULL;
    for (GList *link = n->caller_requests.head; link != NULL; link = next) {
        frontend_request *q = link->data;
        next = link->next;
        if (!q->committed && q->attempt.kind == FRONTEND_ATTEMPT_PEER) {
            forward_end(q->attempt.handle.peer);
        }
    }
}

/* Responds to all requests whose response has not begun: they may have run. */
void
frontend_end_requests(runtime *n)
{
    GList *next = NULL;
    for (GList *link = n->caller_requests.head; link != NULL; link = next) {
        frontend_request *q = link->data;
        next = link->next;
        if (!q->committed) {
            frontend_cancel_attempt(q);
            frontend_respond_error(q, HTTP_STATUS_BAD_GATEWAY,
                                   REASON_STOPPING);
        }
    }
}
