#include "lav/amo.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"

enum amo_state {
    AMO_STATE_QUEUED,
    AMO_STATE_DISPATCHED,
    AMO_STATE_ANSWERED,
    AMO_STATE_LOST,
    AMO_STATE_REFUSED
};

typedef struct amo_record {
    id request;
    enum amo_state state;
    amo_answer answer;
} amo_record;

struct amo {
    amo_options options;
    amo_map map;
    int64_t relinquished_ms; /* ids from this time on are not taken */
    int64_t floor_ms;        /* the record is complete from here on */
    size_t answers_bytes;
    GHashTable *records; /* id text -> amo_record */
    GQueue *order;       /* amo_record, in order of arrival */
    GQueue *answered;    /* amo_record with a kept answer, oldest first */
};

/* Make an empty record for a new incarnation. */
int
amo_new(amo **out, const amo_options *options)
{
    amo *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return ERR_NO_MEMORY;
    }
    a->options = *options;
    a->relinquished_ms = INT64_MAX;
    a->records = g_hash_table_new(g_str_hash, g_str_equal);
    a->order = g_queue_new();
    a->answered = g_queue_new();
    *out = a;
    return 0;
}

static void
amo_record_free(gpointer payload)
{
    amo_record *record = payload;
    g_free(record->answer.body);
    g_free(record);
}

/* Release the record; takes NULL. */
void
amo_free(amo *a)
{
    if (a == NULL) {
        return;
    }
    g_hash_table_destroy(a->records);
    g_queue_free(a->answered);
    g_queue_free_full(a->order, amo_record_free);
    free(a);
}

/* Take over a newer map of owners; an older version changes nothing.  Once
 * the map shows that this node has left, the map alone decides. */
void
amo_set_map(amo *a, const amo_map *map)
{
    if (map->version <= a->map.version) {
        return;
    }
    a->map = *map;
    if (!amo_map_has(map, a->options.self, a->relinquished_ms)) {
        a->relinquished_ms = INT64_MAX;
    }
}

/* Accept no id of `from_ms` or later any more: this node is leaving. */
void
amo_relinquish(amo *a, int64_t from_ms)
{
    if (from_ms < a->relinquished_ms) {
        a->relinquished_ms = from_ms;
    }
}

static amo_record *
amo_find(amo *a, const id *request)
{
    return g_hash_table_lookup(a->records, request->text);
}

static void
amo_drop_answer(amo *a, amo_record *record)
{
    a->answers_bytes -= record->answer.length;
    g_free(record->answer.body);
    record->answer = (amo_answer){0};
    record->state = AMO_STATE_LOST;
}

/* Forget records whose ids are older than the window; ids below the floor
 * are refused from then on, so forgetting can't lead to a second run. */
static void
amo_forget(amo *a, int64_t now_ms)
{
    int64_t floor_ms = now_ms - a->options.window_ms;
    if (floor_ms <= a->floor_ms) {
        return;
    }
    a->floor_ms = floor_ms;
    amo_record *oldest = g_queue_peek_head(a->order);
    while (oldest != NULL && oldest->request.time_ms < floor_ms &&
           oldest->state != AMO_STATE_QUEUED &&
           oldest->state != AMO_STATE_DISPATCHED) {
        if (oldest->state == AMO_STATE_ANSWERED) {
            g_queue_remove(a->answered, oldest);
            amo_drop_answer(a, oldest);
        }
        g_queue_pop_head(a->order);
        g_hash_table_remove(a->records, oldest->request.text);
        amo_record_free(oldest);
        oldest = g_queue_peek_head(a->order);
    }
}

static enum amo_verdict
amo_seen(const amo_record *record)
{
    switch (record->state) {
    case AMO_STATE_QUEUED:
    case AMO_STATE_DISPATCHED:
        return AMO_IN_PROGRESS;
    case AMO_STATE_ANSWERED:
        return AMO_ANSWERED;
    case AMO_STATE_LOST:
        return AMO_RAN;
    case AMO_STATE_REFUSED:
        return AMO_REFUSED;
    }
    return AMO_RAN;
}

/* Decide on a request that is not idempotent; AMO_RUN records it as queued.
 * `now_ms` is wall time and only guards the memory, never the promise. */
enum amo_verdict
amo_admit(amo *a, const id *request, int64_t now_ms)
{
    amo_forget(a, now_ms);
    amo_record *record = amo_find(a, request);
    if (record != NULL) {
        return amo_seen(record);
    }
    if (request->time_ms < a->floor_ms) {
        return AMO_TOO_OLD;
    }
    if (request->time_ms > now_ms + AMO_FUTURE_MAX_MS) {
        return AMO_IN_FUTURE;
    }
    uint64_t owner = amo_map_owner(&a->map, request);
    if (owner == 0) {
        return request->time_ms >= a->map.horizon_ms ? AMO_NO_HORIZON
                                                     : AMO_TOO_OLD;
    }
    if (owner != a->options.self || request->time_ms >= a->relinquished_ms) {
        return AMO_WRONG_OWNER;
    }
    if (g_hash_table_size(a->records) >= a->options.ids_max) {
        return AMO_FULL;
    }
    record = g_new0(amo_record, 1);
    record->request = *request;
    record->state = AMO_STATE_QUEUED;
    g_hash_table_insert(a->records, record->request.text, record);
    g_queue_push_tail(a->order, record);
    return AMO_RUN;
}

/* Incarnation that owns an id by the present map, or 0. */
uint64_t
amo_owner(const amo *a, const id *request)
{
    return amo_map_owner(&a->map, request);
}

/* The kept answer of an id that was AMO_ANSWERED, or NULL. */
const amo_answer *
amo_find_answer(amo *a, const id *request)
{
    amo_record *record = amo_find(a, request);
    if (record == NULL || record->state != AMO_STATE_ANSWERED) {
        return NULL;
    }
    return &record->answer;
}

/* The request is about to be handed to the target. */
void
amo_dispatched(amo *a, const id *request)
{
    amo_record *record = amo_find(a, request);
    if (record != NULL && record->state == AMO_STATE_QUEUED) {
        record->state = AMO_STATE_DISPATCHED;
    }
}

/* The request was refused before dispatch.  `for_good`: another attempt of
 * it may be under way, so no copy of it may ever run. */
void
amo_withdraw(amo *a, const id *request, bool for_good)
{
    amo_record *record = amo_find(a, request);
    if (record == NULL || record->state != AMO_STATE_QUEUED) {
        return;
    }
    if (for_good) {
        record->state = AMO_STATE_REFUSED;
        return;
    }
    g_hash_table_remove(a->records, record->request.text);
    g_queue_remove(a->order, record);
    amo_record_free(record);
}

/* The request was dispatched, but the target could not be reached, so it
 * never got it: as amo_withdraw(). */
void
amo_unsent(amo *a, const id *request, bool for_good)
{
    amo_record *record = amo_find(a, request);
    if (record != NULL && record->state == AMO_STATE_DISPATCHED) {
        record->state = AMO_STATE_QUEUED;
        amo_withdraw(a, request, for_good);
    }
}

/* The request was dispatched and no trustworthy answer came. */
void
amo_lost(amo *a, const id *request)
{
    amo_record *record = amo_find(a, request);
    if (record != NULL && record->state == AMO_STATE_DISPATCHED) {
        record->state = AMO_STATE_LOST;
    }
}

static void
amo_make_room(amo *a, size_t length)
{
    while (a->answers_bytes + length > a->options.answers_bytes_max) {
        amo_record *oldest = g_queue_pop_head(a->answered);
        if (oldest == NULL) {
            return;
        }
        amo_drop_answer(a, oldest);
    }
}

/* The request was answered by the target; a short answer is kept for
 * callers that ask again. */
void
amo_done(amo *a, const id *request, int status, const char *content_type,
         const char *body, size_t length)
{
    amo_record *record = amo_find(a, request);
    if (record == NULL || record->state != AMO_STATE_DISPATCHED) {
        return;
    }
    record->state = AMO_STATE_LOST;
    if (length > a->options.answer_bytes_max) {
        return;
    }
    amo_make_room(a, length);
    record->state = AMO_STATE_ANSWERED;
    record->answer.status = status;
    record->answer.length = length;
    record->answer.body = g_malloc(length + 1);
    memcpy(record->answer.body, body, length);
    record->answer.body[length] = '\0';
    snprintf(record->answer.content_type, sizeof(record->answer.content_type),
             "%s", content_type);
    a->answers_bytes += length;
    g_queue_push_tail(a->answered, record);
}
