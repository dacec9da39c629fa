#include "publisher.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "handover.h"
#include "lav/clock.h"
#include "lav/id.h"

#define PUBLISHER_RETRY_DELAY_US 150000 /* between attempts */
#define PUBLISHER_KEY_SIZE 64

typedef struct publisher {
    objstore *platform;
    const tool_file *files;
    size_t count;
    const publisher_options *options;
    char nonce[MANIFEST_NONCE_SIZE];
    manifest initial;         /* manifest as first read */
    uint64_t initial_version; /* 0: none existed */
    manifest current;         /* manifest as last read */
    uint64_t version;
    bool write_uncertain; /* the response to a manifest write was lost */
} publisher;

/* Read the current manifest; an absent one is empty with version 0. */
static int
publisher_read_head(publisher *p, err *e)
{
    objstore_object object;
    int result = objstore_get(&object, p->platform, MANIFEST_KEY, e);
    if (result == ERR_NOT_FOUND) {
        p->version = 0;
        p->current = (manifest){0};
        return 0;
    }
    if (result == 0) {
        p->version = object.version;
        result = manifest_parse(&p->current, object.value, e);
        objstore_object_clear(&object);
    }
    return result;
}

/* Hash of a service's file in a manifest; "" if it has none. */
static const char *
publisher_hash_in(manifest *head, const char *service)
{
    const manifest_entry *file = manifest_find(head, service);
    return file == NULL ? "" : file->hash;
}

/* Whether the current manifest already holds every file to be published. */
static bool
publisher_is_published(publisher *p)
{
    for (size_t i = 0; i < p->count; i++) {
        const char *hash =
            publisher_hash_in(&p->current, p->files[i].parsed->name);
        if (strcmp(hash, p->files[i].hash) != 0) {
            return false;
        }
    }
    return true;
}

/* ERR_CONFLICT if a file to be published was changed since the first read, or
 * does not have the expected hash. */
static int
publisher_check_conflict(publisher *p, err *e)
{
    for (size_t i = 0; i < p->count; i++) {
        const char *name = p->files[i].parsed->name;
        const char *now = publisher_hash_in(&p->current, name);
        const char *before = publisher_hash_in(&p->initial, name);
        if (p->options->expect != NULL) {
            before = p->options->expect;
        }
        if (strcmp(now, before) != 0) {
            return ERR_SET(e, ERR_CONFLICT,
                           "%s was changed by somebody else: version %" PRIu64
                           " holds %s",
                           name, p->version, now[0] == '\0' ? "none" : now);
        }
    }
    return 0;
}

/* Get the text of a file by its hash, from the given files or the store. */
static int
publisher_fetch(char **out, const char *hash, err *e, void *payload)
{
    publisher *p = payload;
    char key[PUBLISHER_KEY_SIZE];
    objstore_object object;
    for (size_t i = 0; i < p->count; i++) {
        if (strcmp(p->files[i].hash, hash) == 0) {
            *out = strdup(p->files[i].text);
            return *out == NULL ? ERR_NO_MEMORY : 0;
        }
    }
    snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX, hash);
    int result = objstore_get(&object, p->platform, key, e);
    if (result == 0) {
        *out = object.value;
    }
    return result;
}

/* Write the files under their hashes, which makes the writes idempotent. */
static int
publisher_write_files(publisher *p, err *e)
{
    for (size_t i = 0; i < p->count; i++) {
        char key[PUBLISHER_KEY_SIZE];
        snprintf(key, sizeof(key), "%s%s", MANIFEST_FILE_KEY_PREFIX,
                 p->files[i].hash);
        int result =
            objstore_put(NULL, p->platform, key, p->files[i].text,
                         strlen(p->files[i].text), OBJSTORE_VERSION_ABSENT, e);
        if (result < 0 && result != ERR_CONFLICT) {
            return result;
        }
    }
    return 0;
}

/* Validate the resulting configuration and update the manifest, if it has not
 * changed since it was read. */
static int
publisher_write_head(publisher *p, err *e)
{
    manifest next = p->current;
    catalog *services = NULL;
    memcpy(next.publish, p->nonce, sizeof(next.publish));
    for (size_t i = 0; i < p->count; i++) {
        int result =
            manifest_set(&next, p->files[i].parsed->name, p->files[i].hash, e);
        if (result < 0) {
            return result;
        }
    }
    int result =
        manifest_load_catalog(&services, &next, publisher_fetch, p, e);
    if (result < 0) {
        return result;
    }
    catalog_free(services);
    char *text = manifest_format(&next);
    if (text == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "manifest");
    }
    result = objstore_put(&p->version, p->platform, MANIFEST_KEY, text,
                          strlen(text), p->version, e);
    p->write_uncertain = p->write_uncertain || result == ERR_UNKNOWN;
    if (result == 0) {
        p->current = next;
    }
    free(text);
    return result;
}

/* One attempt: read, check, write.  ERR_CONFLICT from the manifest write means
 * only that another publisher was faster; the next attempt checks whether the
 * changes conflict. */
static int
publisher_attempt(publisher *p, err *e)
{
    int result = publisher_read_head(p, e);
    if (result < 0) {
        return result;
    }
    if (strcmp(p->current.publish, p->nonce) == 0 ||
        (p->write_uncertain && publisher_is_published(p))) {
        return 0; /* an earlier attempt took effect */
    }
    result = publisher_check_conflict(p, e);
    if (result < 0) {
        if (p->write_uncertain) {
            return ERR_SET(e, ERR_UNKNOWN,
                           "the response to the write was lost, and version "
                           "%" PRIu64 " now holds another file",
                           p->version);
        }
        return result;
    }
    result = publisher_write_files(p, e);
    if (result < 0) {
        return result;
    }
    result = publisher_write_head(p, e);
    if (result == ERR_CONFLICT) {
        return ERR_SET(e, ERR_UNAVAILABLE,
                       "the manifest was changed concurrently");
    }
    return result;
}

/* Send the accepted configuration to some nodes, because the platform may
 * become unavailable before any node has read it. */
static void
publisher_hand_over(const publisher *p)
{
    char *head = manifest_format(&p->current);
    if (p->options->nodes == NULL || head == NULL) {
        free(head);
        return;
    }
    handover update = {p->version, head, p->files, p->count};
    if (handover_send(p->options->nodes, &update) == 0) {
        fprintf(stderr,
                "lav-publish: version %" PRIu64 " reached no node "
                "directly; nodes will read it from the platform\n",
                p->version);
    }
    free(head);
}

/* Whether a result may change on another attempt. */
static bool
publisher_is_retryable(int result)
{
    return result == ERR_UNAVAILABLE || result == ERR_UNKNOWN;
}

/* Final result: ERR_UNKNOWN if a write may have taken effect. */
static int
publisher_final_result(const publisher *p, int result, err *e)
{
    if (p->write_uncertain && publisher_is_retryable(result)) {
        return ERR_SET(e, ERR_UNKNOWN,
                       "the response to the write was lost, and the "
                       "platform can't be read");
    }
    return result;
}

/*
 * Publish files that have been read and parsed.  0: accepted as version
 * `out_version`.  ERR_INVALID: not valid together; ERR_CONFLICT: somebody
 * else changed one of them; ERR_UNAVAILABLE: nothing was changed;
 * ERR_UNKNOWN: whether the write took effect is unknown.
 */
int
publisher_publish(uint64_t *out_version, objstore *platform,
                  const tool_file *files, size_t count,
                  const publisher_options *options, err *e)
{
    publisher p = {.platform = platform,
                   .files = files,
                   .count = count,
                   .options = options};
    int64_t end_us = clock_now_us() + options->timeout_ms * CLOCK_US_PER_MS;
    bool initial_read = false;
    int result = ERR_UNAVAILABLE;
    snprintf(p.nonce, sizeof(p.nonce), "%016" PRIx64 "%016" PRIx64,
             id_random(), id_random());
    do {
        if (!initial_read && publisher_read_head(&p, e) == 0) {
            initial_read = true;
            p.initial = p.current;
            p.initial_version = p.version;
        }
        result = initial_read ? publisher_attempt(&p, e) : ERR_UNAVAILABLE;
        if (!publisher_is_retryable(result)) {
            break;
        }
        clock_sleep_us(PUBLISHER_RETRY_DELAY_US);
    } while (clock_now_us() < end_us);
    if (result == 0) {
        *out_version = p.version;
        publisher_hand_over(&p);
    }
    return publisher_final_result(&p, result, e);
}
