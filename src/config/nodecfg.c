#include "lav/nodecfg.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODECFG_PORT_MAX 65535
#define NODECFG_LINGER_MAX_MS 60000
#define NODECFG_CALLS_MAX 8192
#define NODECFG_RECORD_IDS_MAX 1000000
#define NODECFG_RECORD_WINDOW_MIN_MS 1000
#define NODECFG_RECORD_WINDOW_MAX_MS 3600000

static const char *const nodecfg_log_levels[] = {"debug", "info", "warn",
                                                 "error", NULL};
static const char *const nodecfg_tables[] = {"node", "platform", "peers",
                                             "limits", NULL};

#define NODECFG_TEXT(key, member)                                             \
    {                                                                         \
        key, TOML_STRING, offsetof(nodecfg, member), true, 0,                 \
            sizeof(((nodecfg *)0)->member), NULL                              \
    }
#define NODECFG_PORT(member)                                                  \
    {                                                                         \
#member, TOML_INT, offsetof(nodecfg, member), true, 1,                \
            NODECFG_PORT_MAX, NULL                                            \
    }
#define NODECFG_ARRAY_SIZE(fields) (sizeof(fields) / sizeof((fields)[0]))

static const toml_field nodecfg_node_fields[] = {
    NODECFG_TEXT("name", name),
    NODECFG_TEXT("service", service),
    NODECFG_TEXT("availability_zone", zone),
    NODECFG_TEXT("address", address),
    NODECFG_PORT(callers_port),
    NODECFG_PORT(target_port),
    NODECFG_PORT(peer_port),
    NODECFG_PORT(control_port),
    {"advertised_peer_port", TOML_INT, offsetof(nodecfg, advertised_peer_port),
     false, 1, NODECFG_PORT_MAX, NULL},
    {"advertised_control_port", TOML_INT,
     offsetof(nodecfg, advertised_control_port), false, 1, NODECFG_PORT_MAX,
     NULL},
    {"log_level", TOML_ENUM, offsetof(nodecfg, log_level), false, 0, 0,
     nodecfg_log_levels},
};

static const toml_field nodecfg_platform_fields[] = {
    NODECFG_TEXT("url", platform_url),
};

static const toml_field nodecfg_peer_fields[] = {
    {"seeds", TOML_STRINGS, offsetof(nodecfg, seeds), false, 0, 0, NULL},
};

static const toml_field nodecfg_limit_fields[] = {
    {"calls", TOML_INT, offsetof(nodecfg, calls_max), false, 1,
     NODECFG_CALLS_MAX, NULL},
    {"linger", TOML_DURATION, offsetof(nodecfg, linger_ms), false, 0,
     NODECFG_LINGER_MAX_MS, NULL},
    {"record_ids", TOML_INT, offsetof(nodecfg, record_ids_max), false, 1,
     NODECFG_RECORD_IDS_MAX, NULL},
    {"record_window", TOML_DURATION, offsetof(nodecfg, record_window_ms),
     false, NODECFG_RECORD_WINDOW_MIN_MS, NODECFG_RECORD_WINDOW_MAX_MS, NULL},
};

/* Parse the text of a settings file; `path` is named in errors.  On failure
 * `out` is incomplete and must not be used. */
int
nodecfg_parse(nodecfg *out, const char *text, const char *path, err *e)
{
    toml_doc *doc = NULL;
    *out = (nodecfg){.log_level = 1,
                     .calls_max = 2048,
                     .linger_ms = 3000,
                     .record_ids_max = 100000,
                     .record_window_ms = 300000};
    int result = toml_parse(&doc, text, path, e);
    if (result < 0) {
        return result;
    }
    result = toml_check_tables(doc, nodecfg_tables, e);
    if (result == 0) {
        result = toml_read_table(out, doc, "node", nodecfg_node_fields,
                                 NODECFG_ARRAY_SIZE(nodecfg_node_fields), e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, doc, "platform", nodecfg_platform_fields,
                            NODECFG_ARRAY_SIZE(nodecfg_platform_fields), e);
    }
    if (result == 0) {
        result = toml_read_table(out, doc, "peers", nodecfg_peer_fields,
                                 NODECFG_ARRAY_SIZE(nodecfg_peer_fields), e);
    }
    if (result == 0) {
        result = toml_read_table(out, doc, "limits", nodecfg_limit_fields,
                                 NODECFG_ARRAY_SIZE(nodecfg_limit_fields), e);
    }
    if (out->advertised_peer_port == 0) {
        out->advertised_peer_port = out->peer_port;
    }
    if (out->advertised_control_port == 0) {
        out->advertised_control_port = out->control_port;
    }
    toml_free(doc);
    return result;
}

/* Read a whole text file of at most `size_max` bytes; the caller frees *out.
 * ERR_IO: can't be opened.  ERR_INVALID: too long, a read error, or a NUL
 * byte in it. */
int
nodecfg_read_text_file(char **out, const char *path, size_t size_max, err *e)
{
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        return ERR_SET_AT(e, ERR_IO, path, 0, "can't be opened");
    }
    int result = 0;
    char *text = malloc(size_max + 1);
    if (text == NULL) {
        result = ERR_SET(e, ERR_NO_MEMORY, "%s", path);
        goto done;
    }
    size_t length = fread(text, 1, size_max + 1, file);
    if (ferror(file) || length > size_max) {
        result =
            ERR_SET_AT(e, ERR_INVALID, path, 0,
                       "can't be read, or is larger than %zu bytes", size_max);
        goto done;
    }
    text[length] = '\0';
    if (strlen(text) != length) {
        result = ERR_SET_AT(e, ERR_INVALID, path, 0, "contains a NUL byte");
        goto done;
    }
    *out = text;
    text = NULL;
done:
    free(text);
    fclose(file);
    return result;
}

/* Read and parse a settings file; as nodecfg_parse(). */
int
nodecfg_load(nodecfg *out, const char *path, err *e)
{
    char *text = NULL;
    int result = nodecfg_read_text_file(&text, path, SVC_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = nodecfg_parse(out, text, path, e);
    free(text);
    return result;
}
