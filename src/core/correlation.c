#include "lav/correlation.h"

#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

#include "lav/err.h"

typedef struct correlation_entry {
    uint64_t nonce;
    int call;
    int attempt;
} correlation_entry;

struct correlation_table {
    size_t attempts_max;
    GHashTable *entries; /* nonce -> correlation_entry */
};

/* Create a table of at most `attempts_max` attempts that await a reply;
 * ERR_NO_MEMORY on failure. */
int
correlation_new(correlation_table **out, size_t attempts_max)
{
    correlation_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->attempts_max = attempts_max;
    table->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    *out = table;
    return 0;
}

/* Free the table; accepts NULL. */
void
correlation_free(correlation_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->entries);
        free(table);
    }
}

/* Add an attempt whose reply carries `nonce`; ERR_FULL if the table is full or
 * already contains the nonce. */
int
correlation_add(correlation_table *table, uint64_t nonce, int call,
                int attempt)
{
    if (g_hash_table_size(table->entries) >= table->attempts_max ||
        g_hash_table_contains(table->entries, &nonce)) {
        return ERR_FULL;
    }
    correlation_entry *entry = g_new0(correlation_entry, 1);
    *entry = (correlation_entry){nonce, call, attempt};
    g_hash_table_insert(table->entries, &entry->nonce, entry);
    return 0;
}

/* Call that a reply belongs to, and its attempt; CORRELATION_NONE if no call
 * expects the reply.  The entry stays until it is removed. */
int
correlation_find(int *out_attempt, correlation_table *table, uint64_t nonce)
{
    const correlation_entry *entry =
        g_hash_table_lookup(table->entries, &nonce);
    if (entry == NULL) {
        return CORRELATION_NONE;
    }
    *out_attempt = entry->attempt;
    return entry->call;
}

/* Remove an attempt, so that its reply is no longer expected. */
void
correlation_remove(correlation_table *table, uint64_t nonce)
{
    g_hash_table_remove(table->entries, &nonce);
}

/* Predicate of g_hash_table_foreach_remove(): attempt of the call that
 * `payload` points to. */
static gboolean
correlation_is_of_call(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const correlation_entry *)value)->call == *(int *)payload;
}

/* Remove all attempts of a call. */
void
correlation_remove_call(correlation_table *table, int call)
{
    g_hash_table_foreach_remove(table->entries, correlation_is_of_call, &call);
}

/* Number of attempts that await a reply. */
size_t
correlation_count(const correlation_table *table)
{
    return g_hash_table_size(table->entries);
}

/* Checksum of the `length` bytes of a body (XXH3, 64 bits). */
uint64_t
correlation_checksum(const char *body, size_t length)
{
    return XXH3_64bits(body, length);
}
