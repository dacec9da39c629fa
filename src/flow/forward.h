/*
 * forward: an attempt forwarded to the node of another instance.  If the
 * connection breaks after the whole request was sent, the response is claimed
 * over a new connection, as the peer retains it for a moment.  If it breaks
 * earlier, the peer is asked for its dispatch record of a non-idempotent
 * request.
 */
#ifndef LAV_FORWARD_H
#define LAV_FORWARD_H

#include "attempt.h"
#include "runtime.h"

#define FORWARD_CLAIM_PATH "/lav/claim/"   /* followed by the nonce in hex */
#define FORWARD_CANCEL_PATH "/lav/cancel/" /* followed by the nonce in hex */

typedef struct forward_attempt forward_attempt;

int forward_start(forward_attempt **out, runtime *n, attempt_request *r,
                  int member, const attempt_callbacks *callbacks,
                  void *payload);
void forward_send_body(forward_attempt *f);
void forward_pause_response(forward_attempt *f, bool paused);
void forward_end(forward_attempt *f);
void forward_cancel(forward_attempt *f);

#endif
