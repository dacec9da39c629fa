#include "lav/catalog.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CATALOG_QUALIFIED_NAME_SIZE (2 * SVC_NAME_SIZE)

/* Path of the file that describes an operation. */
static const char *
catalog_file_path(const catalog *c, catalog_op_id op)
{
    return c->services[c->operations[op].service]->path;
}

/* Build the table of operations from the service files. */
static int
catalog_add_operations(catalog *c, err *e)
{
    size_t total = 0;
    for (size_t i = 0; i < c->service_count; i++) {
        total += c->services[i]->operation_count;
    }
    c->operations = calloc(total + 1, sizeof(*c->operations));
    if (c->operations == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "catalog");
    }
    for (size_t i = 0; i < c->service_count; i++) {
        for (size_t j = 0; j < c->services[i]->operation_count; j++) {
            catalog_operation *op = &c->operations[c->operation_count++];
            op->service = (int)i;
            op->source = &c->services[i]->operations[j];
        }
    }
    return 0;
}

/* Resolve the calls of an operation to handles.  ERR_INVALID if a callee is
 * unknown or its callers wait longer than those of the operation. */
static int
catalog_resolve_calls(catalog *c, catalog_op_id from, err *e)
{
    catalog_operation *op = &c->operations[from];
    for (size_t i = 0; i < op->source->calls.count; i++) {
        const char *name = op->source->calls.items[i];
        catalog_op_id to = catalog_find_op_by_name(c, name);
        if (to == CATALOG_NOT_FOUND) {
            return ERR_SET_AT(e, ERR_INVALID, catalog_file_path(c, from),
                              op->source->line,
                              "%s: calls %s, which no file describes",
                              op->source->name, name);
        }
        if (c->operations[to].source->caller_wait_ms >
            op->source->caller_wait_ms) {
            return ERR_SET_AT(e, ERR_INVALID, catalog_file_path(c, from),
                              op->source->line,
                              "%s: caller_wait is shorter than that of %s",
                              op->source->name, name);
        }
        op->callees[op->callee_count++] = to;
    }
    return 0;
}

/* Depth-first search of the calls of `root`, now `depth` calls deep at
 * `current`.  ERR_INVALID if `root` is part of a cycle, or if a chain exceeds
 * the limit, which a cycle further down does too. */
static int
catalog_check_depth(const catalog *c, catalog_op_id root,
                    catalog_op_id current, int depth, err *e)
{
    const catalog_operation *op = &c->operations[current];
    if (depth > 1 && current == root) {
        return ERR_SET_AT(e, ERR_INVALID, catalog_file_path(c, root),
                          c->operations[root].source->line,
                          "%s: its calls form a cycle",
                          c->operations[root].source->name);
    }
    if (depth > CATALOG_CALL_DEPTH_MAX) {
        return ERR_SET_AT(e, ERR_INVALID, catalog_file_path(c, root),
                          c->operations[root].source->line,
                          "%s: its calls lead to a cycle, or the chain is "
                          "deeper than %d",
                          c->operations[root].source->name,
                          CATALOG_CALL_DEPTH_MAX);
    }
    for (size_t i = 0; i < op->callee_count; i++) {
        int result =
            catalog_check_depth(c, root, op->callees[i], depth + 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

/* Resolve all calls, then check the call graph. */
static int
catalog_link(catalog *c, err *e)
{
    for (size_t i = 0; i < c->operation_count; i++) {
        int result = catalog_resolve_calls(c, (catalog_op_id)i, e);
        if (result < 0) {
            return result;
        }
    }
    for (size_t i = 0; i < c->operation_count; i++) {
        int result =
            catalog_check_depth(c, (catalog_op_id)i, (catalog_op_id)i, 1, e);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

/* ERR_INVALID if two files describe the same service. */
static int
catalog_check_unique_services(const catalog *c, err *e)
{
    for (size_t i = 0; i < c->service_count; i++) {
        if (catalog_find_service(c, c->services[i]->name) != (int)i) {
            return ERR_SET_AT(e, ERR_INVALID, c->services[i]->path, 1,
                              "service %s is described by two files",
                              c->services[i]->name);
        }
    }
    return 0;
}

/* Build a catalog from the files, checking the call graph.  Takes ownership
 * of the files, on failure as well.  ERR_FULL: too many services, or no
 * memory.  ERR_INVALID: the error names the file and the line. */
int
catalog_new(catalog **out, svc_file **files, size_t count, err *e)
{
    catalog *c = calloc(1, sizeof(*c));
    if (c == NULL || count > CATALOG_SERVICES_MAX) {
        free(c);
        for (size_t i = 0; i < count; i++) {
            svc_free(files[i]);
        }
        return ERR_SET(e, ERR_FULL, "more than %d services",
                       CATALOG_SERVICES_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        c->services[i] = files[i];
    }
    c->service_count = count;
    int result = catalog_check_unique_services(c, e);
    if (result == 0) {
        result = catalog_add_operations(c, e);
    }
    if (result == 0) {
        result = catalog_link(c, e);
    }
    if (result < 0) {
        catalog_free(c);
        return result;
    }
    *out = c;
    return 0;
}

/* Free a catalog and its files; NULL is ignored. */
void
catalog_free(catalog *c)
{
    if (c == NULL) {
        return;
    }
    for (size_t i = 0; i < c->service_count; i++) {
        svc_free(c->services[i]);
    }
    free(c->operations);
    free(c);
}

/* Find the index of a service; CATALOG_NOT_FOUND if there is none. */
int
catalog_find_service(const catalog *c, const char *service)
{
    for (size_t i = 0; i < c->service_count; i++) {
        if (strcmp(c->services[i]->name, service) == 0) {
            return (int)i;
        }
    }
    return CATALOG_NOT_FOUND;
}

/* Find the handle of an operation; CATALOG_NOT_FOUND if there is none. */
catalog_op_id
catalog_find_op(const catalog *c, const char *service, const char *operation)
{
    for (size_t i = 0; i < c->operation_count; i++) {
        const catalog_operation *op = &c->operations[i];
        if (strcmp(c->services[op->service]->name, service) == 0 &&
            strcmp(op->source->name, operation) == 0) {
            return (catalog_op_id)i;
        }
    }
    return CATALOG_NOT_FOUND;
}

/* Find the handle of "service.operation"; CATALOG_NOT_FOUND if there is
 * none. */
catalog_op_id
catalog_find_op_by_name(const catalog *c, const char *name)
{
    char copy[CATALOG_QUALIFIED_NAME_SIZE];
    snprintf(copy, sizeof(copy), "%s", name);
    char *dot = strchr(copy, '.');
    if (dot == NULL) {
        return CATALOG_NOT_FOUND;
    }
    *dot = '\0';
    return catalog_find_op(c, copy, dot + 1);
}

/* The overload policy of the service that an operation belongs to. */
const svc_policy *
catalog_get_policy(const catalog *c, catalog_op_id op)
{
    return &c->services[c->operations[op].service]->policy;
}

/* Whether `from` lists `to` among its calls. */
bool
catalog_is_call_allowed(const catalog *c, catalog_op_id from, catalog_op_id to)
{
    const catalog_operation *op = &c->operations[from];
    for (size_t i = 0; i < op->callee_count; i++) {
        if (op->callees[i] == to) {
            return true;
        }
    }
    return false;
}

/* Whether any operation of a service is not idempotent. */
bool
catalog_service_has_non_idempotent(const catalog *c, int service)
{
    const svc_file *file = c->services[service];
    for (size_t i = 0; i < file->operation_count; i++) {
        if (!file->operations[i].idempotent) {
            return true;
        }
    }
    return false;
}
