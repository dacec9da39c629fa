#include "scn.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"

#define SCN_FILE_MAX 65536 /* bytes */
#define SCN_SECONDS_MAX_MS 300000
#define SCN_RATE_MAX 100000
#define SCN_WORKERS_MAX 1024
#define SCN_PATIENCE_MS 3000

typedef struct scn_loading {
    toml_doc *doc;
    scn *out;
} scn_loading;

typedef struct scn_stream_text {
    char operation[2 * SVC_NAME_SIZE]; /* "service.operation" */
    int klass;
    bool unrepeatable;
    int64_t rate;
    int64_t retries;
    int64_t patience_ms;
} scn_stream_text;

typedef struct scn_phase_text {
    int64_t duration_ms;
    int64_t percent;
} scn_phase_text;

typedef struct scn_head {
    int64_t seed;
    int64_t workers;
} scn_head;

static const char *const scn_classes[] = {"critical", "normal", "browse",
                                          NULL};
static const char *const scn_faults[] = {"slow",   "kill",    "restart",
                                         "outage", "recover", NULL};
static const char *const scn_tables[] = {
    "scenario", "load", "streams", "phases", "faults", "variants", NULL};

#define SCN_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static const toml_field scn_fields[] = {
    {"name", TOML_STRING, offsetof(scn, name), true, 0, SVC_NAME_SIZE, NULL},
    {"deployment", TOML_STRING, offsetof(scn, deployment), true, 0,
     SVC_PATH_SIZE, NULL},
    {"slots_percent", TOML_INT, offsetof(scn, slots_percent), false, 1, 1000,
     NULL},
    {"instances_percent", TOML_INT, offsetof(scn, instances_percent), false, 1,
     1000, NULL},
    {"slots_announced_percent", TOML_INT,
     offsetof(scn, slots_announced_percent), false, 1, 1000, NULL},
    {"settle", TOML_DURATION, offsetof(scn, settle_ms), false, 0, 60000, NULL},
};

static const toml_field scn_head_fields[] = {
    {"seed", TOML_INT, offsetof(scn_head, seed), true, 1, INT32_MAX, NULL},
    {"workers", TOML_INT, offsetof(scn_head, workers), true, 1,
     SCN_WORKERS_MAX, NULL},
};

static const toml_field scn_stream_fields[] = {
    {"operation", TOML_STRING, offsetof(scn_stream_text, operation), true, 0,
     2 * SVC_NAME_SIZE, NULL},
    {"class", TOML_ENUM, offsetof(scn_stream_text, klass), true, 0, 0,
     scn_classes},
    {"unrepeatable", TOML_BOOL, offsetof(scn_stream_text, unrepeatable), true,
     0, 0, NULL},
    {"rate", TOML_INT, offsetof(scn_stream_text, rate), true, 1, SCN_RATE_MAX,
     NULL},
    {"retries", TOML_INT, offsetof(scn_stream_text, retries), false, 0,
     LOD_ATTEMPTS_MAX - 1, NULL},
    {"patience", TOML_DURATION, offsetof(scn_stream_text, patience_ms), false,
     1, SCN_SECONDS_MAX_MS, NULL},
};

static const toml_field scn_phase_fields[] = {
    {"duration", TOML_DURATION, offsetof(scn_phase_text, duration_ms), true, 1,
     SCN_SECONDS_MAX_MS, NULL},
    {"percent", TOML_INT, offsetof(scn_phase_text, percent), true, 0, 10000,
     NULL},
};

static const toml_field scn_fault_fields[] = {
    {"kind", TOML_ENUM, offsetof(scn_fault, kind), true, 0, 0, scn_faults},
    {"at", TOML_DURATION, offsetof(scn_fault, at_ms), true, 0,
     SCN_SECONDS_MAX_MS, NULL},
    {"service", TOML_STRING, offsetof(scn_fault, service), false, 0,
     SVC_NAME_SIZE, NULL},
    {"factor", TOML_INT, offsetof(scn_fault, factor), false, 1, 100, NULL},
    {"count", TOML_INT, offsetof(scn_fault, count), false, 1, 100, NULL},
};

static const toml_field scn_variant_fields[] = {
    {"policy", TOML_STRINGS, offsetof(scn_variant, policy), false, 0, 0, NULL},
};

static int
scn_load_stream(const char *name, int line, err *e, void *payload)
{
    scn_loading *loading = payload;
    lod_options *load = &loading->out->load;
    scn_stream_text text = {.patience_ms = SCN_PATIENCE_MS};
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "streams.%.40s", name);
    int result = toml_read_table(&text, loading->doc, table, scn_stream_fields,
                                 SCN_COUNT(scn_stream_fields), e);
    if (result < 0) {
        return result;
    }
    char *dot = strchr(text.operation, '.');
    if (dot == NULL || load->stream_count == LOD_STREAMS_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, loading->out->name, line,
                          "%s: not an operation, or too many", name);
    }
    *dot = '\0';
    lod_stream *stream = &load->streams[load->stream_count++];
    snprintf(stream->service, sizeof(stream->service), "%.47s",
             text.operation);
    snprintf(stream->operation, sizeof(stream->operation), "%.47s", dot + 1);
    snprintf(stream->klass, sizeof(stream->klass), "%s",
             scn_classes[text.klass]);
    stream->unrepeatable = text.unrepeatable;
    stream->rate = (double)text.rate;
    stream->retries = (int)text.retries;
    stream->patience_s = (double)text.patience_ms / 1000;
    return 0;
}

static int
scn_load_phase(const char *name, int line, err *e, void *payload)
{
    scn_loading *loading = payload;
    lod_options *load = &loading->out->load;
    scn_phase_text text = {0};
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "phases.%.40s", name);
    if (load->phase_count == LOD_PHASES_MAX) {
        return ERR_SET_AT(e, ERR_FULL, loading->out->name, line,
                          "too many phases");
    }
    int result = toml_read_table(&text, loading->doc, table, scn_phase_fields,
                                 SCN_COUNT(scn_phase_fields), e);
    lod_phase *phase = &load->phases[load->phase_count++];
    phase->seconds = (double)text.duration_ms / 1000;
    phase->factor = (double)text.percent / 100;
    return result;
}

static int
scn_load_fault(const char *name, int line, err *e, void *payload)
{
    scn_loading *loading = payload;
    scn *s = loading->out;
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "faults.%.40s", name);
    if (s->fault_count == SCN_FAULTS_MAX) {
        return ERR_SET_AT(e, ERR_FULL, s->name, line, "too many faults");
    }
    scn_fault *fault = &s->faults[s->fault_count++];
    fault->factor = 1;
    fault->count = 1;
    return toml_read_table(fault, loading->doc, table, scn_fault_fields,
                           SCN_COUNT(scn_fault_fields), e);
}

static int
scn_load_variant(const char *name, int line, err *e, void *payload)
{
    scn_loading *loading = payload;
    scn *s = loading->out;
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "variants.%.40s", name);
    if (s->variant_count == SCN_VARIANTS_MAX) {
        return ERR_SET_AT(e, ERR_FULL, s->name, line, "too many variants");
    }
    scn_variant *variant = &s->variants[s->variant_count++];
    snprintf(variant->name, sizeof(variant->name), "%s", name);
    return toml_read_table(variant, loading->doc, table, scn_variant_fields,
                           SCN_COUNT(scn_variant_fields), e);
}

static int
scn_load_tables(scn_loading *loading, err *e)
{
    scn *s = loading->out;
    scn_head head = {0};
    int result = toml_read_table(s, loading->doc, "scenario", scn_fields,
                                 SCN_COUNT(scn_fields), e);
    if (result == 0) {
        result = toml_read_table(&head, loading->doc, "load", scn_head_fields,
                                 SCN_COUNT(scn_head_fields), e);
    }
    s->load.seed = (uint64_t)head.seed;
    s->load.workers = (int)head.workers;
    if (result == 0) {
        result = toml_each_table(loading->doc, "streams", scn_load_stream, e,
                                 loading);
    }
    if (result == 0) {
        result = toml_each_table(loading->doc, "phases", scn_load_phase, e,
                                 loading);
    }
    if (result == 0) {
        result = toml_each_table(loading->doc, "faults", scn_load_fault, e,
                                 loading);
    }
    if (result == 0) {
        result = toml_each_table(loading->doc, "variants", scn_load_variant, e,
                                 loading);
    }
    return result;
}

/* The deployment's path is relative to the scenario's folder. */
static void
scn_resolve(scn *s, const char *path)
{
    char resolved[SVC_PATH_SIZE];
    const char *slash = strrchr(path, '/');
    int length = slash == NULL ? 0 : (int)(slash - path + 1);
    snprintf(resolved, sizeof(resolved), "%.*s%s", length, path,
             s->deployment);
    memcpy(s->deployment, resolved, sizeof(s->deployment));
}

/* Load a scenario file. */
int
scn_load(scn *out, const char *path, err *e)
{
    char *text = NULL;
    scn_loading loading = {NULL, out};
    memset(out, 0, sizeof(*out));
    out->slots_percent = 100;
    out->instances_percent = 100;
    out->slots_announced_percent = 100;
    out->settle_ms = 2000;
    int result = nodecfg_read_text_file(&text, path, SCN_FILE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = toml_parse(&loading.doc, text, path, e);
    if (result == 0) {
        result = toml_check_tables(loading.doc, scn_tables, e);
    }
    if (result == 0) {
        result = scn_load_tables(&loading, e);
    }
    toml_free(loading.doc);
    free(text);
    scn_resolve(out, path);
    return result;
}
