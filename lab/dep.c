#include "dep.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"

#define DEP_INSTANCES_MAX 100
#define DEP_SLOTS_MAX 512
#define DEP_COLD_MAX_MS 60000
#define DEP_FILE_MAX 65536 /* bytes */

typedef struct dep_loading {
    toml_doc *doc;
    dep *out;
} dep_loading;

static const toml_field dep_fields[] = {
    {"name", TOML_STRING, offsetof(dep, name), true, 0, SVC_NAME_SIZE, NULL},
    {"availability_zones", TOML_STRINGS, offsetof(dep, zones), true, 0, 0,
     NULL},
    {"entries", TOML_STRINGS, offsetof(dep, entries), true, 0, 0, NULL},
};

static const toml_field dep_service_fields[] = {
    {"instances", TOML_INT, offsetof(dep_service, instances), true, 1,
     DEP_INSTANCES_MAX, NULL},
    {"slots", TOML_INT, offsetof(dep_service, slots), true, 1, DEP_SLOTS_MAX,
     NULL},
    {"announced_slots", TOML_INT, offsetof(dep_service, announced_slots),
     false, 1, DEP_SLOTS_MAX, NULL},
    {"cold", TOML_DURATION, offsetof(dep_service, cold_ms), false, 0,
     DEP_COLD_MAX_MS, NULL},
    {"times", TOML_STRINGS, offsetof(dep_service, times), true, 0, 0, NULL},
};

static const char *const dep_tables[] = {"deployment", "services", NULL};

#define DEP_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static int
dep_load_service(const char *name, int line, err *e, void *payload)
{
    dep_loading *loading = payload;
    dep *d = loading->out;
    char table[SVC_NAME_SIZE + 16];
    if (d->service_count == DEP_SERVICES_MAX) {
        return ERR_SET_AT(e, ERR_FULL, d->folder, line, "too many services");
    }
    dep_service *service = &d->services[d->service_count++];
    snprintf(service->name, sizeof(service->name), "%s", name);
    snprintf(table, sizeof(table), "services.%s", name);
    return toml_read_table(service, loading->doc, table, dep_service_fields,
                           DEP_COUNT(dep_service_fields), e);
}

/* Load a deployment file. */
int
dep_load(dep *out, const char *path, err *e)
{
    char *text = NULL;
    memset(out, 0, sizeof(*out));
    snprintf(out->folder, sizeof(out->folder), "%s", path);
    char *slash = strrchr(out->folder, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    int result = nodecfg_read_text_file(&text, path, DEP_FILE_MAX, e);
    if (result < 0) {
        return result;
    }
    dep_loading loading = {NULL, out};
    result = toml_parse(&loading.doc, text, path, e);
    if (result == 0) {
        result = toml_check_tables(loading.doc, dep_tables, e);
    }
    if (result == 0) {
        result = toml_read_table(out, loading.doc, "deployment", dep_fields,
                                 DEP_COUNT(dep_fields), e);
    }
    if (result == 0) {
        result = toml_each_table(loading.doc, "services", dep_load_service, e,
                                 &loading);
    }
    toml_free(loading.doc);
    free(text);
    return result;
}

static int64_t
dep_scaled(int64_t value, double factor)
{
    int64_t scaled = (int64_t)((double)value * factor + 0.5);
    return scaled < 1 ? 1 : scaled;
}

/* Scale slots and instances; at least one of each stays. */
void
dep_scale(dep *d, double slots, double instances)
{
    for (size_t i = 0; i < d->service_count; i++) {
        dep_service *service = &d->services[i];
        service->slots = dep_scaled(service->slots, slots);
        service->instances = dep_scaled(service->instances, instances);
        if (service->announced_slots > 0) {
            service->announced_slots =
                dep_scaled(service->announced_slots, slots);
        }
    }
}

/* Time that an operation takes at its target; 10 ms where none is given. */
int
dep_time_ms(const dep_service *service, const char *operation)
{
    for (size_t i = 0; i < service->times.count; i++) {
        char name[SVC_NAME_SIZE];
        int ms = 0;
        if (sscanf(service->times.items[i], "%47[^=]=%dms", name, &ms) == 2 &&
            strcmp(name, operation) == 0) {
            return ms;
        }
    }
    return 10;
}
