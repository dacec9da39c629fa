#include "lav/dps.h"

#include <stddef.h>
#include <stdlib.h>

#include "lav/tml.h"

#define DPS_SECOND_MS 1000
#define DPS_SPAN_MAX_MS 600000 /* 10 min; longer ones are taken for faults */
#define DPS_REPEATS_MAX 100000
#define DPS_COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define DPS_TEXT(key, member, required)                                       \
    {                                                                         \
        key, TML_STRING, offsetof(dps, member), required, 0,                  \
            sizeof(((dps *)0)->member), NULL                                  \
    }
#define DPS_SPAN(key, member)                                                 \
    {                                                                         \
        key, TML_DURATION, offsetof(dps, member), false, 1, DPS_SPAN_MAX_MS,  \
            NULL                                                              \
    }

static const char *const dps_levels[] = {"debug", "info", "warn", "error",
                                         NULL};
static const char *const dps_tables[] = {"node", "addresses", "target",
                                         "retries", NULL};

static const tml_field dps_node_fields[] = {
    DPS_TEXT("name", name, true),
    DPS_TEXT("zone", zone, true),
    {"log_level", TML_ENUM, offsetof(dps, log_level), false, 0, 0, dps_levels},
    DPS_SPAN("stop_grace", stop_ms),
};

static const tml_field dps_address_fields[] = {
    DPS_TEXT("callers", callers, true),
    DPS_TEXT("peers", peers, true),
    DPS_TEXT("control", control, true),
    DPS_TEXT("ready", ready, true),
    DPS_TEXT("store", store, true),
    DPS_TEXT("metrics", metrics, false),
    DPS_TEXT("peers_advertised", peers_advertised, false),
};

static const tml_field dps_target_fields[] = {
    DPS_TEXT("service", service, true),
    DPS_TEXT("address", target, true),
    DPS_SPAN("heartbeat", heartbeat_ms),
    DPS_SPAN("drain", drain_ms),
};

static const tml_field dps_retry_fields[] = {
    {"ratio", TML_REAL, offsetof(dps, retry_ratio), false, 0, 1, NULL},
    {"slack", TML_REAL, offsetof(dps, retry_slack), false, 0, DPS_REPEATS_MAX,
     NULL},
    DPS_SPAN("window", retry_window_ms),
};

/* Parse settings; on failure `out` is not to be used. */
int
dps_parse(dps *out, const char *text, const char *path, err *e)
{
    tml_doc *doc = NULL;
    *out = (dps){.log_level = 1,
                 .heartbeat_ms = DPS_SECOND_MS,
                 .drain_ms = DPS_SECOND_MS,
                 .stop_ms = 5 * DPS_SECOND_MS,
                 .retry_window_ms = 10 * DPS_SECOND_MS};
    int result = tml_open(&doc, text, path, e);
    if (result < 0) {
        return result;
    }
    result = tml_only(doc, dps_tables, e);
    if (result == 0) {
        result = tml_read(out, doc, "node", dps_node_fields,
                          DPS_COUNT(dps_node_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "addresses", dps_address_fields,
                          DPS_COUNT(dps_address_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "target", dps_target_fields,
                          DPS_COUNT(dps_target_fields), e);
    }
    if (result == 0) {
        result = tml_read(out, doc, "retries", dps_retry_fields,
                          DPS_COUNT(dps_retry_fields), e);
    }
    tml_free(doc);
    return result;
}

/* Read and parse a settings file. */
int
dps_load(dps *out, const char *path, err *e)
{
    char *text = NULL;
    int result = nst_read_file(&text, path, SVC_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = dps_parse(out, text, path, e);
    free(text);
    return result;
}
