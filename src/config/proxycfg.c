#include "lav/proxycfg.h"

#include <stddef.h>
#include <stdlib.h>

#include "lav/toml.h"

#define PROXYCFG_SECOND_MS 1000
#define PROXYCFG_DURATION_MAX_MS                                              \
    600000 /* 10 min; anything longer is likely a mistake */
#define PROXYCFG_SLACK_MAX 100000
#define PROXYCFG_ARRAY_SIZE(list) (sizeof(list) / sizeof((list)[0]))

#define PROXYCFG_TEXT(key, member, required)                                  \
    {                                                                         \
        key, TOML_STRING, offsetof(proxycfg, member), required, 0,            \
            sizeof(((proxycfg *)0)->member), NULL                             \
    }
#define PROXYCFG_DURATION(key, member)                                        \
    {                                                                         \
        key, TOML_DURATION, offsetof(proxycfg, member), false, 1,             \
            PROXYCFG_DURATION_MAX_MS, NULL                                    \
    }

static const char *const proxycfg_log_levels[] = {"debug", "info", "warn",
                                                  "error", NULL};
static const char *const proxycfg_tables[] = {"node",    "addresses", "target",
                                              "retries", "admission", NULL};

static const toml_field proxycfg_node_fields[] = {
    PROXYCFG_TEXT("name", name, true),
    PROXYCFG_TEXT("zone", zone, true),
    {"log_level", TOML_ENUM, offsetof(proxycfg, log_level), false, 0, 0,
     proxycfg_log_levels},
    PROXYCFG_DURATION("stop_grace", stop_grace_ms),
    {"first_start", TOML_BOOL, offsetof(proxycfg, first_start), false, 0, 0,
     NULL},
};

static const toml_field proxycfg_address_fields[] = {
    PROXYCFG_TEXT("callers", callers, true),
    PROXYCFG_TEXT("peers", peers, true),
    PROXYCFG_TEXT("control", control, true),
    PROXYCFG_TEXT("ready", ready, true),
    PROXYCFG_TEXT("store", store, true),
    PROXYCFG_TEXT("metrics", metrics, false),
    PROXYCFG_TEXT("peers_advertised", peers_advertised, false),
};

static const toml_field proxycfg_target_fields[] = {
    PROXYCFG_TEXT("service", service, true),
    PROXYCFG_TEXT("address", target, true),
    PROXYCFG_DURATION("heartbeat", heartbeat_ms),
    PROXYCFG_DURATION("drain", drain_ms),
};

static const toml_field proxycfg_retry_fields[] = {
    {"ratio", TOML_REAL, offsetof(proxycfg, retry_ratio), false, 0, 1, NULL},
    {"slack", TOML_REAL, offsetof(proxycfg, retry_slack), false, 0,
     PROXYCFG_SLACK_MAX, NULL},
    PROXYCFG_DURATION("window", retry_window_ms),
};

static const toml_field proxycfg_admission_fields[] = {
    {"whole_requests", TOML_BOOL, offsetof(proxycfg, whole_requests), false, 0,
     0, NULL},
};

/* Parse the text of a settings file; `path` is named in errors.  On failure
 * `out` is incomplete and must not be used. */
int
proxycfg_parse(proxycfg *out, const char *text, const char *path, err *e)
{
    toml_doc *doc = NULL;
    *out = (proxycfg){.log_level = 1,
                      .heartbeat_ms = PROXYCFG_SECOND_MS,
                      .drain_ms = PROXYCFG_SECOND_MS,
                      .stop_grace_ms = 5 * PROXYCFG_SECOND_MS,
                      .retry_window_ms = 10 * PROXYCFG_SECOND_MS};
    int result = toml_parse(&doc, text, path, e);
    if (result < 0) {
        return result;
    }
    result = toml_check_tables(doc, proxycfg_tables, e);
    if (result == 0) {
        result = toml_read_table(out, doc, "node", proxycfg_node_fields,
                                 PROXYCFG_ARRAY_SIZE(proxycfg_node_fields), e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, doc, "addresses", proxycfg_address_fields,
                            PROXYCFG_ARRAY_SIZE(proxycfg_address_fields), e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, doc, "target", proxycfg_target_fields,
                            PROXYCFG_ARRAY_SIZE(proxycfg_target_fields), e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, doc, "retries", proxycfg_retry_fields,
                            PROXYCFG_ARRAY_SIZE(proxycfg_retry_fields), e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, doc, "admission", proxycfg_admission_fields,
                            PROXYCFG_ARRAY_SIZE(proxycfg_admission_fields), e);
    }
    toml_free(doc);
    return result;
}

/* Read and parse a settings file; as proxycfg_parse(). */
int
proxycfg_load(proxycfg *out, const char *path, err *e)
{
    char *text = NULL;
    int result = nodecfg_read_text_file(&text, path, SVC_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = proxycfg_parse(out, text, path, e);
    free(text);
    return result;
}
