#include "lav/catalog.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CATALOG_QUALIFIED_NAME_SIZE (2 * SVC_NAME_SIZE)

static const char *
catalog_path(const catalog *l, catalog_op_id op)
{
    return l->services[l->operations[op].service]->path;
}

static int
catalog_add_operations(catalog *l, err *e)
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
            catalog_operation *op = &l->operations[l->operation_count++];
            op->service = (int)i;
            op->source = &l->services[i]->operations[j];
        }
    }
    return 0;
}

static int
catalog_resolve_calls(catalog *l, catalog_op_id from, err *e)
{
    catalog_operation *op = &l->operations[from];
    for (size_t i = 0; i < op->source->calls.count; i++) {
        const char *name = op->source->calls.items[i];
        catalog_op_id to = catalog_find_op_by_name(l, name);
        if (to == CATALOG_NOT_FOUND) {
            return ERR_SET_AT(e, ERR_INVALID, catalog_path(l, from),
                              op->source->line,
                              "%s: calls %s, which no file describes",
                              op->source->name, name);
        }
        if (l->operations[to].source->caller_wait_ms >
            op->source->caller_wait_ms) {
            return ERR_SET_AT(e, ERR_INVALID, catalog_path(l, from),
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
catalog_check_depth(const catalog *l, catalog_op_id root, catalog_op_id at,
                    int depth, err *e)
{
    const catalog_operation *op = &l->operations[at];
    if (depth > 1 && at == root) {
        return ERR_SET_AT(e, ERR_INVALID, catalog_path(l, root),
                          l->operations[root].source->line,
                          "%s: its calls form a cycle",
                          l->operations[root].source->name);
    }
    if (depth > CATALOG_CALL_DEPTH_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, catalog_path(l, root),
                          l->operations[root].source->line,
                          "%s: a cycle below it, or a chain deeper than %d",
                          l->operations[root].source->name,
                          CATALOG_CALL_DEPTH_MAX);
    }
    for (size_t i = 0; i < op->callee_count; i++) {
        int result =
            catalog_check_depth(l, root, op->callees[i], depth + 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

static int
catalog_check(catalog *l, err *e)
{
    for (size_t i = 0; i < l->operation_count; i++) {
        int result = catalog_resolve_calls(l, (catalog_op_id)i, e);
        if (result < 0) {
            return result;
        }
    }
    for (size_t i = 0; i < l->operation_count; i++) {
        int result =
            catalog_check_depth(l, (catalog_op_id)i, (catalog_op_id)i, 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

static int
catalog_check_names(const catalog *l, err *e)
{
    for (size_t i = 0; i < l->service_count; i++) {
        if (catalog_find_service(l, l->services[i]->name) != (int)i) {
            return ERR_SET_AT(e, ERR_INVALID, l->services[i]->path, 1,
                              "service %s has two files",
                              l->services[i]->name);
        }
    }
    return 0;
}

/* Build and check a landscape.  Takes the files over, also on failure. */
int
catalog_new(catalog **out, svc_file **files, size_t count, err *e)
{
    catalog *l = calloc(1, sizeof(*l));
    if (l == NULL || count > CATALOG_SERVICES_MAX) {
        free(l);
        for (size_t i = 0; i < count; i++) {
            svc_free(files[i]);
        }
        return ERR_SET(e, ERR_FULL, "more than %d services",
                       CATALOG_SERVICES_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        l->services[i] = files[i];
    }
    l->service_count = count;
    int result = catalog_check_names(l, e);
    if (result == 0) {
        result = catalog_add_operations(l, e);
    }
    if (result == 0) {
        result = catalog_check(l, e);
    }
    if (result < 0) {
        catalog_free(l);
        return result;
    }
    *out = l;
    return 0;
}

/* Release a landscape and its files; takes NULL. */
void
catalog_free(catalog *l)
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

/* Index of a service, or CATALOG_NOT_FOUND. */
int
catalog_find_service(const catalog *l, const char *service)
{
    for (size_t i = 0; i < l->service_count; i++) {
        if (strcmp(l->services[i]->name, service) == 0) {
            return (int)i;
        }
    }
    return CATALOG_NOT_FOUND;
}

/* Handle of an operation, or CATALOG_NOT_FOUND. */
catalog_op_id
catalog_find_op(const catalog *l, const char *service, const char *operation)
{
    for (size_t i = 0; i < l->operation_count; i++) {
        const catalog_operation *op = &l->operations[i];
        if (strcmp(l->services[op->service]->name, service) == 0 &&
            strcmp(op->source->name, operation) == 0) {
            return (catalog_op_id)i;
        }
    }
    return CATALOG_NOT_FOUND;
}

/* Handle of "service.operation", or CATALOG_NOT_FOUND. */
catalog_op_id
catalog_find_op_by_name(const catalog *l, const char *name)
{
    char copy[CATALOG_QUALIFIED_NAME_SIZE];
    snprintf(copy, sizeof(copy), "%s", name);
    char *dot = strchr(copy, '.');
    if (dot == NULL) {
        return CATALOG_NOT_FOUND;
    }
    *dot = '\0';
    return catalog_find_op(l, copy, dot + 1);
}

/* Policy of the service that an operation belongs to. */
const svc_policy *
catalog_get_policy(const catalog *l, catalog_op_id op)
{
    return &l->services[l->operations[op].service]->policy;
}

/* Whether the file of `from` lists `to` among its calls. */
bool
catalog_is_call_allowed(const catalog *l, catalog_op_id from, catalog_op_id to)
{
    const catalog_operation *op = &l->operations[from];
    for (size_t i = 0; i < op->callee_count; i++) {
        if (op->callees[i] == to) {
            return true;
        }
    }
    return false;
}

/* Whether a service has any operation that is not idempotent. */
bool
catalog_service_has_non_idempotent(const catalog *l, int service)
{
    const svc_file *file = l->services[service];
    for (size_t i = 0; i < file->operation_count; i++) {
        if (!file->operations[i].idempotent) {
            return true;
        }
    }
    return false;
}
