#include "config_store.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lav/counter.h"
#include "lav/log.h"
#include "lav/config_version.h"

#define CONFIG_STORE_STAGED_MAX                                               \
    CATALOG_SERVICES_MAX /* files of one configuration */

struct config_store {
    node *node;
    pthread_mutex_t apply_lock; /* held while a configuration is activated */
    pthread_mutex_t lock;       /* protects the members below; held briefly */
    config_version_state version;
    char *head;         /* text of the active head, or NULL */
    GHashTable *files;  /* hash -> text, of the active head */
    GHashTable *staged; /* hash -> text, received before their head */
};

typedef struct config_store_loading {
    config_store *store;
    GHashTable *files; /* hash -> text, of the head being loaded */
    manifest_fetch_cb fetch;
    void *payload;
} config_store_loading;

/* Create a store without a configuration. */
int
config_store_new(config_store **out, node *n, err *e)
{
    config_store *store = calloc(1, sizeof(*store));
    if (store == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY,
                       "no memory for the configuration store");
    }
    store->node = n;
    pthread_mutex_init(&store->apply_lock, NULL);
    pthread_mutex_init(&store->lock, NULL);
    store->files =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    store->staged =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    *out = store;
    return 0;
}

/* Free the store; NULL is allowed. */
void
config_store_free(config_store *store)
{
    if (store != NULL) {
        g_hash_table_destroy(store->files);
        g_hash_table_destroy(store->staged);
        free(store->head);
        pthread_mutex_destroy(&store->apply_lock);
        pthread_mutex_destroy(&store->lock);
        free(store);
    }
}

/* Version of the active configuration; 0 if there is none. */
uint64_t
config_store_version(config_store *store)
{
    pthread_mutex_lock(&store->lock);
    uint64_t version = store->version.active_version;
    pthread_mutex_unlock(&store->lock);
    return version;
}

/* Get a file by its hash, from the store or else through the caller's fetch
 * callback, and add it to the files being loaded. */
static int
config_store_fetch(char **out, const char *hash, err *e, void *payload)
{
    config_store_loading *loading = payload;
    pthread_mutex_lock(&loading->store->lock);
    const char *known = g_hash_table_lookup(loading->store->files, hash);
    *out = known == NULL ? NULL : strdup(known);
    pthread_mutex_unlock(&loading->store->lock);
    if (*out == NULL) {
        int result = loading->fetch(out, hash, e, loading->payload);
        if (result < 0) {
            return result;
        }
    }
    g_hash_table_replace(loading->files, g_strdup(hash), strdup(*out));
    return 0;
}

/* Publish a loaded configuration and keep its files. */
static void
config_store_activate(config_store *store, uint64_t version, const char *head,
                      catalog *loaded, GHashTable *files)
{
    snapshot_set_config(store->node->snapshot, version, loaded);
    pthread_mutex_lock(&store->lock);
    config_version_apply(&store->version, version);
    free(store->head);
    store->head = strdup(head);
    g_hash_table_destroy(store->files);
    store->files = files;
    pthread_mutex_unlock(&store->lock);
    log_write(LOG_INFO, NULL, "configuration version %llu is active",
              (unsigned long long)version);
}

/* Activate the configuration of a head. A version that is not newer than the
 * active one is counted and ignored. Files that are not in the store are
 * obtained through `fetch`; if one of them is missing or invalid, the active
 * configuration stays unchanged. */
int
config_store_apply(config_store *store, uint64_t version, const char *head,
                   manifest_fetch_cb fetch, void *payload, err *e)
{
    manifest *parsed = malloc(sizeof(*parsed));
    catalog *loaded = NULL;
    int result = ERR_NO_MEMORY;
    pthread_mutex_lock(&store->apply_lock);
    if (version <= config_store_version(store)) {
        counter_add(COUNTER_STALE_CONFIG, 1);
        result = 0;
        goto done;
    }
    if (parsed == NULL) {
        goto done;
    }
    result = manifest_parse(parsed, head, e);
    if (result < 0) {
        goto done;
    }
    config_store_loading loading = {
        store, g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free),
        fetch, payload};
    result = manifest_load_catalog(&loaded, parsed, config_store_fetch,
                                   &loading, e);
    if (result < 0) {
        g_hash_table_destroy(loading.files);
        goto done;
    }
    config_store_activate(store, version, head, loaded, loading.files);
done:
    pthread_mutex_unlock(&store->apply_lock);
    free(parsed);
    return result;
}

/* Stage a file of a configuration whose head follows. ERR_INVALID if the text
 * does not match the hash. */
int
config_store_add_file(config_store *store, const char *hash, const char *text,
                      err *e)
{
    char actual[MANIFEST_HASH_SIZE];
    manifest_hash_text(actual, text);
    if (strcmp(actual, hash) != 0) {
        return ERR_SET(e, ERR_INVALID,
                       "hash mismatch: received a file of hash %s as %s",
                       actual, hash);
    }
    pthread_mutex_lock(&store->lock);
    if (g_hash_table_size(store->staged) >= CONFIG_STORE_STAGED_MAX) {
        g_hash_table_remove_all(store->staged);
    }
    g_hash_table_replace(store->staged, g_strdup(hash), strdup(text));
    pthread_mutex_unlock(&store->lock);
    return 0;
}

/* manifest_fetch_cb: get a staged file by its hash. */
static int
config_store_fetch_staged(char **out, const char *hash, err *e, void *payload)
{
    config_store *store = payload;
    pthread_mutex_lock(&store->lock);
    const char *text = g_hash_table_lookup(store->staged, hash);
    *out = text == NULL ? NULL : strdup(text);
    pthread_mutex_unlock(&store->lock);
    return *out != NULL
               ? 0
               : ERR_SET(e, ERR_NOT_FOUND,
                         "configuration file %s was not received", hash);
}

/* Activate a head whose new files have been staged before, and discard the
 * staged files. */
int
config_store_accept_head(config_store *store, uint64_t version,
                         const char *head, err *e)
{
    int result = config_store_apply(store, version, head,
                                    config_store_fetch_staged, store, e);
    if (result == 0) {
        pthread_mutex_lock(&store->lock);
        g_hash_table_remove_all(store->staged);
        pthread_mutex_unlock(&store->lock);
    }
    return result;
}

/* Copy the active head or one of its files, given its key on the platform;
 * ERR_NOT_FOUND if the store does not hold it. */
int
config_store_lookup(msg_body *out, uint64_t *out_version, config_store *store,
                    const char *key)
{
    size_t prefix = strlen(MANIFEST_FILE_KEY_PREFIX);
    const char *text = NULL;
    int result = ERR_NOT_FOUND;
    pthread_mutex_lock(&store->lock);
    if (strcmp(key, MANIFEST_KEY) == 0) {
        text = store->head;
    }
    else if (strncmp(key, MANIFEST_FILE_KEY_PREFIX, prefix) == 0) {
        text = g_hash_table_lookup(store->files, key + prefix);
    }
    if (text != NULL) {
        *out_version = store->version.active_version;
        result = msg_body_copy(out, text, strlen(text));
    }
    pthread_mutex_unlock(&store->lock);
    return result;
}
