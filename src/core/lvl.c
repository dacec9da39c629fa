#include "lav/lvl.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct lvl_entry {
    uint64_t key;
    uint64_t instance;
    int level;
    int64_t noted_us;
} lvl_entry;

struct lvl {
    size_t entries_max;
    GHashTable *entries; /* key -> lvl_entry */
};

/* Make a table of at most `entries_max` operations on instances. */
int
lvl_new(lvl **out, size_t entries_max)
{
    lvl *l = calloc(1, sizeof(*l));
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
lvl_free(lvl *l)
{
    if (l != NULL) {
        g_hash_table_destroy(l->entries);
        free(l);
    }
}

static uint64_t
lvl_key(const char *operation, uint64_t instance)
{
    return id_hash(operation) ^ instance;
}

static int
lvl_decayed(const lvl_entry *entry, int64_t now_us)
{
    int64_t age_us = now_us - entry->noted_us - LVL_HOLD_US;
    if (age_us <= 0) {
        return entry->level;
    }
    int64_t risen = age_us * ADM_LEVEL_MAX / LVL_RECOVER_US;
    int64_t level = entry->level + risen;
    return level > ADM_LEVEL_MAX ? ADM_LEVEL_MAX : (int)level;
}

/* A reply of `instance` named the level that it demands of `operation`
 * ("service.operation").  A full table forgets the note. */
void
lvl_note(lvl *l, const char *operation, uint64_t instance, int level,
         int64_t now_us)
{
    uint64_t key = lvl_key(operation, instance);
    lvl_entry *entry = g_hash_table_lookup(l->entries, &key);
    if (entry == NULL) {
        if (g_hash_table_size(l->entries) >= l->entries_max) {
            return;
        }
        entry = g_new0(lvl_entry, 1);
        entry->key = key;
        entry->instance = instance;
        g_hash_table_insert(l->entries, &entry->key, entry);
    }
    entry->level = level;
    entry->noted_us = now_us;
}

/* Level that an instance demands now; ADM_LEVEL_MAX where none is known. */
int
lvl_instance(const lvl *l, const char *operation, uint64_t instance,
             int64_t now_us)
{
    uint64_t key = lvl_key(operation, instance);
    const lvl_entry *entry = g_hash_table_lookup(l->entries, &key);
    return entry == NULL ? ADM_LEVEL_MAX : lvl_decayed(entry, now_us);
}

static gboolean
lvl_of_instance(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const lvl_entry *)value)->instance == *(uint64_t *)payload;
}

/* Forget an instance that has gone. */
void
lvl_forget_instance(lvl *l, uint64_t instance)
{
    g_hash_table_foreach_remove(l->entries, lvl_of_instance, &instance);
}
