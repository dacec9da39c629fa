/*
 * msg: the messages between nodes, in CBOR (RFC 8949, by libcbor).  Each is
 * an array: its kind, then its fields in the order of the struct.  A
 * message with a field that is missing, of another type, too long or out of
 * range is refused whole.
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

#define MSG_BODY_BYTES_MAX (1024 * 1024) /* bytes of a body, either way */
#define MSG_BYTES_MAX (MSG_BODY_BYTES_MAX + 8192) /* bytes of a message */
#define MSG_PATH_SIZE 256        /* bytes of path and query, with the NUL */
#define MSG_CONTENT_TYPE_SIZE 64 /* bytes of a content type, with the NUL */
#define MSG_KEY_SIZE 128         /* bytes of an object's key, with the NUL */

enum msg_kind {
    MSG_CALL = 1,  /* run this at your target */
    MSG_REPLY,     /* what became of it */
    MSG_CANCEL,    /* don't run it, or stop it */
    MSG_CANCELLED, /* answer to a cancel */
    MSG_GOSSIP,    /* a probe with news, and its answer */
    MSG_FETCH,     /* an object of the platform that a peer may hold */
    MSG_OBJECT     /* answer to a fetch; or a publisher gives it, and the
                      version of the answer says that it was taken */
};

typedef struct msg_body {
    size_t length;
    char *bytes; /* owned by the message; NUL after the last byte */
} msg_body;

typedef struct msg_call {
    uint64_t nonce; /* of this attempt */
    char request[ID_SIZE];
    char root[ID_SIZE];
    char service[SVC_NAME_SIZE];
    char operation[SVC_NAME_SIZE];
    char method[8];
    char path[MSG_PATH_SIZE];
    char content_type[MSG_CONTENT_TYPE_SIZE];
    int klass;
    int depth;
    int budget;           /* extra attempts handed over with the call */
    bool first;           /* no earlier attempt of the request was made */
    int64_t time_left_us; /* until the deadline, less the transit */
    int64_t sent_wall_ms; /* wall time of the sender */
    uint64_t checksum;    /* of the body */
    msg_body body;
} msg_call;

typedef struct msg_reply {
    uint64_t nonce;
    int outcome;             /* enum outcome */
    int reason;              /* enum reason */
    bool settled;            /* not run, and the id is refused for good */
    int status;              /* HTTP status of the target where done */
    int budget;              /* extra attempts that were not used */
    int level;               /* that this instance demands of the operation */
    int load_permille;       /* in flight and queued of its limit */
    int64_t service_time_us; /* time from arrival to this reply */
    uint64_t owner;          /* with REASON_WRONG_OWNER */
    uint64_t config;         /* version in force */
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
    uint64_t config; /* version in force */
    size_t count;
    swim_member news[SWIM_UPDATES_MAX + 1]; /* the sender's own first */
} msg_gossip;

typedef struct msg_fetch {
    char key[MSG_KEY_SIZE];
} msg_fetch;

typedef struct msg_object {
    char key[MSG_KEY_SIZE];
    uint64_t version; /* 0: the peer does not hold it */
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
void msg_clear(msg *m);
int msg_body_copy(msg_body *out, const char *bytes, size_t length);

#ifdef __cplusplus
}
#endif

#endif
