/*
 * forward_attempt: an attempt through the node beside another instance.  Where the
 * connection breaks after the whole request was sent, the answer is claimed
 * over a new one: the far node goes on for a moment.  Where it breaks earlier,
 * the far node is asked for its record of a request that must not run twice.
 */
#ifndef LAV_FORWARD_H
#define LAV_FORWARD_H

#include "attempt.h"
#include "runtime.h"

#define FORWARD_CLAIM_PATH "/lav/claim/"   /* + the attempt's nonce */
#define FORWARD_CANCEL_PATH "/lav/cancel/" /* and the nonce, hexadecimal */

typedef struct forward_attempt forward_attempt;

int forward_start(forward_attempt **out, runtime *n, attempt_request *r,
                  int member, const attempt_callbacks *sink, void *payload);
void forward_send_body(forward_attempt *f);
void forward_pause_response(forward_attempt *f, bool paused);
void forward_cancel(forward_attempt *f);

#endif
