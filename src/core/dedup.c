#include "lav/dedup.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"

enum dedup_state {
    DEDUP_STATE_QUEUED,
    DEDUP_STATE_DISPATCHED,
    DEDUP_STATE_RESPONSE_STORED,
    DEDUP_STATE_NO_RESPONSE, /* executed or possibly so */
    DEDUP_STATE_REFUSED      /* permanently, before dispatch */
};

typedef struct dedup_entry {
    id request;
    enum dedup_state state;
    dedup_response response;
} dedup_entry;

struct dedup_record {
    dedup_options options;
    dedup_owner_map map;
    int64_t accept_until_ms; /* ids from this time on are not accepted */
    int64_t oldest_ms;       /* the record is complete from this id time on */
    size_t response_bytes;   /* bodies of all stored responses */
    GHashTable *entries;     /* id text -> dedup_entry */
    GQueue *by_arrival;      /* entries, oldest arrival first */
    GQueue *with_response;   /* entries with a stored response, oldest first */
};

/* Create an empty record for a new incarnation; ERR_NO_MEMORY on failure. */
int
dedup_new(dedup_record **out, const dedup_options *options)
{
    dedup_record *record = calloc(1, sizeof(*record));
    if (record == NULL) {
        return ERR_NO_MEMORY;
    }
    record->options = *options;
    record->accept_until_ms = INT64_MAX;
    record->entries = g_hash_table_new(g_str_hash, g_str_equal);
    record->by_arrival = g_queue_new();
    record->with_response = g_queue_new();
    *out = record;
    return 0;
}

/* Free an entry and its response; a GDestroyNotify. */
static void
dedup_entry_free(gpointer data)
{
    dedup_entry *entry = data;
    g_free(entry->response.body);
    g_free(entry);
}

/* Free the record; accepts NULL. */
void
dedup_free(dedup_record *record)
{
    if (record == NULL) {
        return;
    }
    g_hash_table_destroy(record->entries);
    g_queue_free(record->with_response);
    g_queue_free_full(record->by_arrival, dedup_entry_free);
    free(record);
}

/* Replace the map of owners by a newer one; an older version is ignored.  Once
 * the map no longer contains this node from the time of
 * dedup_stop_accepting() on, that time is cleared and only the map counts. */
void
dedup_set_owner_map(dedup_record *record, const dedup_owner_map *map)
{
    if (map->version <= record->map.version) {
        return;
    }
    record->map = *map;
    if (!dedup_owner_map_contains(map, record->options.self,
                                  record->accept_until_ms)) {
        record->accept_until_ms = INT64_MAX;
    }
}

/* Stop accepting ids of time `from_ms` or later, because this node leaves. */
void
dedup_stop_accepting(dedup_record *record, int64_t from_ms)
{
    if (from_ms < record->accept_until_ms) {
        record->accept_until_ms = from_ms;
    }
}

/* Entry of an id, or NULL. */
static dedup_entry *
dedup_find(dedup_record *record, const id *request)
{
    return g_hash_table_lookup(record->entries, request->text);
}

/* Drop the stored response of an entry; the id stays known as executed. */
static void
dedup_drop_response(dedup_record *record, dedup_entry *entry)
{
    record->response_bytes -= entry->response.length;
    g_free(entry->response.body);
    entry->response = (dedup_response){0};
    entry->state = DEDUP_STATE_NO_RESPONSE;
}

/* Remove entries whose ids are older than the window.  From then on ids before
 * oldest_ms are refused, so that a removed id can't be executed again.  Stops
 * at the first entry that is still in progress. */
static void
dedup_expire(dedup_record *record, int64_t now_ms)
{
    int64_t oldest_ms = now_ms - record->options.window_ms;
    if (oldest_ms <= record->oldest_ms) {
        return;
    }
    record->oldest_ms = oldest_ms;
    dedup_entry *head = g_queue_peek_head(record->by_arrival);
    while (head != NULL && head->request.time_ms < oldest_ms &&
           head->state != DEDUP_STATE_QUEUED &&
           head->state != DEDUP_STATE_DISPATCHED) {
        if (head->state == DEDUP_STATE_RESPONSE_STORED) {
            g_queue_remove(record->with_response, head);
            dedup_drop_response(record, head);
        }
        g_queue_pop_head(record->by_arrival);
        g_hash_table_remove(record->entries, head->request.text);
        dedup_entry_free(head);
        head = g_queue_peek_head(record->by_arrival);
    }
}

/* Decision on an id that has an entry. */
static enum dedup_decision
dedup_decide_known(const dedup_entry *entry)
{
    switch (entry->state) {
    case DEDUP_STATE_QUEUED:
    case DEDUP_STATE_DISPATCHED:
        return DEDUP_IN_PROGRESS;
    case DEDUP_STATE_RESPONSE_STORED:
        return DEDUP_RESPONSE_STORED;
    case DEDUP_STATE_NO_RESPONSE:
        return DEDUP_ALREADY_RAN;
    case DEDUP_STATE_REFUSED:
        return DEDUP_REFUSED;
    }
    return DEDUP_ALREADY_RAN;
}

/* Decide on a request that is not idempotent; DEDUP_RUN stores it as queued.
 * `now_ms` is wall time.  It only bounds the memory; at-most-once execution
 * does not depend on it. */
enum dedup_decision
dedup_decide(dedup_record *record, const id *request, int64_t now_ms)
{
    dedup_expire(record, now_ms);
    dedup_entry *entry = dedup_find(record, request);
    if (entry != NULL) {
        return dedup_decide_known(entry);
    }
    if (request->time_ms < record->oldest_ms) {
        return DEDUP_TOO_OLD;
    }
    if (request->time_ms > now_ms + DEDUP_CLOCK_AHEAD_MAX_MS) {
        return DEDUP_IN_FUTURE;
    }
    uint64_t owner = dedup_owner_map_find(&record->map, request);
    if (owner == 0) {
        return request->time_ms >= record->map.horizon_ms ? DEDUP_NO_HORIZON
                                                          : DEDUP_TOO_OLD;
    }
    if (owner != record->options.self ||
        request->time_ms >= record->accept_until_ms) {
        return DEDUP_WRONG_OWNER;
    }
    if (g_hash_table_size(record->entries) >= record->options.ids_max) {
        return DEDUP_RECORD_FULL;
    }
    entry = g_new0(dedup_entry, 1);
    entry->request = *request;
    entry->state = DEDUP_STATE_QUEUED;
    g_hash_table_insert(record->entries, entry->request.text, entry);
    g_queue_push_tail(record->by_arrival, entry);
    return DEDUP_RUN;
}

/* Incarnation that owns an id under the current map, or 0. */
uint64_t
dedup_find_owner(const dedup_record *record, const id *request)
{
    return dedup_owner_map_find(&record->map, request);
}

/* Stored response of an id that was DEDUP_RESPONSE_STORED, or NULL. */
const dedup_response *
dedup_find_response(dedup_record *record, const id *request)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry == NULL || entry->state != DEDUP_STATE_RESPONSE_STORED) {
        return NULL;
    }
    return &entry->response;
}

/* Mark a queued request as handed to the target; call it before that. */
void
dedup_mark_dispatched(dedup_record *record, const id *request)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry != NULL && entry->state == DEDUP_STATE_QUEUED) {
        entry->state = DEDUP_STATE_DISPATCHED;
    }
}

/* Mark a queued request as refused.  `permanent`: another attempt of it may
 * be in flight, so the entry stays and no copy is ever executed; otherwise the
 * entry is removed. */
void
dedup_mark_refused(dedup_record *record, const id *request, bool permanent)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry == NULL || entry->state != DEDUP_STATE_QUEUED) {
        return;
    }
    if (permanent) {
        entry->state = DEDUP_STATE_REFUSED;
        return;
    }
    g_hash_table_remove(record->entries, entry->request.text);
    g_queue_remove(record->by_arrival, entry);
    dedup_entry_free(entry);
}

/* Like dedup_mark_refused(), for a request that was dispatched but that the
 * target did not receive because it was unreachable. */
void
dedup_mark_unsent(dedup_record *record, const id *request, bool permanent)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry != NULL && entry->state == DEDUP_STATE_DISPATCHED) {
        entry->state = DEDUP_STATE_QUEUED;
        dedup_mark_refused(record, request, permanent);
    }
}

/* Mark a dispatched request as executed or possibly so, without a complete
 * response. */
void
dedup_mark_lost(dedup_record *record, const id *request)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry != NULL && entry->state == DEDUP_STATE_DISPATCHED) {
        entry->state = DEDUP_STATE_NO_RESPONSE;
    }
}

/* Drop the oldest responses until `length` more bytes fit. */
static void
dedup_evict_responses(dedup_record *record, size_t length)
{
    while (record->response_bytes + length >
           record->options.responses_bytes_max) {
        dedup_entry *head = g_queue_pop_head(record->with_response);
        if (head == NULL) {
            return;
        }
        dedup_drop_response(record, head);
    }
}

/* Mark a dispatched request as executed and store its response for callers
 * that repeat it, unless the body exceeds the limit. */
void
dedup_store_response(dedup_record *record, const id *request, int status,
                     const char *content_type, const char *body, size_t length)
{
    dedup_entry *entry = dedup_find(record, request);
    if (entry == NULL || entry->state != DEDUP_STATE_DISPATCHED) {
        return;
    }
    entry->state = DEDUP_STATE_NO_RESPONSE;
    if (length > record->options.response_bytes_max) {
        return;
    }
    dedup_evict_responses(record, length);
    entry->state = DEDUP_STATE_RESPONSE_STORED;
    entry->response.status = status;
    entry->response.length = length;
    entry->response.body = g_malloc(length + 1);
    memcpy(entry->response.body, body, length);
    entry->response.body[length] = '\0';
    snprintf(entry->response.content_type,
             sizeof(entry->response.content_type), "%s", content_type);
    record->response_bytes += length;
    g_queue_push_tail(record->with_response, entry);
}
