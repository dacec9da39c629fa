/*
 * fwd: an attempt through the node beside another instance.  Where the
 * connection breaks after the whole request was sent, the answer is claimed
 * over a new one: the far node goes on for a moment.  Where it breaks earlier,
 * the far node is asked for its record of a request that must not run twice.
 */
#ifndef LAV_FWD_H
#define LAV_FWD_H

#include "att.h"
#include "nod.h"

#define FWD_CLAIM_PATH "/lav/claim/"   /* + the attempt's nonce */
#define FWD_CANCEL_PATH "/lav/cancel/" /* and the nonce, hexadecimal */

typedef struct fwd fwd;

int fwd_start(fwd **out, nod *n, att_request *r, int member,
              const att_sink *sink, void *payload);
void fwd_body(fwd *f);
void fwd_pause(fwd *f, bool paused);
void fwd_cancel(fwd *f);

#endif
