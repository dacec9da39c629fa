#include "scenario.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"

#define SCENARIO_FILE_SIZE_MAX 65536 /* bytes */
#define SCENARIO_DURATION_MAX_MS 300000
#define SCENARIO_RATE_MAX 100000
#define SCENARIO_WORKERS_MAX 1024
#define SCENARIO_CALLER_TIMEOUT_MS 3000

/* Parameter of the callbacks that read the tables. */
typedef struct scenario_loader {
    toml_doc *doc;
    scenario_spec *out;
} scenario_loader;

typedef struct scenario_stream_text {
    char operation[2 * SVC_NAME_SIZE]; /* "service.operation" */
    int klass;
    bool unrepeatable;
    int64_t rate;
    int64_t retries;
    int64_t caller_timeout_ms;
} scenario_stream_text;

typedef struct scenario_phase_text {
    int64_t duration_ms;
    int64_t percent;
} scenario_phase_text;

typedef struct scenario_load_head {
    int64_t seed;
    int64_t workers;
} scenario_load_head;

static const char *const scenario_classes[] = {"critical", "normal", "browse",
                                               NULL};
static const char *const scenario_fault_kinds[] = {
    "slow", "kill", "restart", "outage", "recover", NULL};
static const char *const scenario_tables[] = {
    "scenario", "load", "streams", "phases", "faults", "variants", NULL};

#define SCENARIO_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static const toml_field scenario_spec_fields[] = {
    {"name", TOML_STRING, offsetof(scenario_spec, name), true, 0,
     SVC_NAME_SIZE, NULL},
    {"deployment", TOML_STRING, offsetof(scenario_spec, deployment), true, 0,
     SVC_PATH_SIZE, NULL},
    {"slots_percent", TOML_INT, offsetof(scenario_spec, slots_percent), false,
     1, 1000, NULL},
    {"instances_percent", TOML_INT, offsetof(scenario_spec, instances_percent),
     false, 1, 1000, NULL},
    {"slots_announced_percent", TOML_INT,
     offsetof(scenario_spec, slots_announced_percent), false, 1, 1000, NULL},
    {"settle", TOML_DURATION, offsetof(scenario_spec, settle_ms), false, 0,
     60000, NULL},
};

static const toml_field scenario_load_head_fields[] = {
    {"seed", TOML_INT, offsetof(scenario_load_head, seed), true, 1, INT32_MAX,
     NULL},
    {"workers", TOML_INT, offsetof(scenario_load_head, workers), true, 1,
     SCENARIO_WORKERS_MAX, NULL},
};

static const toml_field scenario_stream_fields[] = {
    {"operation", TOML_STRING, offsetof(scenario_stream_text, operation), true,
     0, 2 * SVC_NAME_SIZE, NULL},
    {"class", TOML_ENUM, offsetof(scenario_stream_text, klass), true, 0, 0,
     scenario_classes},
    {"unrepeatable", TOML_BOOL, offsetof(scenario_stream_text, unrepeatable),
     true, 0, 0, NULL},
    {"rate", TOML_INT, offsetof(scenario_stream_text, rate), true, 1,
     SCENARIO_RATE_MAX, NULL},
    {"retries", TOML_INT, offsetof(scenario_stream_text, retries), false, 0,
     LOADGEN_ATTEMPTS_MAX - 1, NULL},
    {"patience", TOML_DURATION,
     offsetof(scenario_stream_text, caller_timeout_ms), false, 1,
     SCENARIO_DURATION_MAX_MS, NULL},
};

static const toml_field scenario_phase_fields[] = {
    {"duration", TOML_DURATION, offsetof(scenario_phase_text, duration_ms),
     true, 1, SCENARIO_DURATION_MAX_MS, NULL},
    {"percent", TOML_INT, offsetof(scenario_phase_text, percent), true, 0,
     10000, NULL},
};

static const toml_field scenario_fault_fields[] = {
    {"kind", TOML_ENUM, offsetof(scenario_fault, kind), true, 0, 0,
     scenario_fault_kinds},
    {"at", TOML_DURATION, offsetof(scenario_fault, at_ms), true, 0,
     SCENARIO_DURATION_MAX_MS, NULL},
    {"service", TOML_STRING, offsetof(scenario_fault, service), false, 0,
     SVC_NAME_SIZE, NULL},
    {"factor", TOML_INT, offsetof(scenario_fault, factor), false, 1, 100,
     NULL},
    {"count", TOML_INT, offsetof(scenario_fault, count), false, 1, 100, NULL},
};

static const toml_field scenario_variant_fields[] = {
    {"policy", TOML_STRINGS, offsetof(scenario_variant, policy), false, 0, 0,
     NULL},
};

/* Reads a [streams.NAME] table. */
static int
scenario_load_stream(const char *name, int line, err *e, void *payload)
{
    scenario_loader *loader = payload;
    loadgen_options *load = &loader->out->load;
    scenario_stream_text text = {.caller_timeout_ms =
                                     SCENARIO_CALLER_TIMEOUT_MS};
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "streams.%.40s", name);
    int result =
        toml_read_table(&text, loader->doc, table, scenario_stream_fields,
                        SCENARIO_FIELD_COUNT(scenario_stream_fields), e);
    if (result < 0) {
        return result;
    }
    char *dot = strchr(text.operation, '.');
    if (dot == NULL || load->stream_count == LOADGEN_STREAMS_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, loader->out->name, line,
                          "%s: not \"service.operation\", or too many streams",
                          name);
    }
    *dot = '\0';
    loadgen_stream *stream = &load->streams[load->stream_count++];
    snprintf(stream->service, sizeof(stream->service), "%.47s",
             text.operation);
    snprintf(stream->operation, sizeof(stream->operation), "%.47s", dot + 1);
    snprintf(stream->klass, sizeof(stream->klass), "%s",
             scenario_classes[text.klass]);
    stream->unrepeatable = text.unrepeatable;
    stream->rate = (double)text.rate;
    stream->retries = (int)text.retries;
    stream->caller_timeout_s = (double)text.caller_timeout_ms / 1000;
    return 0;
}

/* Reads a [phases.NAME] table. */
static int
scenario_load_phase(const char *name, int line, err *e, void *payload)
{
    scenario_loader *loader = payload;
    loadgen_options *load = &loader->out->load;
    scenario_phase_text text = {0};
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "phases.%.40s", name);
    if (load->phase_count == LOADGEN_PHASES_MAX) {
        return ERR_SET_AT(e, ERR_FULL, loader->out->name, line,
                          "too many phases");
    }
    int result =
        toml_read_table(&text, loader->doc, table, scenario_phase_fields,
                        SCENARIO_FIELD_COUNT(scenario_phase_fields), e);
    loadgen_phase *phase = &load->phases[load->phase_count++];
    phase->seconds = (double)text.duration_ms / 1000;
    phase->factor = (double)text.percent / 100;
    return result;
}

/* Reads a [faults.NAME] table. */
static int
scenario_load_fault(const char *name, int line, err *e, void *payload)
{
    scenario_loader *loader = payload;
    scenario_spec *s = loader->out;
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "faults.%.40s", name);
    if (s->fault_count == SCENARIO_FAULTS_MAX) {
        return ERR_SET_AT(e, ERR_FULL, s->name, line, "too many faults");
    }
    scenario_fault *fault = &s->faults[s->fault_count++];
    fault->factor = 1;
    fault->count = 1;
    return toml_read_table(fault, loader->doc, table, scenario_fault_fields,
                           SCENARIO_FIELD_COUNT(scenario_fault_fields), e);
}

/* Reads a [variants.NAME] table. */
static int
scenario_load_variant(const char *name, int line, err *e, void *payload)
{
    scenario_loader *loader = payload;
    scenario_spec *s = loader->out;
    char table[SVC_NAME_SIZE * 2];
    snprintf(table, sizeof(table), "variants.%.40s", name);
    if (s->variant_count == SCENARIO_VARIANTS_MAX) {
        return ERR_SET_AT(e, ERR_FULL, s->name, line, "too many variants");
    }
    scenario_variant *variant = &s->variants[s->variant_count++];
    snprintf(variant->name, sizeof(variant->name), "%s", name);
    return toml_read_table(variant, loader->doc, table,
                           scenario_variant_fields,
                           SCENARIO_FIELD_COUNT(scenario_variant_fields), e);
}

/* Reads every table. */
static int
scenario_load_tables(scenario_loader *loader, err *e)
{
    scenario_spec *s = loader->out;
    scenario_load_head head = {0};
    int result =
        toml_read_table(s, loader->doc, "scenario", scenario_spec_fields,
                        SCENARIO_FIELD_COUNT(scenario_spec_fields), e);
    if (result == 0) {
        result = toml_read_table(
            &head, loader->doc, "load", scenario_load_head_fields,
            SCENARIO_FIELD_COUNT(scenario_load_head_fields), e);
    }
    s->load.seed = (uint64_t)head.seed;
    s->load.workers = (int)head.workers;
    if (result == 0) {
        result = toml_each_table(loader->doc, "streams", scenario_load_stream,
                                 e, loader);
    }
    if (result == 0) {
        result = toml_each_table(loader->doc, "phases", scenario_load_phase, e,
                                 loader);
    }
    if (result == 0) {
        result = toml_each_table(loader->doc, "faults", scenario_load_fault, e,
                                 loader);
    }
    if (result == 0) {
        result = toml_each_table(loader->doc, "variants",
                                 scenario_load_variant, e, loader);
    }
    return result;
}

/* Resolves the path of the deployment against the folder of the scenario. */
static void
scenario_resolve(scenario_spec *s, const char *path)
{
    char resolved[SVC_PATH_SIZE];
    const char *slash = strrchr(path, '/');
    int length = slash == NULL ? 0 : (int)(slash - path + 1);
    snprintf(resolved, sizeof(resolved), "%.*s%s", length, path,
             s->deployment);
    memcpy(s->deployment, resolved, sizeof(s->deployment));
}

/* Loads a scenario file.  Returns 0 or an error with file, line and reason;
 * ERR_FULL if there are too many phases, faults or variants. */
int
scenario_load(scenario_spec *out, const char *path, err *e)
{
    char *text = NULL;
    scenario_loader loader = {NULL, out};
    memset(out, 0, sizeof(*out));
    out->slots_percent = 100;
    out->instances_percent = 100;
    out->slots_announced_percent = 100;
    out->settle_ms = 2000;
    int result =
        nodecfg_read_text_file(&text, path, SCENARIO_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = toml_parse(&loader.doc, text, path, e);
    if (result == 0) {
        result = toml_check_tables(loader.doc, scenario_tables, e);
    }
    if (result == 0) {
        result = scenario_load_tables(&loader, e);
    }
    toml_free(loader.doc);
    free(text);
    scenario_resolve(out, path);
    return result;
}
