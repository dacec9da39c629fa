#include "lav/workspace.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

/* Keyed hash of an API key. */
typedef struct workspace_key_hash {
    unsigned char bytes[crypto_generichash_BYTES];
} workspace_key_hash;

struct workspace_table {
    unsigned char secret[crypto_generichash_KEYBYTES]; /* of this table */
    GHashTable *keys; /* workspace_key_hash -> workspace */
    GHashTable *ids;  /* id -> workspace, which it owns */
};

/* Hash of an entry in the table of keys: its first bytes are as random as any
 * others. */
static guint
workspace_key_hash_code(gconstpointer key)
{
    guint code = 0;
    memcpy(&code, key, sizeof(code));
    return code;
}

/* Whether two keyed hashes are equal. */
static gboolean
workspace_key_hash_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(workspace_key_hash)) == 0;
}

/* Creates an empty table.  ERR_NO_MEMORY if memory is exhausted. */
int
workspace_table_new(workspace_table **out)
{
    workspace_table *table = calloc(1, sizeof(*table));
    if (table == NULL || sodium_init() < 0) {
        free(table);
        return ERR_NO_MEMORY;
    }
    crypto_generichash_keygen(table->secret);
    table->keys = g_hash_table_new_full(
        workspace_key_hash_code, workspace_key_hash_equal, g_free, NULL);
    table->ids =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    *out = table;
    return 0;
}

/* Frees the table and its workspaces; NULL is allowed. */
void
workspace_table_free(workspace_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->keys);
        g_hash_table_destroy(table->ids);
        sodium_memzero(table->secret, sizeof(table->secret));
        free(table);
    }
}

/* Computes the keyed hash of an API key. */
static void
workspace_hash_key(workspace_key_hash *out, const workspace_table *table,
                   const char *key, size_t length)
{
    crypto_generichash(out->bytes, sizeof(out->bytes),
                       (const unsigned char *)key, length, table->secret,
                       sizeof(table->secret));
}

/* Adds a copy of a workspace with its API keys; its id is derived from its
 * name.  ERR_INVALID if a field is out of range or the name is taken,
 * ERR_CONFLICT if one of its keys belongs to another workspace.  The table is
 * incomplete after an error. */
int
workspace_add(workspace_table *table, const workspace *entry,
              const char *const *keys, size_t key_count)
{
    uint32_t id = (uint32_t)id_hash(entry->name);
    if (entry->name[0] == '\0' || entry->priority < 0 ||
        entry->rate_per_s < 0 || entry->burst < 0 || id == WORKSPACE_NONE ||
        g_hash_table_contains(table->ids, GUINT_TO_POINTER(id))) {
        return ERR_INVALID;
    }
    workspace *copy = g_memdup2(entry, sizeof(*entry));
    copy->id = id;
    copy->key_count = key_count;
    g_hash_table_insert(table->ids, GUINT_TO_POINTER(id), copy);
    for (size_t i = 0; i < key_count; i++) {
        workspace_key_hash *hash = g_new(workspace_key_hash, 1);
        workspace_hash_key(hash, table, keys[i], strlen(keys[i]));
        const workspace *holder = g_hash_table_lookup(table->keys, hash);
        if (keys[i][0] == '\0' || (holder != NULL && holder != copy)) {
            g_free(hash);
            return keys[i][0] == '\0' ? ERR_INVALID : ERR_CONFLICT;
        }
        g_hash_table_replace(table->keys, hash, copy);
    }
    return 0;
}

/* Returns the workspace that holds an API key, which need not be terminated;
 * NULL if there is none. */
const workspace *
workspace_find_key(const workspace_table *table, const char *key,
                   size_t length)
{
    workspace_key_hash hash;
    workspace_hash_key(&hash, table, key, length);
    return g_hash_table_lookup(table->keys, &hash);
}

/* Returns the workspace with an id; NULL if there is none. */
const workspace *
workspace_get(const workspace_table *table, uint32_t id)
{
    return g_hash_table_lookup(table->ids, GUINT_TO_POINTER(id));
}

/* Returns the number of workspaces. */
size_t
workspace_count(const workspace_table *table)
{
    return g_hash_table_size(table->ids);
}

/* Whether any workspace has a usage cap; false for NULL. */
bool
workspace_any_capped(const workspace_table *table)
{
    GHashTableIter iter;
    gpointer value = NULL;
    if (table == NULL) {
        return false;
    }
    g_hash_table_iter_init(&iter, table->ids);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const workspace *)value)->rate_per_s > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the number of API keys of all workspaces. */
size_t
workspace_key_count(const workspace_table *table)
{
    return g_hash_table_size(table->keys);
}

/* Orders workspaces by name. */
static gint
workspace_compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(((const workspace *)a)->name, ((const workspace *)b)->name);
}

/* Calls `each` for every workspace, in the order of their names. */
void
workspace_each(const workspace_table *table, workspace_cb each, void *payload)
{
    GList *entries = g_list_sort(g_hash_table_get_values(table->ids),
                                 workspace_compare_names);
    for (const GList *at = entries; at != NULL; at = at->next) {
        each(at->data, payload);
    }
    g_list_free(entries);
}
