/*
 * msg: messages between nodes, encoded in CBOR (RFC 8949) with libcbor.  Each
 * message is an array of its kind and its fields, in the order of the struct.
 * The decoder rejects a message if any field is missing, of the wrong type,
 * too long or out of range.
 */
#ifndef LAV_MSG_H
#define LAV_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/id.h"
#include "lav/swim.h"
#include "lav/reason.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MSG_BODY_BYTES_MAX (1024 * 1024)          /* of a request or a reply */
#define MSG_BYTES_MAX (MSG_BODY_BYTES_MAX + 8192) /* of an encoded message */
#define MSG_PATH_SIZE 256        /* bytes of path and query, with the NUL */
#define MSG_CONTENT_TYPE_SIZE 64 /* bytes of a content type, with the NUL */
#define MSG_KEY_SIZE 128         /* bytes of an object's key, with the NUL */

enum msg_kind {
    MSG_CALL = 1,  /* a request for the peer's target to run */
    MSG_REPLY,     /* outcome of a call */
    MSG_CANCEL,    /* drop a call from the queue, or abort it */
    MSG_CANCELLED, /* reply to a cancel */
    MSG_GOSSIP,    /* a probe with membership updates, and its reply */
    MSG_FETCH,     /* asks for the peer's copy of a store object */
    MSG_OBJECT     /* reply to a fetch; or pushed by a publisher, and the
                    * version in the reply confirms that it was stored */
};

typedef struct msg_body {
    size_t length;
    char *bytes; /* owned by the message; NUL after the last byte */
} msg_body;

typedef struct msg_call {
    uint64_t nonce; /* identifies this attempt */
    char request[ID_SIZE];
    char root[ID_SIZE];
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char method[8];
    char path[MSG_PATH_SIZE];
    char content_type[MSG_CONTENT_TYPE_SIZE];
    int klass;
    int depth;
    int budget;           /* retry budget handed over with the call */
    bool first;           /* no attempt of this request was made before */
    int64_t time_left_us; /* until the deadline, less the transit time */
    int64_t sent_wall_ms; /* the sender's wall clock */
    uint64_t checksum;    /* of the body */
    msg_body body;
} msg_call;

typedef struct msg_reply {
    uint64_t nonce;
    int outcome;       /* enum outcome */
    int reason;        /* enum reason */
    bool settled;      /* not run, and never will be under this id */
    int status;        /* of the target's HTTP response, if done */
    int budget;        /* the part of the call's retry budget left over */
    int level;         /* admission level: lower priorities are admitted */
    int load_permille; /* calls in flight and queued, of its limit */
    int64_t service_time_us; /* from arrival to this reply */
    uint64_t owner;          /* set with REASON_WRONG_OWNER */
    uint64_t config;         /* configuration version in use */
    uint64_t checksum;       /* of the body */
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body;
} msg_reply;

typedef struct msg_cancel {
    uint64_t nonce;
} msg_cancel;

typedef struct msg_cancelled {
    uint64_t nonce;
    int result; /* enum dispatch_cancel */
} msg_cancelled;

typedef struct msg_gossip {
    uint64_t config; /* configuration version in use */
    size_t count;
    swim_member news[SWIM_UPDATES_MAX + 1]; /* the sender's own entry first */
} msg_gossip;

typedef struct msg_fetch {
    char key[MSG_KEY_SIZE];
} msg_fetch;

typedef struct msg_object {
    char key[MSG_KEY_SIZE];
    uint64_t version; /* 0: the peer has no copy */
    msg_body body;
} msg_object;

typedef struct msg {
    enum msg_kind kind;
    union {
        msg_call call;
        msg_reply reply;
        msg_cancel cancel;
        msg_cancelled cancelled;
        msg_gossip gossip;
        msg_fetch fetch;
        msg_object object;
    };
} msg;

int msg_encode(char **out, size_t *out_length, const msg *m);
int msg_decode(msg *out, const char *bytes, size_t length, err *e);
bool msg_is_reply_to(const msg *m, uint64_t nonce);
void msg_clear(msg *m);
int msg_body_copy(msg_body *out, const char *bytes, size_t length);

#ifdef __cplusplus
}
#endif

#endif
