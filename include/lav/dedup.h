/*
 * dedup_record: at-most-once execution of requests that are not idempotent, without
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
#ifndef LAV_DEDUP_H
#define LAV_DEDUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DEDUP_EPOCH_SLOTS_MAX 64
#define DEDUP_EPOCHS_MAX 32
#define DEDUP_CLOCK_AHEAD_MAX_MS                                              \
    5000 /* an id's clock may be ahead by so much */

/* A share of the ids of an epoch.  The seed decides which ids; the owner_incarnation is
 * the incarnation that owns them, until it hands the slot over. */
typedef struct dedup_slot {
    uint64_t seed;
    uint64_t owner_incarnation;
} dedup_slot;

typedef struct dedup_epoch {
    int64_t from_ms; /* first id time that the epoch covers */
    size_t slot_count;
    dedup_slot slots[DEDUP_EPOCH_SLOTS_MAX];
} dedup_epoch;

typedef struct dedup_owner_map {
    uint64_t version;   /* of the platform's object */
    int64_t horizon_ms; /* first id time that is not yet covered */
    size_t epoch_count;
    dedup_epoch epochs[DEDUP_EPOCHS_MAX]; /* by rising from_ms */
} dedup_owner_map;

enum dedup_decision {
    DEDUP_RUN,         /* queue it; this node owns it and has not run it */
    DEDUP_IN_PROGRESS, /* queued or running already */
    DEDUP_ANSWERED,    /* ran; its answer is kept */
    DEDUP_ALREADY_RAN, /* ran, or may have; no answer is kept */
    DEDUP_REFUSED,     /* refused for good before it was dispatched */
    DEDUP_WRONG_OWNER, /* another incarnation owns it */
    DEDUP_NO_HORIZON,  /* its time is not covered yet */
    DEDUP_TOO_OLD,     /* older than the record */
    DEDUP_IN_FUTURE,   /* its time is ahead of this host's clock */
    DEDUP_RECORD_FULL  /* no room to remember it */
};

typedef struct dedup_answer {
    int status; /* HTTP status of the target */
    size_t length;
    char *body; /* owned by the record */
    char content_type[64];
} dedup_answer;

typedef struct dedup_options {
    uint64_t self;            /* incarnation of this node */
    size_t ids_max;           /* ids in the record */
    int64_t window_ms;        /* age up to which ids are remembered */
    size_t answer_bytes_max;  /* one kept answer */
    size_t answers_bytes_max; /* all kept answers */
} dedup_options;

#define DEDUP_OPTIONS_INIT                                                    \
    {                                                                         \
        0, 100000, 300000, 16384, 16777216                                    \
    }

typedef struct dedup_record dedup_record;

uint64_t dedup_owner_map_find(const dedup_owner_map *map, const id *request);
bool dedup_owner_map_extend(dedup_owner_map *map, const uint64_t *members,
                            size_t count, int64_t now_ms, int64_t ahead_ms,
                            int64_t window_ms);
bool dedup_owner_map_contains(const dedup_owner_map *map, uint64_t member,
                              int64_t from_ms);
bool dedup_owner_map_hand_over(dedup_owner_map *map, uint64_t member,
                               int64_t from_ms, const uint64_t *ready,
                               size_t ready_count);

int dedup_new(dedup_record **out, const dedup_options *options);
void dedup_free(dedup_record *a);
void dedup_set_owner_map(dedup_record *a, const dedup_owner_map *map);
void dedup_stop_accepting(dedup_record *a, int64_t from_ms);
enum dedup_decision dedup_decide(dedup_record *a, const id *request,
                                 int64_t now_ms);
uint64_t dedup_find_owner(const dedup_record *a, const id *request);
const dedup_answer *dedup_find_answer(dedup_record *a, const id *request);
void dedup_mark_dispatched(dedup_record *a, const id *request);
void dedup_mark_refused(dedup_record *a, const id *request, bool for_good);
void dedup_mark_unsent(dedup_record *a, const id *request, bool for_good);
void dedup_mark_lost(dedup_record *a, const id *request);
void dedup_store_answer(dedup_record *a, const id *request, int status,
                        const char *content_type, const char *body,
                        size_t length);

#ifdef __cplusplus
}
#endif

#endif
