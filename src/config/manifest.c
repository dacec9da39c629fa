#include "lav/manifest.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hash of a file's text (BLAKE2b, 128 bits, in hexadecimal). */
void
manifest_hash_text(char out[MANIFEST_HASH_SIZE], const char *text)
{
    unsigned char digest[(MANIFEST_HASH_SIZE - 1) / 2];
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_bin2hex(out, MANIFEST_HASH_SIZE, digest, sizeof(digest));
}

/* Parse the text of a head. */
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
        result = ERR_SET(e, ERR_INVALID, "the head is not of a known form");
        goto done;
    }
    snprintf(out->publish, sizeof(out->publish), "%s", publish);
    const char *service;
    json_t *hash;
    json_object_foreach(files, service, hash)
    {
        const char *value = json_string_value(hash);
        if (value == NULL || strlen(value) != MANIFEST_HASH_SIZE - 1) {
            result = ERR_SET(e, ERR_INVALID, "no hash for %s", service);
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

/* Text of a head; free() after, NULL without memory. */
char *
manifest_format(const manifest *head)
{
    json_t *files = json_object();
    for (size_t i = 0; i < head->count; i++) {
        json_object_set_new(files, head->files[i].service,
                            json_string(head->files[i].hash));
    }
    json_t *json =
        json_pack("{s:s,s:o}", "publish", head->publish, "files", files);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* Entry of a service, or NULL. */
manifest_entry *
manifest_find(manifest *head, const char *service)
{
    for (size_t i = 0; i < head->count; i++) {
        if (strcmp(head->files[i].service, service) == 0) {
            return &head->files[i];
        }
    }
    return NULL;
}

/* Name the file of a service; ERR_FULL where there are too many. */
int
manifest_set(manifest *head, const char *service, const char *hash, err *e)
{
    manifest_entry *file = manifest_find(head, service);
    if (file == NULL && head->count == CATALOG_SERVICES_MAX) {
        return ERR_SET(e, ERR_FULL, "more than %d services",
                       CATALOG_SERVICES_MAX);
    }
    if (file == NULL) {
        file = &head->files[head->count++];
    }
    snprintf(file->service, sizeof(file->service), "%s", service);
    snprintf(file->hash, sizeof(file->hash), "%s", hash);
    return 0;
}

static int
manifest_load_file(svc_file **out, const manifest_entry *file,
                   manifest_fetch_cb fetch, void *payload, err *e)
{
    char *text = NULL;
    char path[SVC_NAME_SIZE + 8];
    int result = fetch(&text, file->hash, e, payload);
    if (result < 0) {
        return result;
    }
    snprintf(path, sizeof(path), "%s.toml", file->service);
    result = svc_parse(out, text, path, e);
    free(text);
    if (result == 0 && strcmp((*out)->name, file->service) != 0) {
        svc_free(*out);
        return ERR_SET_AT(e, ERR_INVALID, path, 1,
                          "the file is of another service");
    }
    return result;
}

/* Fetch and check every file of a head as one landscape. */
int
manifest_load_catalog(catalog **out, const manifest *head,
                      manifest_fetch_cb fetch, void *payload, err *e)
{
    svc_file *files[CATALOG_SERVICES_MAX];
    size_t count = 0;
    for (; count < head->count; count++) {
        int result = manifest_load_file(&files[count], &head->files[count],
                                        fetch, payload, e);
        if (result < 0) {
            while (count > 0) {
                svc_free(files[--count]);
            }
            return result;
        }
    }
    return catalog_new(out, files, count, e);
}
