#include "lav/admission_cache.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct admission_cache_entry {
    uint64_t key;
    uint64_t instance;
    int level;
    int64_t noted_us;
} admission_cache_entry;

struct admission_cache {
    size_t entries_max;
    GHashTable *entries; /* key -> admission_cache_entry */
};

/* Make a table of at most `entries_max` operations on instances. */
int
admission_cache_new(admission_cache **out, size_t entries_max)
{
    admission_cache *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return ERR_NO_MEMORY;
    }
    l->entries_max = entries_max;
    l->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    *out = l;
    return 0;
}

/* Release the table; takes NULL. */
void
admission_cache_free(admission_cache *l)
{
    if (l != NULL) {
        g_hash_table_destroy(l->entries);
        free(l);
    }
}

static uint64_t
admission_cache_key(const char *operation, uint64_t instance)
{
    return id_hash(operation) ^ instance;
}

static int
admission_cache_decayed(const admission_cache_entry *entry, int64_t now_us)
{
    int64_t age_us = now_us - entry->noted_us - ADMISSION_CACHE_HOLD_US;
    if (age_us <= 0) {
        return entry->level;
    }
    int64_t risen = age_us * ADMISSION_LEVEL_MAX / ADMISSION_CACHE_RECOVERY_US;
    int64_t level = entry->level + risen;
    return level > ADMISSION_LEVEL_MAX ? ADMISSION_LEVEL_MAX : (int)level;
}

/* A reply of `instance` named the level that it demands of `operation`
 * ("service.operation").  A full table forgets the note. */
void
admission_cache_put(admission_cache *l, const char *operation,
                    uint64_t instance, int level, int64_t now_us)
{
    uint64_t key = admission_cache_key(operation, instance);
    admission_cache_entry *entry = g_hash_table_lookup(l->entries, &key);
    if (entry == NULL) {
        if (g_hash_table_size(l->entries) >= l->entries_max) {
            return;
        }
        entry = g_new0(admission_cache_entry, 1);
        entry->key = key;
        entry->instance = instance;
        g_hash_table_insert(l->entries, &entry->key, entry);
    }
    entry->level = level;
    entry->noted_us = now_us;
}

/* Level that an instance demands now; ADMISSION_LEVEL_MAX where none is known. */
int
admission_cache_get(const admission_cache *l, const char *operation,
                    uint64_t instance, int64_t now_us)
{
    uint64_t key = admission_cache_key(operation, instance);
    const admission_cache_entry *entry = g_hash_table_lookup(l->entries, &key);
    return entry == NULL ? ADMISSION_LEVEL_MAX
                         : admission_cache_decayed(entry, now_us);
}

static gboolean
admission_cache_of_instance(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const admission_cache_entry *)value)->instance ==
           *(uint64_t *)payload;
}

/* Forget an instance that has gone. */
void
admission_cache_remove_instance(admission_cache *l, uint64_t instance)
{
    g_hash_table_foreach_remove(l->entries, admission_cache_of_instance,
                                &instance);
}
