#include "lav/manifest.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hash the text of a file: 128-bit BLAKE2b, in hexadecimal. */
void
manifest_hash_text(char out[MANIFEST_HASH_SIZE], const char *text)
{
    unsigned char digest[(MANIFEST_HASH_SIZE - 1) / 2];
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_bin2hex(out, MANIFEST_HASH_SIZE, digest, sizeof(digest));
}

/* Parse the JSON text of a manifest.  ERR_INVALID: malformed; ERR_FULL: too
 * many services. */
int
manifest_parse(manifest *out, const char *text, err *e)
{
    json_t *json = json_loads(text, 0, NULL);
    const char *publish = json_string_value(json_object_get(json, "publish"));
    json_t *files = json_object_get(json, "files");
    int result = 0;
    memset(out, 0, sizeof(*out));
    if (publish == NULL || !json_is_object(files) ||
        strlen(publish) >= sizeof(out->publish)) {
        result = ERR_SET(e, ERR_INVALID, "malformed configuration manifest");
        goto done;
    }
    snprintf(out->publish, sizeof(out->publish), "%s", publish);
    const char *service;
    json_t *hash;
    json_object_foreach(files, service, hash)
    {
        const char *value = json_string_value(hash);
        if (value == NULL || strlen(value) != MANIFEST_HASH_SIZE - 1) {
            result = ERR_SET(e, ERR_INVALID,
                             "manifest: invalid hash for service %s", service);
            goto done;
        }
        result = manifest_set(out, service, value, e);
        if (result < 0) {
            goto done;
        }
    }
done:
    json_decref(json);
    return result;
}

/* Format a manifest as JSON; the caller frees the text.  NULL if memory runs
 * out. */
char *
manifest_format(const manifest *m)
{
    json_t *files = json_object();
    for (size_t i = 0; i < m->count; i++) {
        json_object_set_new(files, m->files[i].service,
                            json_string(m->files[i].hash));
    }
    json_t *json =
        json_pack("{s:s,s:o}", "publish", m->publish, "files", files);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* Find the entry of a service; NULL if there is none. */
manifest_entry *
manifest_find(manifest *m, const char *service)
{
    for (size_t i = 0; i < m->count; i++) {
        if (strcmp(m->files[i].service, service) == 0) {
            return &m->files[i];
        }
    }
    return NULL;
}

/* Set the hash of a service's file, adding an entry if there is none.
 * ERR_FULL: too many services. */
int
manifest_set(manifest *m, const char *service, const char *hash, err *e)
{
    manifest_entry *entry = manifest_find(m, service);
    if (entry == NULL && m->count == CATALOG_SERVICES_MAX) {
        return ERR_SET(e, ERR_FULL, "more than %d services",
                       CATALOG_SERVICES_MAX);
    }
    if (entry == NULL) {
        entry = &m->files[m->count++];
    }
    snprintf(entry->service, sizeof(entry->service), "%s", service);
    snprintf(entry->hash, sizeof(entry->hash), "%s", hash);
    return 0;
}

/* Fetch and parse the file of one entry.  ERR_INVALID if it describes another
 * service. */
static int
manifest_load_file(svc_file **out, const manifest_entry *entry,
                   manifest_fetch_cb fetch, void *payload, err *e)
{
    char *text = NULL;
    char path[SVC_NAME_SIZE + 8];
    int result = fetch(&text, entry->hash, e, payload);
    if (result < 0) {
        return result;
    }
    snprintf(path, sizeof(path), "%s.toml", entry->service);
    result = svc_parse(out, text, path, e);
    free(text);
    if (result == 0 && strcmp((*out)->name, entry->service) != 0) {
        svc_free(*out);
        return ERR_SET_AT(e, ERR_INVALID, path, 1,
                          "the file describes another service");
    }
    return result;
}

/* Fetch all files of a manifest and build a catalog from them. */
int
manifest_load_catalog(catalog **out, const manifest *m,
                      manifest_fetch_cb fetch, void *payload, err *e)
{
    svc_file *files[CATALOG_SERVICES_MAX];
    size_t count = 0;
    for (; count < m->count; count++) {
        int result = manifest_load_file(&files[count], &m->files[count], fetch,
                                        payload, e);
        if (result < 0) {
            while (count > 0) {
                svc_free(files[--count]);
            }
            return result;
        }
    }
    return catalog_new(out, files, count, e);
}
