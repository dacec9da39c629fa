/*
 * usage_share: what a node knows of the usage caps: to whom it lends its share
 * of each slot, and the requests that were granted to it.  A share is lent to
 * one owner at a time: to another one only when the former has taken notice
 * that it is taken back, or the time for which it was lent has passed.
 *
 * A node that reaches no other lends to itself and so grants its own share.
 *
 * Load pattern: each request of an outside caller is counted here; most
 * workspaces have no request in hand when the next one arrives.
 */
#ifndef LAV_USAGE_SHARE_H
#define LAV_USAGE_SHARE_H

#include <stddef.h>

#include "lav/usage_cap.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time after which an owner that did not answer twice is asked again. */
#define USAGE_SHARE_AVOID_US 3000000

/* Time for which the largest number of members that was known counts. */
#define USAGE_SHARE_MEMBERS_US 30000000

/* Time for which any request waits for a share to be lent. */
#define USAGE_SHARE_WAIT_US 250000

enum usage_decision {
    USAGE_GRANTED,
    USAGE_WAIT,     /* until an answer comes */
    USAGE_OVER_CAP, /* known to be used up */
    USAGE_UNCHECKED /* no owner can be asked now */
};

/* A member that may own slots; the caller keeps its address. */
typedef struct usage_member {
    uint64_t id;
    bool reachable;
} usage_member;

/* A request that was granted: what is needed to give it back. */
typedef struct usage_token {
    uint32_t workspace;
    uint64_t epoch;
    int64_t granted_us; /* owner's clock */
    int64_t expires_us; /* own clock */
} usage_token;

enum usage_message_kind {
    USAGE_MESSAGE_HELLO,  /* learns the epoch and clock of an owner */
    USAGE_MESSAGE_ASK,    /* lends the share and asks for requests */
    USAGE_MESSAGE_RELEASE /* takes the share back */
};

/* A message to send; the answer is handled with it. */
typedef struct usage_message {
    enum usage_message_kind kind;
    uint64_t to;
    int64_t sent_us;
    usage_ask ask;
} usage_message;

typedef struct usage_share usage_share;

int usage_share_new(usage_share **out, uint64_t self, uint64_t sequence,
                    int64_t now_us);
void usage_share_free(usage_share *share);
void usage_share_reset(usage_share *share, int64_t now_us);
void usage_share_set_members(usage_share *share, const usage_member *members,
                             size_t count, int64_t now_us);
int usage_share_members(const usage_share *share);
enum usage_decision usage_share_take(usage_token *out, int64_t *retry_after_us,
                                     usage_share *share, uint32_t workspace,
                                     int64_t patience_us, int64_t now_us);
enum usage_decision usage_share_settle(usage_token *out,
                                       int64_t *retry_after_us,
                                       usage_share *share, uint32_t workspace,
                                       int64_t patience_us, int64_t now_us);
void usage_share_cancel(usage_share *share, uint32_t workspace);
void usage_share_return(usage_share *share, const usage_token *token,
                        int64_t now_us);
bool usage_share_poll(usage_message *out, usage_share *share, int slot,
                      int64_t now_us);
void usage_share_answered(usage_share *share, const usage_message *message,
                          const usage_answer *answer, int64_t now_us);
void usage_share_failed(usage_share *share, const usage_message *message,
                        bool received, int64_t now_us);
void usage_share_stop(usage_share *share);
bool usage_share_is_released(const usage_share *share);
uint64_t usage_share_owner(const usage_share *share, int slot);
int64_t usage_share_closed_us(const usage_share *share, int slot,
                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
