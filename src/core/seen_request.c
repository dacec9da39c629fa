#include "lav/seen_request.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct seen_request_entry {
    char request[ID_SIZE];
    int attempts;
    int budget;    /* retry budget left, less that of attempts in progress */
    int in_flight; /* attempts in progress */
    bool none_ran; /* every finished attempt had outcome "not run" */
    int64_t first_us; /* time of the first attempt, monotonic clock */
} seen_request_entry;

struct seen_request_table {
    size_t requests_max;
    GHashTable *entries; /* request -> seen_request_entry */
    GQueue *by_arrival;  /* entries, oldest first */
};

/* Create a table of at most `requests_max` requests; ERR_NO_MEMORY on
 * failure. */
int
seen_request_new(seen_request_table **out, size_t requests_max)
{
    seen_request_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->requests_max = requests_max;
    table->entries = g_hash_table_new(g_str_hash, g_str_equal);
    table->by_arrival = g_queue_new();
    *out = table;
    return 0;
}

/* Free the table; accepts NULL. */
void
seen_request_free(seen_request_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->entries);
        g_queue_free_full(table->by_arrival, g_free);
        free(table);
    }
}

/* Remove requests older than SEEN_REQUEST_TTL_US, and the oldest ones while
 * the table is full. */
static void
seen_request_expire(seen_request_table *table, int64_t now_us)
{
    seen_request_entry *oldest = g_queue_peek_head(table->by_arrival);
    while (oldest != NULL &&
           (now_us - oldest->first_us > SEEN_REQUEST_TTL_US ||
            g_hash_table_size(table->entries) >= table->requests_max)) {
        g_queue_pop_head(table->by_arrival);
        g_hash_table_remove(table->entries, oldest->request);
        g_free(oldest);
        oldest = g_queue_peek_head(table->by_arrival);
    }
}

/* Store the first attempt of a request, which gets the whole budget. */
static seen_request_history
seen_request_insert(seen_request_table *table, const char *request, int budget,
                    int64_t now_us)
{
    seen_request_entry *entry = g_new0(seen_request_entry, 1);
    snprintf(entry->request, sizeof(entry->request), "%s", request);
    entry->attempts = 1;
    entry->in_flight = 1;
    entry->none_ran = true;
    entry->first_us = now_us;
    g_hash_table_insert(table->entries, entry->request, entry);
    g_queue_push_tail(table->by_arrival, entry);
    return (seen_request_history){1, budget, true};
}

/* Register an attempt by a caller; `budget` is the retry budget of the root
 * request.  A repeated request costs one and gets the rest of the budget, or
 * -1 if nothing was left. */
seen_request_history
seen_request_add(seen_request_table *table, const char *request, int budget,
                 int64_t now_us)
{
    seen_request_expire(table, now_us);
    seen_request_entry *entry = g_hash_table_lookup(table->entries, request);
    if (entry == NULL) {
        return seen_request_insert(table, request, budget, now_us);
    }
    seen_request_history history = {++entry->attempts, entry->budget - 1,
                                    entry->none_ran && entry->in_flight == 0};
    entry->in_flight++;
    entry->budget = 0;
    return history;
}

/* Finish an attempt: `budget_left` is the unused part of its budget, `not_run`
 * whether its outcome was "not run". */
void
seen_request_finish(seen_request_table *table, const char *request,
                    int budget_left, bool not_run)
{
    seen_request_entry *entry = g_hash_table_lookup(table->entries, request);
    if (entry == NULL) {
        return;
    }
    entry->in_flight--;
    entry->none_ran = entry->none_ran && not_run;
    if (budget_left > 0) {
        entry->budget += budget_left;
    }
}
