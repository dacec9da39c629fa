#include "config_store.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lav/counter.h"
#include "lav/log.h"
#include "lav/config_version.h"

#define CONFIG_STORE_OFFERED_MAX                                              \
    CATALOG_SERVICES_MAX /* files of one publication */

struct config_store {
    node *node;
    pthread_mutex_t lock; /* held while a configuration is put in force */
    pthread_mutex_t read; /* held shortly, for the members below */
    config_version_state version;
    char *head;          /* text of the head in force, or NULL */
    GHashTable *files;   /* hash -> text */
    GHashTable *offered; /* hash -> text, of a head that is still to come */
};

typedef struct config_store_loading {
    config_store *owner;
    GHashTable *files; /* of the head that is being loaded */
    manifest_fetch_cb fetch;
    void *payload;
} config_store_loading;

/* Make a store without a configuration. */
int
config_store_new(config_store **out, node *n, err *e)
{
    config_store *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "configuration");
    }
    c->node = n;
    pthread_mutex_init(&c->lock, NULL);
    pthread_mutex_init(&c->read, NULL);
    c->files = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    c->offered = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    *out = c;
    return 0;
}

/* Release the store; takes NULL. */
void
config_store_free(config_store *c)
{
    if (c != NULL) {
        g_hash_table_destroy(c->files);
        g_hash_table_destroy(c->offered);
        free(c->head);
        pthread_mutex_destroy(&c->lock);
        pthread_mutex_destroy(&c->read);
        free(c);
    }
}

/* Version in force; 0 where there is none. */
uint64_t
config_store_version(config_store *c)
{
    pthread_mutex_lock(&c->read);
    uint64_t version = c->version.active_version;
    pthread_mutex_unlock(&c->read);
    return version;
}

/* A file by its hash: from the store, else from wherever `fetch` gets it. */
static int
config_store_fetch(char **out, const char *hash, err *e, void *payload)
{
    config_store_loading *loading = payload;
    pthread_mutex_lock(&loading->owner->read);
    const char *known = g_hash_table_lookup(loading->owner->files, hash);
    *out = known == NULL ? NULL : strdup(known);
    pthread_mutex_unlock(&loading->owner->read);
    if (*out == NULL) {
        int result = loading->fetch(out, hash, e, loading->payload);
        if (result < 0) {
            return result;
        }
    }
    g_hash_table_replace(loading->files, g_strdup(hash), strdup(*out));
    return 0;
}

/* Put a loaded landscape in force, unless a newer one is by now. */
static void
config_store_enforce(config_store *c, uint64_t version, const char *head,
                     catalog *landscape, GHashTable *files)
{
    snapshot_set_config(c->node->snapshot, version, landscape);
    pthread_mutex_lock(&c->read);
    config_version_apply(&c->version, version);
    free(c->head);
    c->head = strdup(head);
    g_hash_table_destroy(c->files);
    c->files = files;
    pthread_mutex_unlock(&c->read);
    log_write(LOG_INFO, NULL, "configuration %llu is in force",
              (unsigned long long)version);
}

/*
 * Put the configuration of a head in force.  A version that is not newer
 * changes nothing and is counted.  A file that is not in the store is got
 * by `fetch`; where one can't be had, the old configuration stays whole.
 */
int
config_store_apply(config_store *c, uint64_t version, const char *head,
                   manifest_fetch_cb fetch, void *payload, err *e)
{
    manifest *parsed = malloc(sizeof(*parsed));
    catalog *landscape = NULL;
    int result = ERR_NO_MEMORY;
    pthread_mutex_lock(&c->lock);
    if (version <= config_store_version(c)) {
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
        c, g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free), fetch,
        payload};
    result = manifest_load_catalog(&landscape, parsed, config_store_fetch,
                                   &loading, e);
    if (result < 0) {
        g_hash_table_destroy(loading.files);
        goto done;
    }
    config_store_enforce(c, version, head, landscape, loading.files);
done:
    pthread_mutex_unlock(&c->lock);
    free(parsed);
    return result;
}

/* A file of a configuration whose head follows.  ERR_INVALID where it isn't
 * the file of that hash. */
int
config_store_add_file(config_store *c, const char *hash, const char *text,
                      err *e)
{
    char found[MANIFEST_HASH_SIZE];
    manifest_hash_text(found, text);
    if (strcmp(found, hash) != 0) {
        return ERR_SET(e, ERR_INVALID, "a file of hash %s offered as %s",
                       found, hash);
    }
    pthread_mutex_lock(&c->read);
    if (g_hash_table_size(c->offered) >= CONFIG_STORE_OFFERED_MAX) {
        g_hash_table_remove_all(c->offered);
    }
    g_hash_table_replace(c->offered, g_strdup(hash), strdup(text));
    pthread_mutex_unlock(&c->read);
    return 0;
}

static int
config_store_fetch_offered(char **out, const char *hash, err *e, void *payload)
{
    config_store *c = payload;
    pthread_mutex_lock(&c->read);
    const char *text = g_hash_table_lookup(c->offered, hash);
    *out = text == NULL ? NULL : strdup(text);
    pthread_mutex_unlock(&c->read);
    return *out != NULL
               ? 0
               : ERR_SET(e, ERR_NOT_FOUND, "file %s was not offered", hash);
}

/* Put an accepted head in force whose new files were offered before. */
int
config_store_accept_head(config_store *c, uint64_t version, const char *head,
                         err *e)
{
    int result =
        config_store_apply(c, version, head, config_store_fetch_offered, c, e);
    if (result == 0) {
        pthread_mutex_lock(&c->read);
        g_hash_table_remove_all(c->offered);
        pthread_mutex_unlock(&c->read);
    }
    return result;
}

/* A copy of the head or of a file by its key on the platform, for a peer;
 * ERR_NOT_FOUND where this node does not hold it. */
int
config_store_lookup(msg_body *out, uint64_t *out_version, config_store *c,
                    const char *key)
{
    size_t prefix = strlen(MANIFEST_FILE_KEY_PREFIX);
    const char *text = NULL;
    int result = ERR_NOT_FOUND;
    pthread_mutex_lock(&c->read);
    if (strcmp(key, MANIFEST_KEY) == 0) {
        text = c->head;
    }
    else if (strncmp(key, MANIFEST_FILE_KEY_PREFIX, prefix) == 0) {
        text = g_hash_table_lookup(c->files, key + prefix);
    }
    if (text != NULL) {
        *out_version = c->version.active_version;
        result = msg_body_copy(out, text, strlen(text));
    }
    pthread_mutex_unlock(&c->read);
    return result;
}
