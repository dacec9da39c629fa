#include "lav/seen_request.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct seen_request_entry {
    char request[ID_SIZE];
    int attempts;
    int budget; /* left; what is in flight has been taken out */
    int open;   /* attempts without an answer */
    bool none_ran;
    int64_t first_us;
} seen_request_entry;

struct seen_request_table {
    size_t requests_max;
    GHashTable *entries; /* request -> seen_request_entry */
    GQueue *order;       /* oldest first */
};

/* Make a memory of at most `requests_max` requests. */
int
seen_request_new(seen_request_table **out, size_t requests_max)
{
    seen_request_table *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_NO_MEMORY;
    }
    s->requests_max = requests_max;
    s->entries = g_hash_table_new(g_str_hash, g_str_equal);
    s->order = g_queue_new();
    *out = s;
    return 0;
}

/* Release the memory; takes NULL. */
void
seen_request_free(seen_request_table *s)
{
    if (s != NULL) {
        g_hash_table_destroy(s->entries);
        g_queue_free_full(s->order, g_free);
        free(s);
    }
}

static void
seen_request_expire(seen_request_table *s, int64_t now_us)
{
    seen_request_entry *oldest = g_queue_peek_head(s->order);
    while (oldest != NULL &&
           (now_us - oldest->first_us > SEEN_REQUEST_TTL_US ||
            g_hash_table_size(s->entries) >= s->requests_max)) {
        g_queue_pop_head(s->order);
        g_hash_table_remove(s->entries, oldest->request);
        g_free(oldest);
        oldest = g_queue_peek_head(s->order);
    }
}

static seen_request_history
seen_request_insert(seen_request_table *s, const char *request, int budget,
                    int64_t now_us)
{
    seen_request_entry *entry = g_new0(seen_request_entry, 1);
    snprintf(entry->request, sizeof(entry->request), "%s", request);
    entry->attempts = 1;
    entry->open = 1;
    entry->none_ran = true;
    entry->first_us = now_us;
    g_hash_table_insert(s->entries, entry->request, entry);
    g_queue_push_tail(s->order, entry);
    return (seen_request_history){1, budget, true};
}

/* A caller sends a request whose root budget is `budget`.  A repetition
 * costs one and gets what is left, or -1 where nothing is left for it. */
seen_request_history
seen_request_add(seen_request_table *s, const char *request, int budget,
                 int64_t now_us)
{
    seen_request_expire(s, now_us);
    seen_request_entry *entry = g_hash_table_lookup(s->entries, request);
    if (entry == NULL) {
        return seen_request_insert(s, request, budget, now_us);
    }
    seen_request_history seen = {++entry->attempts, entry->budget - 1,
                                 entry->none_ran && entry->open == 0};
    entry->open++;
    entry->budget = 0;
    return seen;
}

/* The request was answered, with `budget_left` of what it had been given. */
void
seen_request_set_answer(seen_request_table *s, const char *request,
                        int budget_left, bool not_run)
{
    seen_request_entry *entry = g_hash_table_lookup(s->entries, request);
    if (entry == NULL) {
        return;
    }
    entry->open--;
    entry->none_ran = entry->none_ran && not_run;
    if (budget_left > 0) {
        entry->budget += budget_left;
    }
}
