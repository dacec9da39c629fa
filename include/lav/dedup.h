/*
 * dedup: at-most-once execution of requests that are not idempotent, without
 * a data store of its own.
 *
 * The time in a request id and the hash of the id determine its one owner: the
 * node incarnation that keeps the record of the id in memory.  The map of
 * owners is an object on the platform, one per service.  It lists epochs (the
 * incarnations from an id time on) and has a horizon, the id time up to which
 * it is final.  Epochs are only added at or after the horizon, so an id never
 * has two owners, even if clocks are wrong or a process was paused.  An owner
 * that leaves hands over its slots itself.  If an owner is lost, the outcome
 * of its ids is reported as unknown, and they are never executed again.
 *
 * Guarantee: a request that is not idempotent is executed at most once.
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

/* How far the time of an id may be ahead of this host's clock: 5 s. */
#define DEDUP_CLOCK_AHEAD_MAX_MS 5000

/* A share of the ids of an epoch.  The seed selects the ids.  It is the
 * incarnation of the first owner and stays when the slot is handed over. */
typedef struct dedup_slot {
    uint64_t seed;
    uint64_t owner_incarnation;
} dedup_slot;

/* The owners of the ids from one time on, up to the next epoch. */
typedef struct dedup_epoch {
    int64_t from_ms; /* first id time that the epoch covers */
    size_t slot_count;
    dedup_slot slots[DEDUP_EPOCH_SLOTS_MAX];
} dedup_epoch;

typedef struct dedup_owner_map {
    uint64_t version;   /* of the object on the platform */
    int64_t horizon_ms; /* first id time that is not covered yet */
    size_t epoch_count;
    dedup_epoch epochs[DEDUP_EPOCHS_MAX]; /* in ascending order of from_ms */
} dedup_owner_map;

enum dedup_decision {
    DEDUP_RUN,             /* new, and owned by this node; it is now queued */
    DEDUP_IN_PROGRESS,     /* already queued or running */
    DEDUP_RESPONSE_STORED, /* executed; the response is stored */
    DEDUP_ALREADY_RAN,     /* executed or possibly so; no response is stored */
    DEDUP_REFUSED,         /* refused permanently before dispatch */
    DEDUP_WRONG_OWNER,     /* owned by another incarnation */
    DEDUP_NO_HORIZON,      /* its time is at or after the map's horizon */
    DEDUP_TOO_OLD,         /* its time is before the record or the map */
    DEDUP_IN_FUTURE,       /* its time is ahead of this host's clock */
    DEDUP_RECORD_FULL      /* the record has no free entry */
};

/* A response of the target, stored for callers that repeat the request. */
typedef struct dedup_response {
    int status; /* HTTP status */
    size_t length;
    char *body; /* owned by the record; NUL after the last byte */
    char content_type[64];
} dedup_response;

typedef struct dedup_options {
    uint64_t self;              /* incarnation of this node */
    size_t ids_max;             /* entries in the record */
    int64_t window_ms;          /* age up to which ids are remembered */
    size_t response_bytes_max;  /* body of a stored response */
    size_t responses_bytes_max; /* bodies of all stored responses */
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
void dedup_free(dedup_record *record);
void dedup_set_owner_map(dedup_record *record, const dedup_owner_map *map);
void dedup_stop_accepting(dedup_record *record, int64_t from_ms);
enum dedup_decision dedup_decide(dedup_record *record, const id *request,
                                 int64_t now_ms);
uint64_t dedup_find_owner(const dedup_record *record, const id *request);
const dedup_response *dedup_find_response(dedup_record *record,
                                          const id *request);
void dedup_mark_dispatched(dedup_record *record, const id *request);
void dedup_mark_refused(dedup_record *record, const id *request,
                        bool permanent);
void dedup_mark_unsent(dedup_record *record, const id *request,
                       bool permanent);
void dedup_mark_lost(dedup_record *record, const id *request);
void dedup_store_response(dedup_record *record, const id *request, int status,
                          const char *content_type, const char *body,
                          size_t length);

#ifdef __cplusplus
}
#endif

#endif
