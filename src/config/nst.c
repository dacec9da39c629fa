#include "lav/nst.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NST_PORT_MAX 65535
#define NST_LINGER_MAX_MS 60000
#define NST_CALLS_MAX 8192
#define NST_RECORD_MAX 1000000
#define NST_WINDOW_MIN_MS 1000
#define NST_WINDOW_MAX_MS 3600000

static const char *const nst_levels[] = {"debug", "info", "warn", "error",
                                         NULL};
static const char *const nst_tables[] = {"node", "platform", "peers", "limits",
                                         NULL};

#define NST_TEXT(key, member)                                                 \
    {                                                                         \
        key, TML_STRING, offsetof(nst, member), true, 0,                      \
            sizeof(((nst *)0)->member), NULL                                  \
    }
#define NST_PORT(member)                                                      \
    {                                                                         \
#member, TML_INT, offsetof(nst, member), true, 1, NST_PORT_MAX, NULL  \
    }
#define NST_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static const tml_field nst_node_fields[] = {
    NST_TEXT("name", name),
    NST_TEXT("service", service),
    NST_TEXT("availability_zone", zone),
    NST_TEXT("address", address),
    NST_PORT(callers_port),
    NST_PORT(target_port),
    NST_PORT(peer_port),
    NST_PORT(control_port),
    {"advertised_peer_port", TML_INT, offsetof(nst, advertised_peer_port),
     false, 1, NST_PORT_MAX, NULL},
    {"advertised_control_port", TML_INT,
     offsetof(nst, advertised_control_port), false, 1, NST_PORT_MAX, NULL},
    {"log_level", TML_ENUM, offsetof(nst, log_level), false, 0, 0, nst_levels},
};

static const tml_field nst_platform_fields[] = {
    NST_TEXT("url", platform_url),
};

static const tml_field nst_peer_fields[] = {
    {"seeds", TML_STRINGS, offsetof(nst, seeds), false, 0, 0, NULL},
};

static const tml_field nst_limit_fields[] = {
    {"calls", TML_INT, offsetof(nst, calls_max), false, 1, NST_CALLS_MAX,
     NULL},
    {"linger", TML_DURATION, offsetof(nst, linger_ms), false, 0,
     NST_LINGER_MAX_MS, NULL},
    {"record_ids", TML_INT, offsetof(nst, record_max), false, 1,
     NST_RECORD_MAX, NULL},
    {"record_window", TML_DURATION, offsetof(nst, record_window_ms), false,
     NST_WINDOW_MIN_MS, NST_WINDOW_MAX_MS, NULL},
};

/* Parse node settings; on failure `out` is not to be used. */
int
nst_parse(nst *out, const char *text, const char *path, err *e)
{
    tml_doc *doc = NULL;
    *out = (nst){.log_level = 1,
                 .calls_max = 2048,
                 .linger_ms = 3000,
                 .record_max = 100000,
                 .record_window_ms = 300000};
    int result = tml_open(&doc, text, path, e);
    if (result < 0) {
        return result;
    }
    result = tml_only(doc, nst_tables, e);
    if (result == 0) {
        result = tml_read(out, doc, "node", nst_node_fields,
                          NST_COUNT(nst_node_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "platform", nst_platform_fields,
                          NST_COUNT(nst_platform_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "peers", nst_peer_fields,
                          NST_COUNT(nst_peer_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "limits", nst_limit_fields,
                          NST_COUNT(nst_limit_fields), e);
    }
    if (out->advertised_peer_port == 0) {
        out->advertised_peer_port = out->peer_port;
    }
    if (out->advertised_control_port == 0) {
        out->advertised_control_port = out->control_port;
    }
    tml_free(doc);
    return result;
}

/* Read a whole text file of at most `size_max` bytes; free(*out) after. */
int
nst_read_file(char **out, const char *path, size_t size_max, err *e)
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
        result = ERR_SET_AT(e, ERR_INVALID, path, 0,
                            "can't be read, or is over %zu bytes", size_max);
        goto done;
    }
    text[length] = '\0';
    if (strlen(text) != length) {
        result = ERR_SET_AT(e, ERR_INVALID, path, 0, "holds a NUL byte");
        goto done;
    }
    *out = text;
    text = NULL;
done:
    free(text);
    fclose(file);
    return result;
}

/* Read and parse a settings file. */
int
nst_load(nst *out, const char *path, err *e)
{
    char *text = NULL;
    int result = nst_read_file(&text, path, SVC_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = nst_parse(out, text, path, e);
    free(text);
    return result;
}
