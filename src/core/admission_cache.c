#include "lav/admission_cache.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct admission_cache_entry {
    uint64_t key; /* admission_cache_key() */
    uint64_t instance;
    int level;
    int64_t updated_us;
} admission_cache_entry;

struct admission_cache {
    size_t entries_max;
    GHashTable *entries; /* key -> admission_cache_entry */
};

/* Create a cache of at most `entries_max` pairs of operation and instance;
 * ERR_NO_MEMORY on failure. */
int
admission_cache_new(admission_cache **out, size_t entries_max)
{
    admission_cache *cache = calloc(1, sizeof(*cache));
    if (cache == NULL) {
        return ERR_NO_MEMORY;
    }
    cache->entries_max = entries_max;
    cache->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    *out = cache;
    return 0;
}

/* Free the cache; accepts NULL. */
void
admission_cache_free(admission_cache *cache)
{
    if (cache != NULL) {
        g_hash_table_destroy(cache->entries);
        free(cache);
    }
}

/* Key of the entry of an operation on an instance. */
static uint64_t
admission_cache_key(const char *operation, uint64_t instance)
{
    return id_hash(operation) ^ instance;
}

/* Level of an entry now: the reported one, raised by its age. */
static int
admission_cache_current_level(const admission_cache_entry *entry,
                              int64_t now_us)
{
    int64_t age_us = now_us - entry->updated_us - ADMISSION_CACHE_HOLD_US;
    if (age_us <= 0) {
        return entry->level;
    }
    int64_t rise = age_us * ADMISSION_LEVEL_MAX / ADMISSION_CACHE_RECOVERY_US;
    int64_t level = entry->level + rise;
    return level > ADMISSION_LEVEL_MAX ? ADMISSION_LEVEL_MAX : (int)level;
}

/* Store the level that a reply of `instance` reported for `operation`
 * ("service.operation").  A full cache ignores new entries. */
void
admission_cache_put(admission_cache *cache, const char *operation,
                    uint64_t instance, int level, int64_t now_us)
{
    uint64_t key = admission_cache_key(operation, instance);
    admission_cache_entry *entry = g_hash_table_lookup(cache->entries, &key);
    if (entry == NULL) {
        if (g_hash_table_size(cache->entries) >= cache->entries_max) {
            return;
        }
        entry = g_new0(admission_cache_entry, 1);
        entry->key = key;
        entry->instance = instance;
        g_hash_table_insert(cache->entries, &entry->key, entry);
    }
    entry->level = level;
    entry->updated_us = now_us;
}

/* Level of an instance now; ADMISSION_LEVEL_MAX if none is known. */
int
admission_cache_get(const admission_cache *cache, const char *operation,
                    uint64_t instance, int64_t now_us)
{
    uint64_t key = admission_cache_key(operation, instance);
    const admission_cache_entry *entry =
        g_hash_table_lookup(cache->entries, &key);
    return entry == NULL ? ADMISSION_LEVEL_MAX
                         : admission_cache_current_level(entry, now_us);
}

/* Predicate of g_hash_table_foreach_remove(): entry of the instance that
 * `payload` points to. */
static gboolean
admission_cache_is_of_instance(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const admission_cache_entry *)value)->instance ==
           *(uint64_t *)payload;
}

/* Remove the entries of an instance that is gone. */
void
admission_cache_remove_instance(admission_cache *cache, uint64_t instance)
{
    g_hash_table_foreach_remove(cache->entries, admission_cache_is_of_instance,
                                &instance);
}
