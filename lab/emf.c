#include "emf.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"
#include "lav/toml.h"

#define EMF_FILE_MAX 65536     /* bytes */
#define EMF_SPAN_MAX_MS 600000 /* 10 min, of simulated time */
#define EMF_COUNT_MAX 10000    /* instances, slots, requests a second */
#define EMF_TIMES_MAX 100      /* calls of a kind one after the other */
#define EMF_US_PER_MS 1000
#define EMF_MS_PER_S 1000.0

#define EMF_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

typedef struct emf_loading {
    toml_doc *doc;
    emf *out;
} emf_loading;

typedef struct emf_head {
    char name[SVC_NAME_SIZE];
    int64_t length_ms;
    int64_t zones;
    int64_t seed;
} emf_head;

typedef struct emf_service {
    int64_t instances;
    int64_t slots;
    toml_strings speeds;
} emf_service;

typedef struct emf_kind {
    char service[SVC_NAME_SIZE];
    double per_s;
    double worth;
    int64_t work_ms;
    int64_t objective_ms;
    int64_t timeout_ms;
    int64_t priority;
    int64_t returns;
    int64_t patience_ms;
    toml_strings calls;
} emf_kind;

typedef struct emf_trouble {
    int64_t from_ms;
    int64_t for_ms;
    double load;
    char slow_service[SVC_NAME_SIZE];
    int64_t slow_count;
    double slower;
} emf_trouble;

static const char *const emf_tables[] = {"emulation", "services", "kinds",
                                         "trouble", NULL};

static const toml_field emf_head_fields[] = {
    {"name", TOML_STRING, offsetof(emf_head, name), true, 0, SVC_NAME_SIZE,
     NULL},
    {"length", TOML_DURATION, offsetof(emf_head, length_ms), true, 1,
     EMF_SPAN_MAX_MS, NULL},
    {"zones", TOML_INT, offsetof(emf_head, zones), true, 1, EMF_COUNT_MAX,
     NULL},
    {"seed", TOML_INT, offsetof(emf_head, seed), true, 1, INT32_MAX, NULL},
};

static const toml_field emf_service_fields[] = {
    {"instances", TOML_INT, offsetof(emf_service, instances), true, 1,
     EMF_COUNT_MAX, NULL},
    {"slots", TOML_INT, offsetof(emf_service, slots), true, 1, EMF_COUNT_MAX,
     NULL},
    {"speeds", TOML_STRINGS, offsetof(emf_service, speeds), true, 0, 0, NULL},
};

static const toml_field emf_kind_fields[] = {
    {"service", TOML_STRING, offsetof(emf_kind, service), true, 0,
     SVC_NAME_SIZE, NULL},
    {"per_s", TOML_REAL, offsetof(emf_kind, per_s), false, 0, EMF_COUNT_MAX,
     NULL},
    {"worth", TOML_REAL, offsetof(emf_kind, worth), false, 0, EMF_COUNT_MAX,
     NULL},
    {"work", TOML_DURATION, offsetof(emf_kind, work_ms), true, 1,
     EMF_SPAN_MAX_MS, NULL},
    {"objective", TOML_DURATION, offsetof(emf_kind, objective_ms), true, 1,
     EMF_SPAN_MAX_MS, NULL},
    {"timeout", TOML_DURATION, offsetof(emf_kind, timeout_ms), true, 1,
     EMF_SPAN_MAX_MS, NULL},
    {"priority", TOML_INT, offsetof(emf_kind, priority), true, 0,
     EMF_COUNT_MAX, NULL},
    {"returns", TOML_INT, offsetof(emf_kind, returns), false, 0, EMF_TIMES_MAX,
     NULL},
    {"patience", TOML_DURATION, offsetof(emf_kind, patience_ms), false, 1,
     EMF_SPAN_MAX_MS, NULL},
    {"calls", TOML_STRINGS, offsetof(emf_kind, calls), false, 0, 0, NULL},
};

static const toml_field emf_trouble_fields[] = {
    {"from", TOML_DURATION, offsetof(emf_trouble, from_ms), false, 0,
     EMF_SPAN_MAX_MS, NULL},
    {"for", TOML_DURATION, offsetof(emf_trouble, for_ms), false, 0,
     EMF_SPAN_MAX_MS, NULL},
    {"load", TOML_REAL, offsetof(emf_trouble, load), false, 0, EMF_COUNT_MAX,
     NULL},
    {"slow_service", TOML_STRING, offsetof(emf_trouble, slow_service), false,
     0, SVC_NAME_SIZE, NULL},
    {"slow_count", TOML_INT, offsetof(emf_trouble, slow_count), false, 0,
     EMF_COUNT_MAX, NULL},
    {"slower", TOML_REAL, offsetof(emf_trouble, slower), false, 0,
     EMF_COUNT_MAX, NULL},
};

static int
emf_fault(const emf_loading *loading, const char *table, const char *key,
          const char *what, err *e)
{
    int line = toml_find_line(loading->doc, table, key);
    return ERR_SET_AT(e, ERR_INVALID, loading->out->name, line, "%s.%s: %s",
                      table, key, what);
}

static int
emf_index(char (*names)[SVC_NAME_SIZE], int count, const char *name)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return EMU_NONE;
}

static int
emf_load_service(const char *name, int line, err *e, void *payload)
{
    emf_loading *loading = payload;
    emf *f = loading->out;
    int at = f->opts.service_count;
    char table[2 * SVC_NAME_SIZE];
    emf_service text = {0};
    if (at == EMU_SERVICES_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, f->name, line, "too many services");
    }
    snprintf(table, sizeof(table), "services.%.40s", name);
    int result =
        toml_read_table(&text, loading->doc, table, emf_service_fields,
                        EMF_COUNT(emf_service_fields), e);
    if (result < 0) {
        return result;
    }
    emu_service *service = &f->services[at];
    service->instances = (int)text.instances;
    service->slots = (int)text.slots;
    if (text.speeds.count == 0 || text.speeds.count > EMU_SPEEDS_MAX) {
        return emf_fault(loading, table, "speeds", "one to four of them", e);
    }
    for (size_t i = 0; i < text.speeds.count; i++) {
        char *end = NULL;
        service->speeds[i] = strtod(text.speeds.items[i], &end);
        if (*end != '\0' || !(service->speeds[i] > 0)) {
            return emf_fault(loading, table, "speeds", "not above 0", e);
        }
    }
    snprintf(f->service_names[at], SVC_NAME_SIZE, "%s", name);
    f->opts.service_count++;
    return 0;
}

static int
emf_name_kind(const char *name, int line, err *e, void *payload)
{
    emf_loading *loading = payload;
    emf *f = loading->out;
    if (f->opts.kind_count == EMU_KINDS_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, f->name, line, "too many kinds");
    }
    snprintf(f->kind_names[f->opts.kind_count++], SVC_NAME_SIZE, "%s", name);
    return 0;
}

/* "KIND TIMES", as "ledger_read 4". */
static int
emf_read_call(emu_call *out, const emf_loading *loading, const char *table,
              const char *text, err *e)
{
    emf *f = loading->out;
    char name[SVC_NAME_SIZE];
    int times = 0;
    int length = 0;
    if (sscanf(text, "%47s %d%n", name, &times, &length) != 2 ||
        text[length] != '\0' || times < 1 || times > EMF_TIMES_MAX) {
        return emf_fault(loading, table, "calls", "not \"KIND TIMES\"", e);
    }
    out->kind = emf_index(f->kind_names, f->opts.kind_count, name);
    out->times = times;
    return out->kind == EMU_NONE
               ? emf_fault(loading, table, "calls", "no such kind", e)
               : 0;
}

static int
emf_load_kind(const char *name, int line, err *e, void *payload)
{
    (void)line;
    emf_loading *loading = payload;
    emf *f = loading->out;
    char table[2 * SVC_NAME_SIZE];
    emf_kind text = {0};
    snprintf(table, sizeof(table), "kinds.%.40s", name);
    int result = toml_read_table(&text, loading->doc, table, emf_kind_fields,
                                 EMF_COUNT(emf_kind_fields), e);
    if (result < 0) {
        return result;
    }
    int at = emf_index(f->kind_names, f->opts.kind_count, name);
    emu_kind *kind = &f->kinds[at];
    *kind =
        (emu_kind){.service = emf_index(f->service_names,
                                        f->opts.service_count, text.service),
                   .per_s = text.per_s,
                   .work_us = text.work_ms * EMF_US_PER_MS,
                   .objective_us = text.objective_ms * EMF_US_PER_MS,
                   .timeout_us = text.timeout_ms * EMF_US_PER_MS,
                   .priority = (int)text.priority,
                   .returns = (int)text.returns,
                   .wait_max_us = text.patience_ms * EMF_US_PER_MS};
    f->worth[at] = text.worth;
    if (kind->service == EMU_NONE) {
        return emf_fault(loading, table, "service", "no such service", e);
    }
    if (text.calls.count > EMU_CALLS_MAX) {
        return emf_fault(loading, table, "calls", "too many", e);
    }
    for (size_t i = 0; result == 0 && i < text.calls.count; i++) {
        result = emf_read_call(&kind->calls[i], loading, table,
                               text.calls.items[i], e);
    }
    return result;
}

static int
emf_load_trouble(emf_loading *loading, err *e)
{
    emf *f = loading->out;
    emf_trouble text = {0};
    int result =
        toml_read_table(&text, loading->doc, "trouble", emf_trouble_fields,
                        EMF_COUNT(emf_trouble_fields), e);
    if (result < 0) {
        return result;
    }
    int slow =
        emf_index(f->service_names, f->opts.service_count, text.slow_service);
    if (text.slow_service[0] != '\0' && slow == EMU_NONE) {
        return emf_fault(loading, "trouble", "slow_service", "no such service",
                         e);
    }
    f->opts.trouble =
        (emu_trouble){.from_s = (double)text.from_ms / EMF_MS_PER_S,
                      .for_s = (double)text.for_ms / EMF_MS_PER_S,
                      .load = text.load,
                      .slow_service = slow,
                      .slow_count = (int)text.slow_count,
                      .slower = text.slower};
    return 0;
}

static int
emf_load_tables(emf_loading *loading, err *e)
{
    emf *f = loading->out;
    emf_head head = {0};
    int result = toml_check_tables(loading->doc, emf_tables, e);
    if (result == 0) {
        result =
            toml_read_table(&head, loading->doc, "emulation", emf_head_fields,
                            EMF_COUNT(emf_head_fields), e);
    }
    if (result == 0) {
        snprintf(f->name, sizeof(f->name), "%s", head.name);
        f->opts.seconds = (double)head.length_ms / EMF_MS_PER_S;
        f->opts.zones = (int)head.zones;
        f->opts.seed = (uint64_t)head.seed;
        result = toml_each_table(loading->doc, "services", emf_load_service, e,
                                 loading);
    }
    if (result == 0) {
        result =
            toml_each_table(loading->doc, "kinds", emf_name_kind, e, loading);
    }
    if (result == 0) {
        result =
            toml_each_table(loading->doc, "kinds", emf_load_kind, e, loading);
    }
    return result == 0 ? emf_load_trouble(loading, e) : result;
}

/* Load an emulation; ERR_INVALID with file, line and reason where it is not
 * sound. */
int
emf_load(emf *out, const char *path, err *e)
{
    char *text = NULL;
    emf_loading loading = {NULL, out};
    *out = (emf){.opts = {.gate = true}};
    snprintf(out->name, sizeof(out->name), "%.47s", path);
    int result = nodecfg_read_text_file(&text, path, EMF_FILE_MAX, e);
    if (result < 0) {
        return result;
    }
    result = toml_parse(&loading.doc, text, path, e);
    if (result == 0) {
        result = emf_load_tables(&loading, e);
    }
    out->opts.services = out->services;
    out->opts.kinds = out->kinds;
    toml_free(loading.doc);
    free(text);
    return result;
}
