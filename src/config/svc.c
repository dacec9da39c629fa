#include "lav/svc.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SVC_CALLER_WAIT_MIN_MS 10
#define SVC_CALLER_WAIT_MAX_MS 60000
#define SVC_QUEUE_WAIT_MAX_MS 10000
#define SVC_QUEUE_LENGTH_MAX 1024
#define SVC_RETRY_BUDGET_MAX 10
#define SVC_HORIZON_MIN_MS 2000
#define SVC_HORIZON_MAX_MS 600000

static const char *const svc_class_names[] = {"critical", "normal", "browse",
                                              NULL};
static const char *const svc_retries_names[] = {"chain", "per_hop", "none",
                                                NULL};
static const char *const svc_queue_names[] = {"class", "fifo", "lifo", NULL};

static const svc_policy svc_policy_default = {
    .admission = true,
    .early_refusal = true,
    .root_class = true,
    .rank = true,
    .deadline_drop = true,
    .adaptive_limit = true,
    .ramp = true,
    .queue = SVC_QUEUE_CLASS,
    .retries = SVC_RETRIES_CHAIN,
    .retry_budget = 2,
    .queue_wait_max_ms = 300,
    .queue_length = 128,
    .at_most_once_horizon_ms = 30000,
};

#define SVC_BOOL(member)                                                      \
    {                                                                         \
#member, TOML_BOOL, offsetof(svc_policy, member), false, 0, 0, NULL   \
    }

static const toml_field svc_service_fields[] = {
    {"name", TOML_STRING, offsetof(svc_file, name), true, 0, SVC_NAME_SIZE,
     NULL},
};

static const toml_field svc_policy_fields[] = {
    SVC_BOOL(admission),
    SVC_BOOL(early_refusal),
    SVC_BOOL(root_class),
    SVC_BOOL(rank),
    SVC_BOOL(deadline_drop),
    SVC_BOOL(adaptive_limit),
    SVC_BOOL(ramp),
    {"queue", TOML_ENUM, offsetof(svc_policy, queue), false, 0, 0,
     svc_queue_names},
    {"retries", TOML_ENUM, offsetof(svc_policy, retries), false, 0, 0,
     svc_retries_names},
    {"retry_budget", TOML_INT, offsetof(svc_policy, retry_budget), false, 0,
     SVC_RETRY_BUDGET_MAX, NULL},
    {"queue_wait", TOML_DURATION, offsetof(svc_policy, queue_wait_max_ms),
     false, 0, SVC_QUEUE_WAIT_MAX_MS, NULL},
    {"queue_length", TOML_INT, offsetof(svc_policy, queue_length), false, 0,
     SVC_QUEUE_LENGTH_MAX, NULL},
    {"at_most_once_horizon", TOML_DURATION,
     offsetof(svc_policy, at_most_once_horizon_ms), false, SVC_HORIZON_MIN_MS,
     SVC_HORIZON_MAX_MS, NULL},
};

static const toml_field svc_operation_fields[] = {
    {"class", TOML_ENUM, offsetof(svc_operation, klass), true, 0, 0,
     svc_class_names},
    {"idempotent", TOML_BOOL, offsetof(svc_operation, idempotent), true, 0, 0,
     NULL},
    {"caller_wait", TOML_DURATION, offsetof(svc_operation, caller_wait_ms),
     true, SVC_CALLER_WAIT_MIN_MS, SVC_CALLER_WAIT_MAX_MS, NULL},
    {"calls", TOML_STRINGS, offsetof(svc_operation, calls), false, 0, 0, NULL},
};

static const char *const svc_tables[] = {"service", "policy", "operations",
                                         NULL};

#define SVC_ARRAY_SIZE(fields) (sizeof(fields) / sizeof((fields)[0]))

typedef struct svc_parser {
    toml_doc *doc;
    svc_file *file;
} svc_parser;

/* Whether a name is not empty, fits, and consists of lower-case letters,
 * digits and '-'. */
static bool
svc_is_valid_name(const char *name)
{
    if (strlen(name) >= SVC_NAME_SIZE || name[0] == '\0') {
        return false;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!islower((unsigned char)*c) && !isdigit((unsigned char)*c) &&
            *c != '-') {
            return false;
        }
    }
    return true;
}

/* Read the table of one operation; a toml_each_table_cb. */
static int
svc_parse_operation(const char *name, int line, err *e, void *payload)
{
    svc_parser *parser = payload;
    svc_file *file = parser->file;
    if (!svc_is_valid_name(name)) {
        return ERR_SET_AT(e, ERR_INVALID, file->path, line,
                          "%s: a name may only contain lower-case letters, "
                          "digits and '-'",
                          name);
    }
    if (file->operation_count == SVC_OPERATIONS_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, file->path, line,
                          "more than %d operations", SVC_OPERATIONS_MAX);
    }
    svc_operation *operation = &file->operations[file->operation_count++];
    char table[SVC_NAME_SIZE + 16];
    snprintf(operation->name, sizeof(operation->name), "%s", name);
    snprintf(table, sizeof(table), "operations.%s", name);
    operation->line = line;
    return toml_read_table(operation, parser->doc, table, svc_operation_fields,
                           SVC_ARRAY_SIZE(svc_operation_fields), e);
}

/* Parse the file of a service.  `path` is named in errors, and copied into
 * the result for errors found later. */
int
svc_parse(svc_file **out, const char *text, const char *path, err *e)
{
    toml_doc *doc = NULL;
    svc_file *file = calloc(1, sizeof(*file));
    if (file == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "service file");
    }
    snprintf(file->path, sizeof(file->path), "%s", path);
    file->policy = svc_policy_default;
    svc_parser parser = {NULL, file};
    int result = toml_parse(&doc, text, path, e);
    if (result < 0) {
        goto done;
    }
    parser.doc = doc;
    result = toml_check_tables(doc, svc_tables, e);
    if (result < 0) {
        goto done;
    }
    result = toml_read_table(file, doc, "service", svc_service_fields,
                             SVC_ARRAY_SIZE(svc_service_fields), e);
    if (result < 0) {
        goto done;
    }
    if (!svc_is_valid_name(file->name)) {
        result = ERR_SET_AT(e, ERR_INVALID, path,
                            toml_find_line(doc, "service", "name"),
                            "name: may only contain lower-case letters, "
                            "digits and '-'");
        goto done;
    }
    result = toml_read_table(&file->policy, doc, "policy", svc_policy_fields,
                             SVC_ARRAY_SIZE(svc_policy_fields), e);
    if (result < 0) {
        goto done;
    }
    result =
        toml_each_table(doc, "operations", svc_parse_operation, e, &parser);
    if (result == 0 && file->operation_count == 0) {
        result = ERR_SET_AT(e, ERR_INVALID, path, 1, "no operations");
    }
done:
    toml_free(doc);
    if (result < 0) {
        svc_free(file);
        return result;
    }
    *out = file;
    return 0;
}

/* Free a parsed file; NULL is ignored. */
void
svc_free(svc_file *file)
{
    free(file);
}

/* Find an operation by name; NULL if there is none. */
const svc_operation *
svc_find_operation(const svc_file *file, const char *name)
{
    for (size_t i = 0; i < file->operation_count; i++) {
        if (strcmp(file->operations[i].name, name) == 0) {
            return &file->operations[i];
        }
    }
    return NULL;
}

/* Name of a class as written in service files; "unlisted" for any other
 * number. */
const char *
svc_class_name(int klass)
{
    return klass >= 0 && klass < SVC_CLASS_COUNT ? svc_class_names[klass]
                                                 : "unlisted";
}
