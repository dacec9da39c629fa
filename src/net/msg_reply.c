#include "lav/correlation.h"
#include "lav/msg.h"

/* HTTP status of a call that is done; lower ones are interim. */
#define MSG_REPLY_STATUS_MIN 200
#define MSG_REPLY_STATUS_MAX 599

/* Whether a reply's status is one that ends an HTTP request, if it has one. */
static bool
msg_reply_has_valid_status(const msg_reply *reply)
{
    return reply->outcome != OUTCOME_DONE ||
           (reply->status >= MSG_REPLY_STATUS_MIN &&
            reply->status <= MSG_REPLY_STATUS_MAX);
}

/* Whether a message is the reply to the attempt `nonce` with an intact body,
 * and can be relayed. */
bool
msg_is_reply_to(const msg *m, uint64_t nonce)
{
    return m->kind == MSG_REPLY && m->reply.nonce == nonce &&
           correlation_checksum(m->reply.body.bytes, m->reply.body.length) ==
               m->reply.checksum &&
           msg_reply_has_valid_status(&m->reply);
}
