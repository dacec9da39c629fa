#include "lav/land.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LAND_DOTTED_SIZE (2 * SVC_NAME_SIZE)

static const char *
land_path(const land *l, land_op op)
{
    return l->services[l->operations[op].service]->path;
}

static int
land_add_operations(land *l, err *e)
{
    size_t total = 0;
    for (size_t i = 0; i < l->service_count; i++) {
        total += l->services[i]->operation_count;
    }
    l->operations = calloc(total + 1, sizeof(*l->operations));
    if (l->operations == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "landscape");
    }
    for (size_t i = 0; i < l->service_count; i++) {
        for (size_t j = 0; j < l->services[i]->operation_count; j++) {
            land_operation *op = &l->operations[l->operation_count++];
            op->service = (int)i;
            op->source = &l->services[i]->operations[j];
        }
    }
    return 0;
}

static int
land_resolve_calls(land *l, land_op from, err *e)
{
    land_operation *op = &l->operations[from];
    for (size_t i = 0; i < op->source->calls.count; i++) {
        const char *name = op->source->calls.items[i];
        land_op to = land_find_dotted(l, name);
        if (to == LAND_NONE) {
            return ERR_SET_AT(e, ERR_INVALID, land_path(l, from),
                              op->source->line,
                              "%s: calls %s, which no file describes",
                              op->source->name, name);
        }
        if (l->operations[to].source->caller_wait_ms >
            op->source->caller_wait_ms) {
            return ERR_SET_AT(e, ERR_INVALID, land_path(l, from),
                              op->source->line,
                              "%s: caller_wait is shorter than that of %s",
                              op->source->name, name);
        }
        op->callees[op->callee_count++] = to;
    }
    return 0;
}

/* Depth-first walk; a chain past the limit is a cycle or too deep. */
static int
land_check_depth(const land *l, land_op root, land_op at, int depth, err *e)
{
    const land_operation *op = &l->operations[at];
    if (depth > 1 && at == root) {
        return ERR_SET_AT(e, ERR_INVALID, land_path(l, root),
                          l->operations[root].source->line,
                          "%s: its calls form a cycle",
                          l->operations[root].source->name);
    }
    if (depth > LAND_DEPTH_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, land_path(l, root),
                          l->operations[root].source->line,
                          "%s: a cycle below it, or a chain deeper than %d",
                          l->operations[root].source->name, LAND_DEPTH_MAX);
    }
    for (size_t i = 0; i < op->callee_count; i++) {
        int result = land_check_depth(l, root, op->callees[i], depth + 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

static int
land_check(land *l, err *e)
{
    for (size_t i = 0; i < l->operation_count; i++) {
        int result = land_resolve_calls(l, (land_op)i, e);
        if (result < 0) {
            return result;
        }
    }
    for (size_t i = 0; i < l->operation_count; i++) {
        int result = land_check_depth(l, (land_op)i, (land_op)i, 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

static int
land_check_names(const land *l, err *e)
{
    for (size_t i = 0; i < l->service_count; i++) {
        if (land_service_find(l, l->services[i]->name) != (int)i) {
            return ERR_SET_AT(e, ERR_INVALID, l->services[i]->path, 1,
                              "service %s has two files",
                              l->services[i]->name);
        }
    }
    return 0;
}

/* Build and check a landscape.  Takes the files over, also on failure. */
int
land_new(land **out, svc_file **files, size_t count, err *e)
{
    land *l = calloc(1, sizeof(*l));
    if (l == NULL || count > LAND_SERVICES_MAX) {
        free(l);
        for (size_t i = 0; i < count; i++) {
            svc_free(files[i]);
        }
        return ERR_SET(e, ERR_FULL, "more than %d services",
                       LAND_SERVICES_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        l->services[i] = files[i];
    }
    l->service_count = count;
    int result = land_check_names(l, e);
    if (result == 0) {
        result = land_add_operations(l, e);
    }
    if (result == 0) {
        result = land_check(l, e);
    }
    if (result < 0) {
        land_free(l);
        return result;
    }
    *out = l;
    return 0;
}

/* Release a landscape and its files; takes NULL. */
void
land_free(land *l)
{
    if (l == NULL) {
        return;
    }
    for (size_t i = 0; i < l->service_count; i++) {
        svc_free(l->services[i]);
    }
    free(l->operations);
    free(l);
}

/* Index of a service, or LAND_NONE. */
int
land_service_find(const land *l, const char *service)
{
    for (size_t i = 0; i < l->service_count; i++) {
        if (strcmp(l->services[i]->name, service) == 0) {
            return (int)i;
        }
    }
    return LAND_NONE;
}

/* Handle of an operation, or LAND_NONE. */
land_op
land_find(const land *l, const char *service, const char *operation)
{
    for (size_t i = 0; i < l->operation_count; i++) {
        const land_operation *op = &l->operations[i];
        if (strcmp(l->services[op->service]->name, service) == 0 &&
            strcmp(op->source->name, operation) == 0) {
            return (land_op)i;
        }
    }
    return LAND_NONE;
}

/* Handle of "service.operation", or LAND_NONE. */
land_op
land_find_dotted(const land *l, const char *name)
{
    char copy[LAND_DOTTED_SIZE];
    snprintf(copy, sizeof(copy), "%s", name);
    char *dot = strchr(copy, '.');
    if (dot == NULL) {
        return LAND_NONE;
    }
    *dot = '\0';
    return land_find(l, copy, dot + 1);
}

/* Policy of the service that an operation belongs to. */
const svc_policy *
land_policy(const land *l, land_op op)
{
    return &l->services[l->operations[op].service]->policy;
}

/* Whether the file of `from` lists `to` among its calls. */
bool
land_may_call(const land *l, land_op from, land_op to)
{
    const land_operation *op = &l->operations[from];
    for (size_t i = 0; i < op->callee_count; i++) {
        if (op->callees[i] == to) {
            return true;
        }
    }
    return false;
}

/* Whether a service has any operation that is not idempotent. */
bool
land_service_has_unrepeatable(const land *l, int service)
{
    const svc_file *file = l->services[service];
    for (size_t i = 0; i < file->operation_count; i++) {
        if (!file->operations[i].idempotent) {
            return true;
        }
    }
    return false;
}
