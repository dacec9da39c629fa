#include "usage_message.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "lav/err.h"

/* Longest path of a message, in bytes: four numbers for each workspace. */
#define USAGE_MESSAGE_PATH_MAX 8192

/* Numbers of a message before and in each workspace's part. */
#define USAGE_MESSAGE_HEAD_NUMBERS 7
#define USAGE_MESSAGE_WANT_NUMBERS 4

/* Begins the number that says since when the sender was quiet. */
#define USAGE_MESSAGE_QUIET 'q'

/* Largest time stamp that is taken, in us: a clock that ran for 300 years. */
#define USAGE_MESSAGE_STAMP_MAX_US INT64_C(9000000000000000)

/* Appends the path of a query with a message to an owner. */
void
usage_message_write_ask(bytebuf *out, const usage_ask *ask)
{
    bytebuf_appendf(out,
                    USAGE_MESSAGE_PATH "%d/%" PRIu64 "/%" PRIu64 "/%" PRIu64
                                       "/%" PRId64 "/%d/%" PRIu64,
                    ask->slot, ask->lender, ask->sequence, ask->epoch,
                    MAX(ask->until_us, 0), ask->members, ask->version);
    if (ask->quiet_us > 0) {
        bytebuf_appendf(out, "/%c%" PRId64, USAGE_MESSAGE_QUIET,
                        ask->quiet_us);
    }
    for (int i = 0; i < ask->count; i++) {
        const usage_want *want = &ask->wants[i];
        bytebuf_appendf(out, "/%" PRIu32 "/%d/%d/%" PRId64, want->workspace,
                        want->count, want->back, MAX(want->granted_us, 0));
    }
}

/* Reads a decimal number of at most `max` at `*text`, and the separator after
 * it; ERR_INVALID if there is none. */
static int
usage_message_read_number(uint64_t *out, const char **text, uint64_t max)
{
    char *end = NULL;
    if (!g_ascii_isdigit(**text)) {
        return ERR_INVALID;
    }
    *out = g_ascii_strtoull(*text, &end, 10);
    if (*out > max || (*end != '/' && *end != '\0')) {
        return ERR_INVALID;
    }
    *text = *end == '/' ? end + 1 : end;
    return 0;
}

/* Reads what is asked for one workspace; 0 or ERR_INVALID. */
static int
usage_message_read_want(usage_want *out, const char **text)
{
    static const uint64_t max[USAGE_MESSAGE_WANT_NUMBERS] = {
        UINT32_MAX, USAGE_CAP_REQUESTS_MAX, USAGE_CAP_REQUESTS_MAX,
        USAGE_MESSAGE_STAMP_MAX_US};
    uint64_t numbers[USAGE_MESSAGE_WANT_NUMBERS];
    for (int i = 0; i < USAGE_MESSAGE_WANT_NUMBERS; i++) {
        if (usage_message_read_number(&numbers[i], text, max[i]) < 0) {
            return ERR_INVALID;
        }
    }
    *out = (usage_want){(uint32_t)numbers[0], (int)numbers[1], (int)numbers[2],
                        (int64_t)numbers[3]};
    return 0;
}

/* Whether the path of a query holds a message to an owner. */
bool
usage_message_is_ask(http_str path)
{
    size_t length = strlen(USAGE_MESSAGE_PATH);
    return path.bytes != NULL && path.length > length &&
           memcmp(path.bytes, USAGE_MESSAGE_PATH, length) == 0;
}

/* Reads a message from the path of a query; 0 or ERR_INVALID. */
int
usage_message_read_ask(usage_ask *out, http_str path)
{
    static const uint64_t max[USAGE_MESSAGE_HEAD_NUMBERS] = {
        USAGE_CAP_SLOTS - 1,
        UINT64_MAX,
        UINT64_MAX,
        UINT64_MAX,
        USAGE_MESSAGE_STAMP_MAX_US,
        USAGE_CAP_MEMBERS_MAX,
        INT64_MAX};
    uint64_t numbers[USAGE_MESSAGE_HEAD_NUMBERS];
    char copy[USAGE_MESSAGE_PATH_MAX];
    const char *text = copy + strlen(USAGE_MESSAGE_PATH);
    if (!usage_message_is_ask(path) ||
        !http_str_copy(copy, sizeof(copy), path)) {
        return ERR_INVALID;
    }
    for (int i = 0; i < USAGE_MESSAGE_HEAD_NUMBERS; i++) {
        if (usage_message_read_number(&numbers[i], &text, max[i]) < 0) {
            return ERR_INVALID;
        }
    }
    out->slot = (int)numbers[0];
    out->lender = numbers[1];
    out->sequence = numbers[2];
    out->epoch = numbers[3];
    out->until_us = (int64_t)numbers[4];
    out->members = (int)numbers[5];
    out->version = numbers[6];
    out->quiet_us = 0;
    out->count = 0;
    if (*text == USAGE_MESSAGE_QUIET) {
        uint64_t quiet_us = 0;
        text++;
        if (usage_message_read_number(&quiet_us, &text,
                                      USAGE_MESSAGE_STAMP_MAX_US) < 0) {
            return ERR_INVALID;
        }
        out->quiet_us = (int64_t)quiet_us;
    }
    while (*text != '\0') {
        if (out->count == USAGE_CAP_WANTS_MAX ||
            usage_message_read_want(&out->wants[out->count++], &text) < 0) {
            return ERR_INVALID;
        }
    }
    return out->members > 0 ? 0 : ERR_INVALID;
}

/* Encodes an answer as JSON text, which the caller frees. */
char *
usage_message_write_answer(const usage_answer *answer)
{
    json_t *grants = json_array();
    for (int i = 0; i < answer->count; i++) {
        const usage_grant *grant = &answer->grants[i];
        json_array_append_new(
            grants, json_pack("[I,i,I]", (json_int_t)grant->workspace,
                              grant->count, (json_int_t)grant->wait_us));
    }
    json_t *value =
        json_pack("{s:I,s:I,s:I,s:b,s:o}", "epoch", (json_int_t)answer->epoch,
                  "stamp_us", (json_int_t)answer->stamp_us, "version",
                  (json_int_t)answer->version, "leaving", answer->leaving,
                  "grants", grants);
    if (answer->settling) {
        json_object_set_new(value, "settling", json_true());
    }
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

/* Reads the grant for one workspace; 0 or ERR_INVALID. */
static int
usage_message_read_grant(usage_grant *out, json_t *value)
{
    json_int_t workspace = 0;
    json_int_t count = 0;
    json_int_t wait_us = 0;
    if (json_unpack(value, "[I,I,I!]", &workspace, &count, &wait_us) < 0 ||
        workspace <= 0 || workspace > UINT32_MAX || count < -1 ||
        count > USAGE_CAP_REQUESTS_MAX || wait_us < 0 ||
        wait_us > USAGE_CAP_PAUSE_MAX_US) {
        return ERR_INVALID;
    }
    *out = (usage_grant){(uint32_t)workspace, (int)count, wait_us};
    return 0;
}

/* Reads an answer; 0 or ERR_INVALID. */
int
usage_message_read_answer(usage_answer *out, const char *text, size_t length)
{
    json_int_t epoch = 0;
    json_int_t stamp_us = 0;
    json_int_t version = 0;
    int leaving = 0;
    int settling = 0;
    json_t *grants = NULL;
    json_t *root = json_loadb(text, length, 0, NULL);
    int result = ERR_INVALID;
    if (root == NULL ||
        json_unpack(root, "{s:I,s:I,s:I,s:b,s?b,s:o}", "epoch", &epoch,
                    "stamp_us", &stamp_us, "version", &version, "leaving",
                    &leaving, "settling", &settling, "grants", &grants) < 0 ||
        epoch <= 0 || version < 0 || stamp_us < 0 ||
        stamp_us > USAGE_MESSAGE_STAMP_MAX_US || !json_is_array(grants) ||
        json_array_size(grants) > USAGE_CAP_WANTS_MAX) {
        goto done;
    }
    out->epoch = (uint64_t)epoch;
    out->stamp_us = stamp_us;
    out->version = (uint64_t)version;
    out->leaving = leaving != 0;
    out->settling = settling != 0;
    out->count = (int)json_array_size(grants);
    result = 0;
    for (int i = 0; i < out->count && result == 0; i++) {
        result = usage_message_read_grant(&out->grants[i],
                                          json_array_get(grants, (size_t)i));
    }
done:
    json_decref(root);
    return result;
}
