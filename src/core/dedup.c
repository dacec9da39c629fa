#include "lav/dedup.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"

enum dedup_state {
    DEDUP_STATE_QUEUED,
    DEDUP_STATE_DISPATCHED,
    DEDUP_STATE_ANSWERED,
    DEDUP_STATE_LOST,
    DEDUP_STATE_REFUSED
};

typedef struct dedup_entry {
    id request;
    enum dedup_state state;
    dedup_answer answer;
} dedup_entry;

struct dedup_record {
    dedup_options options;
    dedup_owner_map map;
    int64_t relinquished_ms; /* ids from this time on are not taken */
    int64_t floor_ms;        /* the record is complete from here on */
    size_t answers_bytes;
    GHashTable *records; /* id text -> dedup_entry */
    GQueue *order;       /* dedup_entry, in order of arrival */
    GQueue *answered;    /* dedup_entry with a kept answer, oldest first */
};

/* Make an empty record for a new incarnation. */
int
dedup_new(dedup_record **out, const dedup_options *options)
{
    dedup_record *a = calloc(1, sizeof(*a));
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
dedup_entry_free(gpointer payload)
{
    dedup_entry *record = payload;
    g_free(record->answer.body);
    g_free(record);
}

/* Release the record; takes NULL. */
void
dedup_free(dedup_record *a)
{
    if (a == NULL) {
        return;
    }
    g_hash_table_destroy(a->records);
    g_queue_free(a->answered);
    g_queue_free_full(a->order, dedup_entry_free);
    free(a);
}

/* Take over a newer map of owners; an older version changes nothing.  Once
 * the map shows that this node has left, the map alone decides. */
void
dedup_set_owner_map(dedup_record *a, const dedup_owner_map *map)
{
    if (map->version <= a->map.version) {
        return;
    }
    a->map = *map;
    if (!dedup_owner_map_contains(map, a->options.self, a->relinquished_ms)) {
        a->relinquished_ms = INT64_MAX;
    }
}

/* Accept no id of `from_ms` or later any more: this node is leaving. */
void
dedup_stop_accepting(dedup_record *a, int64_t from_ms)
{
    if (from_ms < a->relinquished_ms) {
        a->relinquished_ms = from_ms;
    }
}

static dedup_entry *
dedup_find(dedup_record *a, const id *request)
{
    return g_hash_table_lookup(a->records, request->text);
}

static void
dedup_drop_answer(dedup_record *a, dedup_entry *record)
{
    a->answers_bytes -= record->answer.length;
    g_free(record->answer.body);
    record->answer = (dedup_answer){0};
    record->state = DEDUP_STATE_LOST;
}

/* Forget records whose ids are older than the window; ids below the floor
 * are refused from then on, so forgetting can't lead to a second run. */
static void
dedup_forget(dedup_record *a, int64_t now_ms)
{
    int64_t floor_ms = now_ms - a->options.window_ms;
    if (floor_ms <= a->floor_ms) {
        return;
    }
    a->floor_ms = floor_ms;
    dedup_entry *oldest = g_queue_peek_head(a->order);
    while (oldest != NULL && oldest->request.time_ms < floor_ms &&
           oldest->state != DEDUP_STATE_QUEUED &&
           oldest->state != DEDUP_STATE_DISPATCHED) {
        if (oldest->state == DEDUP_STATE_ANSWERED) {
            g_queue_remove(a->answered, oldest);
            dedup_drop_answer(a, oldest);
        }
        g_queue_pop_head(a->order);
        g_hash_table_remove(a->records, oldest->request.text);
        dedup_entry_free(oldest);
        oldest = g_queue_peek_head(a->order);
    }
}

static enum dedup_decision
dedup_seen(const dedup_entry *record)
{
    switch (record->state) {
    case DEDUP_STATE_QUEUED:
    case DEDUP_STATE_DISPATCHED:
        return DEDUP_IN_PROGRESS;
    case DEDUP_STATE_ANSWERED:
        return DEDUP_ANSWERED;
    case DEDUP_STATE_LOST:
        return DEDUP_ALREADY_RAN;
    case DEDUP_STATE_REFUSED:
        return DEDUP_REFUSED;
    }
    return DEDUP_ALREADY_RAN;
}

/* Decide on a request that is not idempotent; DEDUP_RUN records it as queued.
 * `now_ms` is wall time and only guards the memory, never the promise. */
enum dedup_decision
dedup_decide(dedup_record *a, const id *request, int64_t now_ms)
{
    dedup_forget(a, now_ms);
    dedup_entry *record = dedup_find(a, request);
    if (record != NULL) {
        return dedup_seen(record);
    }
    if (request->time_ms < a->floor_ms) {
        return DEDUP_TOO_OLD;
    }
    if (request->time_ms > now_ms + DEDUP_CLOCK_AHEAD_MAX_MS) {
        return DEDUP_IN_FUTURE;
    }
    uint64_t owner = dedup_owner_map_find(&a->map, request);
    if (owner == 0) {
        return request->time_ms >= a->map.horizon_ms ? DEDUP_NO_HORIZON
                                                     : DEDUP_TOO_OLD;
    }
    if (owner != a->options.self || request->time_ms >= a->relinquished_ms) {
        return DEDUP_WRONG_OWNER;
    }
    if (g_hash_table_size(a->records) >= a->options.ids_max) {
        return DEDUP_RECORD_FULL;
    }
    record = g_new0(dedup_entry, 1);
    record->request = *request;
    record->state = DEDUP_STATE_QUEUED;
    g_hash_table_insert(a->records, record->request.text, record);
    g_queue_push_tail(a->order, record);
    return DEDUP_RUN;
}

/* Incarnation that owns an id by the present map, or 0. */
uint64_t
dedup_find_owner(const dedup_record *a, const id *request)
{
    return dedup_owner_map_find(&a->map, request);
}

/* The kept answer of an id that was DEDUP_ANSWERED, or NULL. */
const dedup_answer *
dedup_find_answer(dedup_record *a, const id *request)
{
    dedup_entry *record = dedup_find(a, request);
    if (record == NULL || record->state != DEDUP_STATE_ANSWERED) {
        return NULL;
    }
    return &record->answer;
}

/* The request is about to be handed to the target. */
void
dedup_mark_dispatched(dedup_record *a, const id *request)
{
    dedup_entry *record = dedup_find(a, request);
    if (record != NULL && record->state == DEDUP_STATE_QUEUED) {
        record->state = DEDUP_STATE_DISPATCHED;
    }
}

/* The request was refused before dispatch.  `for_good`: another attempt of
 * it may be under way, so no copy of it may ever run. */
void
dedup_mark_refused(dedup_record *a, const id *request, bool for_good)
{
    dedup_entry *record = dedup_find(a, request);
    if (record == NULL || record->state != DEDUP_STATE_QUEUED) {
        return;
    }
    if (for_good) {
        record->state = DEDUP_STATE_REFUSED;
        return;
    }
    g_hash_table_remove(a->records, record->request.text);
    g_queue_remove(a->order, record);
    dedup_entry_free(record);
}

/* The request was dispatched, but the target could not be reached, so it
 * never got it: as dedup_mark_refused(). */
void
dedup_mark_unsent(dedup_record *a, const id *request, bool for_good)
{
    dedup_entry *record = dedup_find(a, request);
    if (record != NULL && record->state == DEDUP_STATE_DISPATCHED) {
        record->state = DEDUP_STATE_QUEUED;
        dedup_mark_refused(a, request, for_good);
    }
}

/* The request was dispatched and no trustworthy answer came. */
void
dedup_mark_lost(dedup_record *a, const id *request)
{
    dedup_entry *record = dedup_find(a, request);
    if (record != NULL && record->state == DEDUP_STATE_DISPATCHED) {
        record->state = DEDUP_STATE_LOST;
    }
}

static void
dedup_make_room(dedup_record *a, size_t length)
{
    while (a->answers_bytes + length > a->options.answers_bytes_max) {
        dedup_entry *oldest = g_queue_pop_head(a->answered);
        if (oldest == NULL) {
            return;
        }
        dedup_drop_answer(a, oldest);
    }
}

/* The request was answered by the target; a short answer is kept for
 * callers that ask again. */
void
dedup_store_answer(dedup_record *a, const id *request, int status,
                   const char *content_type, const char *body, size_t length)
{
    dedup_entry *record = dedup_find(a, request);
    if (record == NULL || record->state != DEDUP_STATE_DISPATCHED) {
        return;
    }
    record->state = DEDUP_STATE_LOST;
    if (length > a->options.answer_bytes_max) {
        return;
    }
    dedup_make_room(a, length);
    record->state = DEDUP_STATE_ANSWERED;
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
