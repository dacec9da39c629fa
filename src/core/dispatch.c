#include "lav/dispatch.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "lav/err.h"

enum dispatch_state {
    DISPATCH_STATE_QUEUED,
    DISPATCH_STATE_DISPATCHED,
    DISPATCH_STATE_CANCELLED /* refused or cancelled, before dispatch */
};

typedef struct dispatch_attempt {
    uint64_t nonce;
    enum dispatch_state state;
    int64_t seen_us; /* first arrival or cancel, monotonic clock */
} dispatch_attempt;

struct dispatch_table {
    size_t attempts_max;
    GHashTable *attempts; /* nonce -> dispatch_attempt */
    GQueue *order;        /* dispatch_attempt, oldest first */
};

/* Create a table of at most `attempts_max` attempts; ERR_NO_MEMORY on
 * failure. */
int
dispatch_new(dispatch_table **out, size_t attempts_max)
{
    dispatch_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->attempts_max = attempts_max;
    table->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
    table->order = g_queue_new();
    *out = table;
    return 0;
}

/* Free the table; accepts NULL. */
void
dispatch_free(dispatch_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->attempts);
        g_queue_free_full(table->order, g_free);
        free(table);
    }
}

/* Store a new attempt; false if the table is full. */
static bool
dispatch_store(dispatch_table *table, uint64_t nonce,
               enum dispatch_state state, int64_t now_us)
{
    dispatch_expire(table, now_us);
    if (g_hash_table_size(table->attempts) >= table->attempts_max) {
        return false;
    }
    dispatch_attempt *attempt = g_new0(dispatch_attempt, 1);
    attempt->nonce = nonce;
    attempt->state = state;
    attempt->seen_us = now_us;
    g_hash_table_insert(table->attempts, &attempt->nonce, attempt);
    g_queue_push_tail(table->order, attempt);
    return true;
}

/* Register an attempt that arrives `age_ms` after it was sent. */
enum dispatch_arrival
dispatch_add(dispatch_table *table, uint64_t nonce, int64_t age_ms,
             int64_t now_us)
{
    dispatch_attempt *attempt = g_hash_table_lookup(table->attempts, &nonce);
    if (attempt != NULL) {
        return attempt->state == DISPATCH_STATE_CANCELLED
                   ? DISPATCH_ALREADY_CANCELLED
                   : DISPATCH_DUPLICATE;
    }
    if (age_ms > DISPATCH_AGE_MAX_MS) {
        return DISPATCH_TOO_OLD;
    }
    return dispatch_store(table, nonce, DISPATCH_STATE_QUEUED, now_us)
               ? DISPATCH_NEW
               : DISPATCH_TABLE_FULL;
}

/* Mark an attempt as handed to the target; ERR_CONFLICT if it is not queued,
 * in which case it must not be handed over. */
int
dispatch_start(dispatch_table *table, uint64_t nonce)
{
    dispatch_attempt *attempt = g_hash_table_lookup(table->attempts, &nonce);
    if (attempt == NULL || attempt->state != DISPATCH_STATE_QUEUED) {
        return ERR_CONFLICT;
    }
    attempt->state = DISPATCH_STATE_DISPATCHED;
    return 0;
}

/* Mark a queued attempt as refused, so that it can no longer be dispatched. */
void
dispatch_mark_refused(dispatch_table *table, uint64_t nonce)
{
    dispatch_attempt *attempt = g_hash_table_lookup(table->attempts, &nonce);
    if (attempt != NULL && attempt->state == DISPATCH_STATE_QUEUED) {
        attempt->state = DISPATCH_STATE_CANCELLED;
    }
}

/* Cancel an attempt, whether or not it has arrived.  One that has not is
 * stored as cancelled, which refuses it when it arrives. */
enum dispatch_cancel
dispatch_cancel(dispatch_table *table, uint64_t nonce, int64_t now_us)
{
    dispatch_attempt *attempt = g_hash_table_lookup(table->attempts, &nonce);
    if (attempt == NULL) {
        return dispatch_store(table, nonce, DISPATCH_STATE_CANCELLED, now_us)
                   ? DISPATCH_CANCEL_CONFIRMED
                   : DISPATCH_CANCEL_UNCONFIRMED;
    }
    if (attempt->state == DISPATCH_STATE_DISPATCHED) {
        return DISPATCH_CANCEL_TOO_LATE;
    }
    attempt->state = DISPATCH_STATE_CANCELLED;
    return DISPATCH_CANCEL_CONFIRMED;
}

/* Remove attempts that were first seen more than DISPATCH_TTL_US ago. */
void
dispatch_expire(dispatch_table *table, int64_t now_us)
{
    dispatch_attempt *oldest = g_queue_peek_head(table->order);
    while (oldest != NULL && now_us - oldest->seen_us > DISPATCH_TTL_US) {
        g_queue_pop_head(table->order);
        g_hash_table_remove(table->attempts, &oldest->nonce);
        g_free(oldest);
        oldest = g_queue_peek_head(table->order);
    }
}
