/*
 * usage_cap: the messages by which nodes keep the usage caps of workspaces
 * together.  Workspaces are spread over a few slots; for each slot a node
 * lends its share of the caps to one other node, the owner, which grants
 * requests to the nodes that lend to it.  All stamps are read from the clock
 * of the owner, so that no two clocks are compared.
 *
 * Load pattern: many workspaces, each of which is seen by a single node a few
 * times a minute, and one that sends many times its usual.
 */
#ifndef LAV_USAGE_CAP_H
#define LAV_USAGE_CAP_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/workspace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define USAGE_CAP_SLOTS 8             /* owners of the whole deployment */
#define USAGE_CAP_MEMBERS_MAX 2048    /* nodes that a share is divided among */
#define USAGE_CAP_WANTS_MAX 64        /* workspaces in one message */
#define USAGE_CAP_REQUESTS_MAX 100000 /* granted, or given back, at once */

/* Time in which a granted request has to begin, from the ask on.  Twice this,
 * as a request that is given back may be granted again, has to lie within the
 * tenth of the window by which a cap may be exceeded. */
#define USAGE_CAP_GRANT_US 250000

/* Requests beyond the burst that a full bucket holds, over all owners. */
#define USAGE_CAP_SLACK 5.0

/* Longest time for which a share is lent with one message. */
#define USAGE_CAP_LEASE_MAX_US 4000000

/* Time after the first share was lent to an owner during which it expects the
 * others, as after a start of all nodes. */
#define USAGE_CAP_SETTLE_US 500000

/* Delays after which an owner lets a node ask again for a workspace whose cap
 * is used up: this for each message a second that asks for it, and at most the
 * second. */
#define USAGE_CAP_PAUSE_US 1000
#define USAGE_CAP_PAUSE_MAX_US 1000000

/* Shortest delay after which a request over its cap may return. */
#define USAGE_CAP_RETRY_MIN_US 20000

/* What a node asks for one workspace. */
typedef struct usage_want {
    uint32_t workspace;
    int count;          /* requests that it could use now */
    int back;           /* requests granted earlier that did not run */
    int64_t granted_us; /* owner's stamp of these */
} usage_want;

/* From a node to an owner. */
typedef struct usage_ask {
    int slot;
    uint64_t lender;   /* id of the node that asks */
    uint64_t sequence; /* rises with each message of this node */
    uint64_t epoch;    /* of the owner's state as known; 0: unknown */
    int64_t until_us;  /* owner's clock; up to here the share is lent */
    int members;       /* nodes that the sender divides the caps among */
    uint64_t version;  /* of the sender's desired state */
    int64_t quiet_us;  /* owner's clock: since then nobody but this owner's
                          epoch let the sender begin requests; 0: unknown */
    int count;
    usage_want wants[USAGE_CAP_WANTS_MAX];
} usage_ask;

/* The owner's answer for one workspace. */
typedef struct usage_grant {
    uint32_t workspace;
    int count;       /* -1: the owner knows no such workspace */
    int64_t wait_us; /* less than asked for: when to ask again */
} usage_grant;

/* From an owner to a node that asked. */
typedef struct usage_answer {
    uint64_t epoch;
    int64_t stamp_us; /* when the ask was handled */
    uint64_t version; /* of the owner's desired state */
    bool leaving;     /* the owner stops soon */
    bool settling;    /* shares that are missing may still come */
    int count;        /* 0 if nothing was lent */
    usage_grant grants[USAGE_CAP_WANTS_MAX];
} usage_answer;

int usage_cap_slot(uint32_t workspace);
uint64_t usage_cap_rank(uint64_t member, int slot);
int64_t usage_cap_lease_us(int members);

#ifdef __cplusplus
}
#endif

#endif
