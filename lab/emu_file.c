#include "emu_file.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"
#include "lav/toml.h"

#define EMU_FILE_SIZE_MAX 65536         /* bytes */
#define EMU_FILE_DURATION_MAX_MS 600000 /* 10 min of simulated time */
#define EMU_FILE_COUNT_MAX 10000        /* instances, slots, requests/s */
#define EMU_FILE_REPEATS_MAX 100        /* sequential calls, caller retries */
#define EMU_FILE_US_PER_MS 1000
#define EMU_FILE_MS_PER_S 1000.0

#define EMU_FILE_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

/* Parameter of the callbacks that read the tables. */
typedef struct emu_file_loader {
    toml_doc *doc;
    emu_file *out;
} emu_file_loader;

typedef struct emu_file_head {
    char name[SVC_NAME_SIZE];
    int64_t length_ms;
    int64_t zones;
    int64_t seed;
} emu_file_head;

typedef struct emu_file_service {
    int64_t instances;
    int64_t slots;
    toml_strings speeds;
} emu_file_service;

typedef struct emu_file_kind {
    char service[SVC_NAME_SIZE];
    double per_s;
    double worth;
    int64_t work_ms;
    int64_t objective_ms;
    int64_t timeout_ms;
    int64_t priority;
    int64_t returns;
    int64_t retry_wait_max_ms;
    toml_strings calls;
} emu_file_kind;

typedef struct emu_file_disruption {
    int64_t from_ms;
    int64_t for_ms;
    double load;
    char slow_service[SVC_NAME_SIZE];
    int64_t slow_count;
    double slower;
} emu_file_disruption;

static const char *const emu_file_tables[] = {"emulation", "services", "kinds",
                                              "trouble", NULL};

static const toml_field emu_file_head_fields[] = {
    {"name", TOML_STRING, offsetof(emu_file_head, name), true, 0,
     SVC_NAME_SIZE, NULL},
    {"length", TOML_DURATION, offsetof(emu_file_head, length_ms), true, 1,
     EMU_FILE_DURATION_MAX_MS, NULL},
    {"zones", TOML_INT, offsetof(emu_file_head, zones), true, 1,
     EMU_FILE_COUNT_MAX, NULL},
    {"seed", TOML_INT, offsetof(emu_file_head, seed), true, 1, INT32_MAX,
     NULL},
};

static const toml_field emu_file_service_fields[] = {
    {"instances", TOML_INT, offsetof(emu_file_service, instances), true, 1,
     EMU_FILE_COUNT_MAX, NULL},
    {"slots", TOML_INT, offsetof(emu_file_service, slots), true, 1,
     EMU_FILE_COUNT_MAX, NULL},
    {"speeds", TOML_STRINGS, offsetof(emu_file_service, speeds), true, 0, 0,
     NULL},
};

static const toml_field emu_file_kind_fields[] = {
    {"service", TOML_STRING, offsetof(emu_file_kind, service), true, 0,
     SVC_NAME_SIZE, NULL},
    {"per_s", TOML_REAL, offsetof(emu_file_kind, per_s), false, 0,
     EMU_FILE_COUNT_MAX, NULL},
    {"worth", TOML_REAL, offsetof(emu_file_kind, worth), false, 0,
     EMU_FILE_COUNT_MAX, NULL},
    {"work", TOML_DURATION, offsetof(emu_file_kind, work_ms), true, 1,
     EMU_FILE_DURATION_MAX_MS, NULL},
    {"objective", TOML_DURATION, offsetof(emu_file_kind, objective_ms), true,
     1, EMU_FILE_DURATION_MAX_MS, NULL},
    {"timeout", TOML_DURATION, offsetof(emu_file_kind, timeout_ms), true, 1,
     EMU_FILE_DURATION_MAX_MS, NULL},
    {"priority", TOML_INT, offsetof(emu_file_kind, priority), true, 0,
     EMU_FILE_COUNT_MAX, NULL},
    {"returns", TOML_INT, offsetof(emu_file_kind, returns), false, 0,
     EMU_FILE_REPEATS_MAX, NULL},
    {"patience", TOML_DURATION, offsetof(emu_file_kind, retry_wait_max_ms),
     false, 1, EMU_FILE_DURATION_MAX_MS, NULL},
    {"calls", TOML_STRINGS, offsetof(emu_file_kind, calls), false, 0, 0, NULL},
};

static const toml_field emu_file_disruption_fields[] = {
    {"from", TOML_DURATION, offsetof(emu_file_disruption, from_ms), false, 0,
     EMU_FILE_DURATION_MAX_MS, NULL},
    {"for", TOML_DURATION, offsetof(emu_file_disruption, for_ms), false, 0,
     EMU_FILE_DURATION_MAX_MS, NULL},
    {"load", TOML_REAL, offsetof(emu_file_disruption, load), false, 0,
     EMU_FILE_COUNT_MAX, NULL},
    {"slow_service", TOML_STRING, offsetof(emu_file_disruption, slow_service),
     false, 0, SVC_NAME_SIZE, NULL},
    {"slow_count", TOML_INT, offsetof(emu_file_disruption, slow_count), false,
     0, EMU_FILE_COUNT_MAX, NULL},
    {"slower", TOML_REAL, offsetof(emu_file_disruption, slower), false, 0,
     EMU_FILE_COUNT_MAX, NULL},
};

/* Sets ERR_INVALID for a key, with its line, and returns it. */
static int
emu_file_error(const emu_file_loader *loader, const char *table,
               const char *key, const char *what, err *e)
{
    int line = toml_find_line(loader->doc, table, key);
    return ERR_SET_AT(e, ERR_INVALID, loader->out->name, line, "%s.%s: %s",
                      table, key, what);
}

/* Returns the index of a name, or EMU_NONE. */
static int
emu_file_index(char (*names)[SVC_NAME_SIZE], int count, const char *name)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return EMU_NONE;
}

/* Reads a [services.NAME] table. */
static int
emu_file_load_service(const char *name, int line, err *e, void *payload)
{
    emu_file_loader *loader = payload;
    emu_file *f = loader->out;
    int at = f->opts.service_count;
    char table[2 * SVC_NAME_SIZE];
    emu_file_service text = {0};
    if (at == EMU_SERVICES_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, f->name, line, "too many services");
    }
    snprintf(table, sizeof(table), "services.%.40s", name);
    int result =
        toml_read_table(&text, loader->doc, table, emu_file_service_fields,
                        EMU_FILE_FIELD_COUNT(emu_file_service_fields), e);
    if (result < 0) {
        return result;
    }
    emu_service *service = &f->services[at];
    service->instances = (int)text.instances;
    service->slots = (int)text.slots;
    if (text.speeds.count == 0 || text.speeds.count > EMU_SPEEDS_MAX) {
        return emu_file_error(loader, table, "speeds",
                              "must have one to four entries", e);
    }
    for (size_t i = 0; i < text.speeds.count; i++) {
        char *end = NULL;
        service->speeds[i] = strtod(text.speeds.items[i], &end);
        if (*end != '\0' || !(service->speeds[i] > 0)) {
            return emu_file_error(loader, table, "speeds", "not above 0", e);
        }
    }
    snprintf(f->service_names[at], SVC_NAME_SIZE, "%s", name);
    f->opts.service_count++;
    return 0;
}

/* Registers the name of a kind, so that calls can refer to later kinds. */
static int
emu_file_name_kind(const char *name, int line, err *e, void *payload)
{
    emu_file_loader *loader = payload;
    emu_file *f = loader->out;
    if (f->opts.kind_count == EMU_KINDS_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, f->name, line, "too many kinds");
    }
    snprintf(f->kind_names[f->opts.kind_count++], SVC_NAME_SIZE, "%s", name);
    return 0;
}

/* Parses a call of the form "KIND TIMES", for example "ledger_read 4". */
static int
emu_file_read_call(emu_call *out, const emu_file_loader *loader,
                   const char *table, const char *text, err *e)
{
    emu_file *f = loader->out;
    char name[SVC_NAME_SIZE];
    int times = 0;
    int length = 0;
    if (sscanf(text, "%47s %d%n", name, &times, &length) != 2 ||
        text[length] != '\0' || times < 1 || times > EMU_FILE_REPEATS_MAX) {
        return emu_file_error(loader, table, "calls", "not \"KIND TIMES\"", e);
    }
    out->kind = emu_file_index(f->kind_names, f->opts.kind_count, name);
    out->times = times;
    return out->kind == EMU_NONE
               ? emu_file_error(loader, table, "calls", "no such kind", e)
               : 0;
}

/* Reads a [kinds.NAME] table; all kinds and services are registered by now. */
static int
emu_file_load_kind(const char *name, int line, err *e, void *payload)
{
    (void)line;
    emu_file_loader *loader = payload;
    emu_file *f = loader->out;
    char table[2 * SVC_NAME_SIZE];
    emu_file_kind text = {0};
    snprintf(table, sizeof(table), "kinds.%.40s", name);
    int result =
        toml_read_table(&text, loader->doc, table, emu_file_kind_fields,
                        EMU_FILE_FIELD_COUNT(emu_file_kind_fields), e);
    if (result < 0) {
        return result;
    }
    int at = emu_file_index(f->kind_names, f->opts.kind_count, name);
    emu_kind *kind = &f->kinds[at];
    *kind =
        (emu_kind){.service = emu_file_index(
                       f->service_names, f->opts.service_count, text.service),
                   .per_s = text.per_s,
                   .work_us = text.work_ms * EMU_FILE_US_PER_MS,
                   .objective_us = text.objective_ms * EMU_FILE_US_PER_MS,
                   .timeout_us = text.timeout_ms * EMU_FILE_US_PER_MS,
                   .priority = (int)text.priority,
                   .returns = (int)text.returns,
                   .wait_max_us = text.retry_wait_max_ms * EMU_FILE_US_PER_MS};
    f->worth[at] = text.worth;
    if (kind->service == EMU_NONE) {
        return emu_file_error(loader, table, "service", "no such service", e);
    }
    if (text.calls.count > EMU_CALLS_MAX) {
        return emu_file_error(loader, table, "calls", "too many entries", e);
    }
    for (size_t i = 0; result == 0 && i < text.calls.count; i++) {
        result = emu_file_read_call(&kind->calls[i], loader, table,
                                    text.calls.items[i], e);
    }
    return result;
}

/* Reads the [trouble] table, which is optional. */
static int
emu_file_load_disruption(emu_file_loader *loader, err *e)
{
    emu_file *f = loader->out;
    emu_file_disruption text = {0};
    int result = toml_read_table(
        &text, loader->doc, "trouble", emu_file_disruption_fields,
        EMU_FILE_FIELD_COUNT(emu_file_disruption_fields), e);
    if (result < 0) {
        return result;
    }
    int slow = emu_file_index(f->service_names, f->opts.service_count,
                              text.slow_service);
    if (text.slow_service[0] != '\0' && slow == EMU_NONE) {
        return emu_file_error(loader, "trouble", "slow_service",
                              "no such service", e);
    }
    f->opts.disruption =
        (emu_disruption){.from_s = (double)text.from_ms / EMU_FILE_MS_PER_S,
                         .duration_s = (double)text.for_ms / EMU_FILE_MS_PER_S,
                         .load = text.load,
                         .slow_service = slow,
                         .slow_count = (int)text.slow_count,
                         .slower = text.slower};
    return 0;
}

/* Reads every table, in the order of their references to each other. */
static int
emu_file_load_tables(emu_file_loader *loader, err *e)
{
    emu_file *f = loader->out;
    emu_file_head head = {0};
    int result = toml_check_tables(loader->doc, emu_file_tables, e);
    if (result == 0) {
        result = toml_read_table(
            &head, loader->doc, "emulation", emu_file_head_fields,
            EMU_FILE_FIELD_COUNT(emu_file_head_fields), e);
    }
    if (result == 0) {
        snprintf(f->name, sizeof(f->name), "%s", head.name);
        f->opts.seconds = (double)head.length_ms / EMU_FILE_MS_PER_S;
        f->opts.zones = (int)head.zones;
        f->opts.seed = (uint64_t)head.seed;
        result = toml_each_table(loader->doc, "services",
                                 emu_file_load_service, e, loader);
    }
    if (result == 0) {
        result = toml_each_table(loader->doc, "kinds", emu_file_name_kind, e,
                                 loader);
    }
    if (result == 0) {
        result = toml_each_table(loader->doc, "kinds", emu_file_load_kind, e,
                                 loader);
    }
    return result == 0 ? emu_file_load_disruption(loader, e) : result;
}

/* Loads a simulation file.  Returns 0, ERR_INVALID with file, line and reason
 * if it is not valid, or the error of reading it. */
int
emu_file_load(emu_file *out, const char *path, err *e)
{
    char *text = NULL;
    emu_file_loader loader = {NULL, out};
    *out = (emu_file){.opts = {.load_shedding = true}};
    snprintf(out->name, sizeof(out->name), "%.47s", path);
    int result = nodecfg_read_text_file(&text, path, EMU_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = toml_parse(&loader.doc, text, path, e);
    if (result == 0) {
        result = emu_file_load_tables(&loader, e);
    }
    out->opts.services = out->services;
    out->opts.kinds = out->kinds;
    toml_free(loader.doc);
    free(text);
    return result;
}
