#include "publisher.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "handover.h"
#include "lav/clock.h"
#include "lav/id.h"

#define PUBLISHER_PAUSE_US 150000 /* before the platform is asked again */
#define PUBLISHER_KEY_SIZE 64

typedef struct publisher {
    objstore *platform;
    const tool_file *files;
    size_t count;
    const publisher_options *options;
    char nonce[MANIFEST_NONCE_SIZE];
    manifest first;         /* the head as it was at the start */
    uint64_t first_version; /* 0: there was none */
    manifest present;       /* the head as last read */
    uint64_t version;
    bool sent; /* a write of the head may have taken effect */
} publisher;

static int
publisher_read_head(publisher *p, err *e)
{
    objstore_object object;
    int result = objstore_get(&object, p->platform, MANIFEST_KEY, e);
    if (result == ERR_NOT_FOUND) {
        p->version = 0;
        p->present = (manifest){0};
        return 0;
    }
    if (result == 0) {
        p->version = object.version;
        result = manifest_parse(&p->present, object.value, e);
        objstore_object_clear(&object);
    }
    return result;
}

static const char *
publisher_hash_in(manifest *head, const char *service)
{
    const manifest_entry *file = manifest_find(head, service);
    return file == NULL ? "" : file->hash;
}

/* Whether the present head already names every file of ours. */
static bool
publisher_is_there(publisher *p)
{
    for (size_t i = 0; i < p->count; i++) {
        const char *hash =
            publisher_hash_in(&p->present, p->files[i].parsed->name);
        if (strcmp(hash, p->files[i].hash) != 0) {
            return false;
        }
    }
    return true;
}

/* Somebody else has changed a file of ours since the start. */
static int
publisher_check_conflict(publisher *p, err *e)
{
    for (size_t i = 0; i < p->count; i++) {
        const char *name = p->files[i].parsed->name;
        const char *now = publisher_hash_in(&p->present, name);
        const char *before = publisher_hash_in(&p->first, name);
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

/* The files lie under their hashes, so writing one twice does no harm. */
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

static int
publisher_write_head(publisher *p, err *e)
{
    manifest next = p->present;
    catalog *landscape = NULL;
    memcpy(next.publish, p->nonce, sizeof(next.publish));
    for (size_t i = 0; i < p->count; i++) {
        int result =
            manifest_set(&next, p->files[i].parsed->name, p->files[i].hash, e);
        if (result < 0) {
            return result;
        }
    }
    int result =
        manifest_load_catalog(&landscape, &next, publisher_fetch, p, e);
    if (result < 0) {
        return result;
    }
    catalog_free(landscape);
    char *text = manifest_format(&next);
    if (text == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "head");
    }
    result = objstore_put(&p->version, p->platform, MANIFEST_KEY, text,
                          strlen(text), p->version, e);
    p->sent = p->sent || result == ERR_UNKNOWN;
    if (result == 0) {
        p->present = next;
    }
    free(text);
    return result;
}

/* One try: read, check, write.  ERR_CONFLICT from the head's write means
 * only that another publisher was faster, so the next try decides. */
static int
publisher_try(publisher *p, err *e)
{
    int result = publisher_read_head(p, e);
    if (result < 0) {
        return result;
    }
    if (strcmp(p->present.publish, p->nonce) == 0 ||
        (p->sent && publisher_is_there(p))) {
        return 0; /* an earlier write of ours had taken effect */
    }
    result = publisher_check_conflict(p, e);
    if (result < 0) {
        if (p->sent) {
            return ERR_SET(e, ERR_UNKNOWN,
                           "the answer to the write was lost, and version "
                           "%" PRIu64 " holds another file by now",
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
        return ERR_SET(e, ERR_UNAVAILABLE, "the head was being changed");
    }
    return result;
}

/* Give what was accepted to some nodes, as the platform may go out before
 * any has read it. */
static void
publisher_hand_over(const publisher *p)
{
    char *head = manifest_format(&p->present);
    if (p->options->nodes == NULL || head == NULL) {
        free(head);
        return;
    }
    handover what = {p->version, head, p->files, p->count};
    if (handover_send(p->options->nodes, &what) == 0) {
        fprintf(stderr,
                "lav-publish: version %" PRIu64 " was handed to no "
                "node; they get it from the platform\n",
                p->version);
    }
    free(head);
}

static bool
publisher_worth_a_try(int result)
{
    return result == ERR_UNAVAILABLE || result == ERR_UNKNOWN;
}

static int
publisher_give_up(const publisher *p, int result, err *e)
{
    if (p->sent && publisher_worth_a_try(result)) {
        return ERR_SET(e, ERR_UNKNOWN,
                       "the answer to the write was lost, and the platform "
                       "can't be read");
    }
    return result;
}

/*
 * Publish files that have been read and parsed.  0: accepted as version
 * `out_version`.  ERR_INVALID: not valid together; ERR_CONFLICT: somebody
 * else changed one of them; ERR_UNAVAILABLE: nothing was changed;
 * ERR_UNKNOWN: it can't be told.
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
    int64_t end_us = clock_now_us() + options->patience_ms * CLOCK_US_PER_MS;
    bool begun = false;
    int result = ERR_UNAVAILABLE;
    snprintf(p.nonce, sizeof(p.nonce), "%016" PRIx64 "%016" PRIx64,
             id_random(), id_random());
    do {
        if (!begun && publisher_read_head(&p, e) == 0) {
            begun = true;
            p.first = p.present;
            p.first_version = p.version;
        }
        result = begun ? publisher_try(&p, e) : ERR_UNAVAILABLE;
        if (!publisher_worth_a_try(result)) {
            break;
        }
        clock_sleep_us(PUBLISHER_PAUSE_US);
    } while (clock_now_us() < end_us);
    if (result == 0) {
        *out_version = p.version;
        publisher_hand_over(&p);
    }
    return publisher_give_up(&p, result, e);
}
