#include "lav/ans.h"

#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

#include "lav/err.h"

typedef struct ans_entry {
    uint64_t nonce;
    int call;
    int attempt;
} ans_entry;

struct ans {
    size_t attempts_max;
    GHashTable *entries; /* nonce -> ans_entry */
};

/* Make a table of at most `attempts_max` attempts without an answer. */
int
ans_new(ans **out, size_t attempts_max)
{
    ans *a = calloc(1, sizeof(*a));
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
ans_free(ans *a)
{
    if (a != NULL) {
        g_hash_table_destroy(a->entries);
        free(a);
    }
}

/* Expect an answer with this nonce; ERR_FULL where there is no room. */
int
ans_expect(ans *a, uint64_t nonce, int call, int attempt)
{
    if (g_hash_table_size(a->entries) >= a->attempts_max ||
        g_hash_table_contains(a->entries, &nonce)) {
        return ERR_FULL;
    }
    ans_entry *entry = g_new0(ans_entry, 1);
    *entry = (ans_entry){nonce, call, attempt};
    g_hash_table_insert(a->entries, &entry->nonce, entry);
    return 0;
}

/* Call that an answer belongs to, and its attempt; ANS_NONE where nobody
 * waits for it any more.  The entry stays until it is forgotten. */
int
ans_match(int *out_attempt, ans *a, uint64_t nonce)
{
    const ans_entry *entry = g_hash_table_lookup(a->entries, &nonce);
    if (entry == NULL) {
        return ANS_NONE;
    }
    *out_attempt = entry->attempt;
    return entry->call;
}

/* Expect no answer with this nonce any more. */
void
ans_forget(ans *a, uint64_t nonce)
{
    g_hash_table_remove(a->entries, &nonce);
}

static gboolean
ans_of_call(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const ans_entry *)value)->call == *(int *)payload;
}

/* Expect no answer for any attempt of a call any more. */
void
ans_forget_call(ans *a, int call)
{
    g_hash_table_foreach_remove(a->entries, ans_of_call, &call);
}

/* Attempts without an answer. */
size_t
ans_count(const ans *a)
{
    return g_hash_table_size(a->entries);
}

/* Checksum of a body (XXH3, 64 bits). */
uint64_t
ans_checksum(const char *body, size_t length)
{
    return XXH3_64bits(body, length);
}
