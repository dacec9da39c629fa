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

/* Make a table of at most `attempts_max` attempts without an answer. */
int
correlation_new(correlation_table **out, size_t attempts_max)
{
    correlation_table *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return ERR_NO_MEMORY;
    }
    a->attempts_max = attempts_max;
    a->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    *out = a;
    return 0;
}

/* Release the table; takes NULL. */
void
correlation_free(correlation_table *a)
{
    if (a != NULL) {
        g_hash_table_destroy(a->entries);
        free(a);
    }
}

/* Expect an answer with this nonce; ERR_FULL where there is no room. */
int
correlation_add(correlation_table *a, uint64_t nonce, int call, int attempt)
{
    if (g_hash_table_size(a->entries) >= a->attempts_max ||
        g_hash_table_contains(a->entries, &nonce)) {
        return ERR_FULL;
    }
    correlation_entry *entry = g_new0(correlation_entry, 1);
    *entry = (correlation_entry){nonce, call, attempt};
    g_hash_table_insert(a->entries, &entry->nonce, entry);
    return 0;
}

/* Call that an answer belongs to, and its attempt; CORRELATION_NONE where nobody
 * waits for it any more.  The entry stays until it is forgotten. */
int
correlation_take(int *out_attempt, correlation_table *a, uint64_t nonce)
{
    const correlation_entry *entry = g_hash_table_lookup(a->entries, &nonce);
    if (entry == NULL) {
        return CORRELATION_NONE;
    }
    *out_attempt = entry->attempt;
    return entry->call;
}

/* Expect no answer with this nonce any more. */
void
correlation_remove(correlation_table *a, uint64_t nonce)
{
    g_hash_table_remove(a->entries, &nonce);
}

static gboolean
correlation_is_of_call(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const correlation_entry *)value)->call == *(int *)payload;
}

/* Expect no answer for any attempt of a call any more. */
void
correlation_remove_call(correlation_table *a, int call)
{
    g_hash_table_foreach_remove(a->entries, correlation_is_of_call, &call);
}

/* Attempts without an answer. */
size_t
correlation_count(const correlation_table *a)
{
    return g_hash_table_size(a->entries);
}

/* Checksum of a body (XXH3, 64 bits). */
uint64_t
correlation_checksum(const char *body, size_t length)
{
    return XXH3_64bits(body, length);
}
