#include "lav/config_check.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"

/* Where findings go, and what the routes and workspaces are compared with. */
typedef struct config_check {
    const routing_table *table;
    const routing_table *other; /* NULL: nothing to compare with */
    config_check_cb report;
    void *payload;
} config_check;

/* Returns the name of a kind of finding. */
const char *
config_check_kind_name(enum config_check_kind kind)
{
    switch (kind) {
    case CONFIG_CHECK_ERROR:
        return "error";
    case CONFIG_CHECK_WARNING:
        return "warning";
    case CONFIG_CHECK_CHANGE:
        return "change";
    }
    return "unknown";
}

/* Reports a finding. */
static void G_GNUC_PRINTF(3, 4)
    config_check_report(const config_check *check, enum config_check_kind kind,
                        const char *format, ...)
{
    config_check_finding finding = {.kind = kind};
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(finding.text, sizeof(finding.text), format, arguments);
    va_end(arguments);
    check->report(&finding, check->payload);
}

/* Checks the destinations of a route. */
static void
config_check_destinations(const config_check *check,
                          const routing_route *route)
{
    for (int i = 0; i < route->part_count; i++) {
        const routing_destination *part = &route->parts[i];
        if (part->weight == 0) {
            config_check_report(check, CONFIG_CHECK_WARNING,
                                "route %s%s: the part for %s has weight 0 and "
                                "gets no requests",
                                route->host, route->prefix, part->service);
        }
        if (routing_health_path(check->table, part->service) == NULL) {
            config_check_report(check, CONFIG_CHECK_WARNING,
                                "route %s%s: service %s is not described",
                                route->host, route->prefix, part->service);
        }
        for (int k = 0; k < i; k++) {
            if (strcmp(route->parts[k].service, part->service) == 0) {
                config_check_report(check, CONFIG_CHECK_WARNING,
                                    "route %s%s: two parts lead to %s",
                                    route->host, route->prefix, part->service);
            }
        }
    }
}

/* Returns the route of a table with the host and prefix of `route`; NULL if
 * there is none. */
static const routing_route *
config_check_find_route(const routing_table *table, const routing_route *route)
{
    const routing_route *found =
        routing_find(table, route->host, strlen(route->host), route->prefix,
                     route->prefix_length);
    return found != NULL && found->prefix_length == route->prefix_length
               ? found
               : NULL;
}

/* Checks a route. */
static void
config_check_route(const routing_route *route, void *payload)
{
    const config_check *check = payload;
    const routing_route *first = config_check_find_route(check->table, route);
    if (first != NULL && first != route) {
        config_check_report(check, CONFIG_CHECK_ERROR,
                            "route %s%s: can never match, another route has "
                            "the same host and prefix",
                            route->host, route->prefix);
    }
    if (strpbrk(route->prefix, "?# \t") != NULL) {
        config_check_report(check, CONFIG_CHECK_ERROR,
                            "route %s%s: can never match, no path contains "
                            "such characters",
                            route->host, route->prefix);
    }
    if (strchr(route->host, ':') != NULL || route->host[0] == '\0') {
        config_check_report(check, CONFIG_CHECK_ERROR,
                            "route %s%s: can never match, hosts are compared "
                            "without a port",
                            route->host, route->prefix);
    }
    if (route->objective_us > route->timeout_us) {
        config_check_report(
            check, CONFIG_CHECK_WARNING,
            "route %s%s: the objective of %" G_GINT64_FORMAT
            " ms is beyond the timeout of %" G_GINT64_FORMAT " ms",
            route->host, route->prefix, route->objective_us / CLOCK_US_PER_MS,
            route->timeout_us / CLOCK_US_PER_MS);
    }
    if (route->auth_exempt && routing_get_workspaces(check->table) == NULL) {
        config_check_report(check, CONFIG_CHECK_WARNING,
                            "route %s%s: needs no key, but there are no "
                            "workspaces",
                            route->host, route->prefix);
    }
    config_check_destinations(check, route);
}

/* Checks a service that the desired state describes. */
static void
config_check_service(const char *service, void *payload)
{
    const config_check *check = payload;
    if (!routing_leads_to(check->table, service)) {
        config_check_report(check, CONFIG_CHECK_WARNING,
                            "service %s: no route leads to it", service);
    }
}

/* Checks a workspace. */
static void
config_check_workspace(const workspace *entry, void *payload)
{
    const config_check *check = payload;
    if (entry->key_count == 0) {
        config_check_report(check, CONFIG_CHECK_WARNING,
                            "workspace %s: has no key, nobody can use it",
                            entry->name);
    }
    if (entry->rate_per_s == 0 && entry->burst > 0) {
        config_check_report(check, CONFIG_CHECK_WARNING,
                            "workspace %s: the burst of %g has no effect "
                            "without a rate",
                            entry->name, entry->burst);
    }
    if (entry->rate_per_s > 0 && entry->burst > entry->rate_per_s) {
        config_check_report(check, CONFIG_CHECK_WARNING,
                            "workspace %s: the burst of %g is above the rate "
                            "of %g/s",
                            entry->name, entry->burst, entry->rate_per_s);
    }
    if (entry->rate_per_s > 0 && entry->rate_per_s < 1 && entry->burst < 1) {
        config_check_report(check, CONFIG_CHECK_ERROR,
                            "workspace %s: a rate of %g/s and a burst of %g "
                            "never allow a request",
                            entry->name, entry->rate_per_s, entry->burst);
    }
}

/* Reports errors and warnings about a desired state. */
void
config_check_run(const routing_table *table, config_check_cb report,
                 void *payload)
{
    config_check check = {
        .table = table, .report = report, .payload = payload};
    const routing_limits *limits = routing_get_limits(table);
    const workspace_table *workspaces = routing_get_workspaces(table);
    if (limits->header_timeout_us > limits->idle_timeout_us) {
        config_check_report(
            &check, CONFIG_CHECK_WARNING,
            "limits: the header timeout of %" G_GINT64_FORMAT
            " ms is beyond the idle timeout of %" G_GINT64_FORMAT " ms",
            limits->header_timeout_us / CLOCK_US_PER_MS,
            limits->idle_timeout_us / CLOCK_US_PER_MS);
    }
    routing_each_route(table, config_check_route, &check);
    routing_each_service(table, config_check_service, &check);
    if (workspaces != NULL) {
        workspace_each(workspaces, config_check_workspace, &check);
    }
}

/* Writes the destinations of a route as "service" or "a 90, b 10". */
static void
config_check_format_destinations(GString *out, const routing_route *route)
{
    for (int i = 0; i < route->part_count; i++) {
        g_string_append_printf(out, "%s%s", i > 0 ? ", " : "",
                               route->parts[i].service);
        if (route->part_count > 1) {
            g_string_append_printf(out, " %d", route->parts[i].weight);
        }
    }
}

/* Reports the change of a number of a route, if any. */
static void
config_check_compare_number(const config_check *check,
                            const routing_route *route, const char *name,
                            int64_t was, int64_t is)
{
    if (was != is) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "route %s%s: %s %" G_GINT64_FORMAT
                            " -> %" G_GINT64_FORMAT,
                            route->host, route->prefix, name, was, is);
    }
}

/* Compares a route with that of the same host and prefix in force. */
static void
config_check_compare_route(const routing_route *route, void *payload)
{
    const config_check *check = payload;
    const routing_route *was = config_check_find_route(check->other, route);
    if (was == NULL) {
        config_check_report(check, CONFIG_CHECK_CHANGE, "route %s%s: added",
                            route->host, route->prefix);
        return;
    }
    GString *before = g_string_new(NULL);
    GString *after = g_string_new(NULL);
    config_check_format_destinations(before, was);
    config_check_format_destinations(after, route);
    if (strcmp(before->str, after->str) != 0) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "route %s%s: destination %s -> %s", route->host,
                            route->prefix, before->str, after->str);
    }
    g_string_free(before, TRUE);
    g_string_free(after, TRUE);
    config_check_compare_number(check, route, "timeout_ms",
                                was->timeout_us / CLOCK_US_PER_MS,
                                route->timeout_us / CLOCK_US_PER_MS);
    config_check_compare_number(check, route, "objective_ms",
                                was->objective_us / CLOCK_US_PER_MS,
                                route->objective_us / CLOCK_US_PER_MS);
    config_check_compare_number(check, route, "priority", was->priority,
                                route->priority);
    config_check_compare_number(check, route, "attempts", was->attempts_max,
                                route->attempts_max);
    config_check_compare_number(check, route, "idempotent", was->idempotent,
                                route->idempotent);
    config_check_compare_number(check, route, "needs_no_key", was->auth_exempt,
                                route->auth_exempt);
}

/* Reports a route in force that the new desired state no longer has. */
static void
config_check_compare_removed_route(const routing_route *route, void *payload)
{
    const config_check *check = payload;
    if (config_check_find_route(check->table, route) == NULL) {
        config_check_report(check, CONFIG_CHECK_CHANGE, "route %s%s: removed",
                            route->host, route->prefix);
    }
}

/* Returns the workspace with the id of `entry` in a table; NULL if there is
 * none, or no table. */
static const workspace *
config_check_find_workspace(const routing_table *table, const workspace *entry)
{
    const workspace_table *workspaces = routing_get_workspaces(table);
    return workspaces == NULL ? NULL : workspace_get(workspaces, entry->id);
}

/* Compares a workspace with the one in force.  Keys are only counted: they
 * must not be shown. */
static void
config_check_compare_workspace(const workspace *entry, void *payload)
{
    const config_check *check = payload;
    const workspace *was = config_check_find_workspace(check->other, entry);
    if (was == NULL) {
        config_check_report(check, CONFIG_CHECK_CHANGE, "workspace %s: added",
                            entry->name);
        return;
    }
    if (was->rate_per_s != entry->rate_per_s || was->burst != entry->burst) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "workspace %s: cap %g/s, burst %g -> %g/s, burst "
                            "%g",
                            entry->name, was->rate_per_s, was->burst,
                            entry->rate_per_s, entry->burst);
    }
    if (was->priority != entry->priority) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "workspace %s: priority %d -> %d", entry->name,
                            was->priority, entry->priority);
    }
    if (was->key_count != entry->key_count) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "workspace %s: %zu keys -> %zu", entry->name,
                            was->key_count, entry->key_count);
    }
}

/* Reports a workspace in force that the new desired state no longer has. */
static void
config_check_compare_removed_workspace(const workspace *entry, void *payload)
{
    const config_check *check = payload;
    if (config_check_find_workspace(check->table, entry) == NULL) {
        config_check_report(check, CONFIG_CHECK_CHANGE,
                            "workspace %s: removed", entry->name);
    }
}

/* Reports what the publication of a desired state would change. */
void
config_check_compare(const routing_table *table, const routing_table *in_force,
                     config_check_cb report, void *payload)
{
    config_check check = {.table = table,
                          .other = in_force,
                          .report = report,
                          .payload = payload};
    const workspace_table *workspaces = routing_get_workspaces(table);
    const workspace_table *earlier = routing_get_workspaces(in_force);
    if (routing_version(table) <= routing_version(in_force)) {
        config_check_report(&check, CONFIG_CHECK_ERROR,
                            "version %" G_GUINT64_FORMAT
                            " is not above %" G_GUINT64_FORMAT
                            ", which is in force",
                            routing_version(table), routing_version(in_force));
    }
    routing_each_route(table, config_check_compare_route, &check);
    routing_each_route(in_force, config_check_compare_removed_route, &check);
    if (workspaces != NULL) {
        workspace_each(workspaces, config_check_compare_workspace, &check);
    }
    if (earlier != NULL) {
        workspace_each(earlier, config_check_compare_removed_workspace,
                       &check);
    }
}
