#include "deploy.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/nodecfg.h"

#define DEPLOY_INSTANCES_MAX 100
#define DEPLOY_SLOTS_MAX 512
#define DEPLOY_WARMUP_MAX_MS 60000
#define DEPLOY_FILE_SIZE_MAX 65536 /* bytes */

/* Parameter of the callback that reads the services. */
typedef struct deploy_loader {
    toml_doc *doc;
    deploy_spec *out;
} deploy_loader;

static const toml_field deploy_spec_fields[] = {
    {"name", TOML_STRING, offsetof(deploy_spec, name), true, 0, SVC_NAME_SIZE,
     NULL},
    {"availability_zones", TOML_STRINGS, offsetof(deploy_spec, zones), true, 0,
     0, NULL},
    {"entries", TOML_STRINGS, offsetof(deploy_spec, entries), true, 0, 0,
     NULL},
};

static const toml_field deploy_service_fields[] = {
    {"instances", TOML_INT, offsetof(deploy_service, instances), true, 1,
     DEPLOY_INSTANCES_MAX, NULL},
    {"slots", TOML_INT, offsetof(deploy_service, slots), true, 1,
     DEPLOY_SLOTS_MAX, NULL},
    {"announced_slots", TOML_INT, offsetof(deploy_service, announced_slots),
     false, 1, DEPLOY_SLOTS_MAX, NULL},
    {"cold", TOML_DURATION, offsetof(deploy_service, warmup_ms), false, 0,
     DEPLOY_WARMUP_MAX_MS, NULL},
    {"times", TOML_STRINGS, offsetof(deploy_service, times), true, 0, 0, NULL},
};

static const char *const deploy_tables[] = {"deployment", "services", NULL};

#define DEPLOY_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

/* Reads a [services.NAME] table. */
static int
deploy_load_service(const char *name, int line, err *e, void *payload)
{
    deploy_loader *loader = payload;
    deploy_spec *d = loader->out;
    char table[SVC_NAME_SIZE + 16];
    if (d->service_count == DEPLOY_SERVICES_MAX) {
        return ERR_SET_AT(e, ERR_FULL, d->folder, line, "too many services");
    }
    deploy_service *service = &d->services[d->service_count++];
    snprintf(service->name, sizeof(service->name), "%s", name);
    snprintf(table, sizeof(table), "services.%s", name);
    return toml_read_table(service, loader->doc, table, deploy_service_fields,
                           DEPLOY_FIELD_COUNT(deploy_service_fields), e);
}

/* Loads a deployment file.  Returns 0 or an error with file, line and reason;
 * ERR_FULL if it has too many services. */
int
deploy_load(deploy_spec *out, const char *path, err *e)
{
    char *text = NULL;
    memset(out, 0, sizeof(*out));
    snprintf(out->folder, sizeof(out->folder), "%s", path);
    char *slash = strrchr(out->folder, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    int result = nodecfg_read_text_file(&text, path, DEPLOY_FILE_SIZE_MAX, e);
    if (result < 0) {
        return result;
    }
    deploy_loader loader = {NULL, out};
    result = toml_parse(&loader.doc, text, path, e);
    if (result == 0) {
        result = toml_check_tables(loader.doc, deploy_tables, e);
    }
    if (result == 0) {
        result =
            toml_read_table(out, loader.doc, "deployment", deploy_spec_fields,
                            DEPLOY_FIELD_COUNT(deploy_spec_fields), e);
    }
    if (result == 0) {
        result = toml_each_table(loader.doc, "services", deploy_load_service,
                                 e, &loader);
    }
    toml_free(loader.doc);
    free(text);
    return result;
}

/* Scales a number, rounded, to at least 1. */
static int64_t
deploy_scaled(int64_t value, double factor)
{
    int64_t scaled = (int64_t)((double)value * factor + 0.5);
    return scaled < 1 ? 1 : scaled;
}

/* Scales slots (also announced ones) and instances of every service, each to
 * at least 1. */
void
deploy_scale(deploy_spec *d, double slots, double instances)
{
    for (size_t i = 0; i < d->service_count; i++) {
        deploy_service *service = &d->services[i];
        service->slots = deploy_scaled(service->slots, slots);
        service->instances = deploy_scaled(service->instances, instances);
        if (service->announced_slots > 0) {
            service->announced_slots =
                deploy_scaled(service->announced_slots, slots);
        }
    }
}

/* Returns the service time of an operation in milliseconds; 10 if the file
 * does not give it. */
int
deploy_operation_ms(const deploy_service *service, const char *operation)
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
