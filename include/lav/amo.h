/*
 * amo: at-most-once execution of requests that are not idempotent, without
 * a store of our own.
 *
 * The time inside an id and its hash name one owner: the node incarnation
 * whose memory is the record of that id.  The table of owners is an object
 * on the platform, one a service: a list of epochs (from which id time on,
 * which incarnations) and a horizon up to which it is final.  Epochs are
 * only added at or after the horizon, so an id never has two owners,
 * whatever any clock or paused process believes.  An owner that leaves hands
 * its slots over itself.  When an owner is gone, its ids are answered
 * "unknown" and never run again.
 *
 * Promise: a request that is not idempotent is executed at most once.
 */
#ifndef LAV_AMO_H
#define LAV_AMO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"

#ifdef __cplusplus
extern "C" {
#endif

#define AMO_MEMBERS_MAX 64
#define AMO_EPOCHS_MAX 32
#define AMO_FUTURE_MAX_MS 5000 /* an id's clock may be ahead by so much */

/* A share of the ids of an epoch.  The seed decides which ids; the holder is
 * the incarnation that owns them, until it hands the slot over. */
typedef struct amo_slot {
    uint64_t seed;
    uint64_t holder;
} amo_slot;

typedef struct amo_epoch {
    int64_t from_ms; /* first id time that the epoch covers */
    size_t slot_count;
    amo_slot slots[AMO_MEMBERS_MAX];
} amo_epoch;

typedef struct amo_map {
    uint64_t version;   /* of the platform's object */
    int64_t horizon_ms; /* first id time that is not yet covered */
    size_t epoch_count;
    amo_epoch epochs[AMO_EPOCHS_MAX]; /* by rising from_ms */
} amo_map;

enum amo_verdict {
    AMO_RUN,         /* queue it; this node owns it and has not run it */
    AMO_IN_PROGRESS, /* queued or running already */
    AMO_ANSWERED,    /* ran; its answer is kept */
    AMO_RAN,         /* ran, or may have; no answer is kept */
    AMO_REFUSED,     /* refused for good before it was dispatched */
    AMO_WRONG_OWNER, /* another incarnation owns it */
    AMO_NO_HORIZON,  /* its time is not covered yet */
    AMO_TOO_OLD,     /* older than the record */
    AMO_IN_FUTURE,   /* its time is ahead of this host's clock */
    AMO_FULL         /* no room to remember it */
};

typedef struct amo_answer {
    int status; /* HTTP status of the target */
    size_t length;
    char *body; /* owned by the record */
    char content_type[64];
} amo_answer;

typedef struct amo_options {
    uint64_t self;            /* incarnation of this node */
    size_t ids_max;           /* ids in the record */
    int64_t window_ms;        /* age up to which ids are remembered */
    size_t answer_bytes_max;  /* one kept answer */
    size_t answers_bytes_max; /* all kept answers */
} amo_options;

#define AMO_OPTIONS_INIT                                                      \
    {                                                                         \
        0, 100000, 300000, 16384, 16777216                                    \
    }

typedef struct amo amo;

uint64_t amo_map_owner(const amo_map *map, const id *request);
bool amo_map_extend(amo_map *map, const uint64_t *members, size_t count,
                    int64_t now_ms, int64_t ahead_ms, int64_t window_ms);
bool amo_map_has(const amo_map *map, uint64_t member, int64_t from_ms);
bool amo_map_leave(amo_map *map, uint64_t member, int64_t from_ms,
                   const uint64_t *ready, size_t ready_count);

int amo_new(amo **out, const amo_options *options);
void amo_free(amo *a);
void amo_set_map(amo *a, const amo_map *map);
void amo_relinquish(amo *a, int64_t from_ms);
enum amo_verdict amo_admit(amo *a, const id *request, int64_t now_ms);
uint64_t amo_owner(const amo *a, const id *request);
const amo_answer *amo_find_answer(amo *a, const id *request);
void amo_dispatched(amo *a, const id *request);
void amo_withdraw(amo *a, const id *request, bool for_good);
void amo_unsent(amo *a, const id *request, bool for_good);
void amo_lost(amo *a, const id *request);
void amo_done(amo *a, const id *request, int status, const char *content_type,
              const char *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
