/* What operators observe of the nodes: the metrics page, and the log events
 * with the fields that docs/OPERATIONS.md documents. */
#include <criterion/criterion.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define NODES 3
#define LINE_SIZE 8192
#define FIELDS_MAX 13

TestSuite(mesh_observability, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

/* Send a POST request to node 0.  Returns the status of the response. */
static int
call(const char *path, const char *id)
{
    harness_response response;
    harness_call(&response, 0, "POST", path, id, "", 0);
    int status = response.status;
    harness_free_response(&response);
    return status;
}

/* The value of a metric, named with its labels; -1 when the page does not have
 * it. */
static double
metric(int node, const char *name)
{
    harness_response page;
    char line[256];
    double value = -1;
    harness_http_get(&page, harness_metrics_port(node), "/metrics");
    cr_assert_eq(page.status, 200);
    snprintf(line, sizeof(line), "\n%s ", name);
    page.body[page.length] = '\0';
    const char *at = strstr(page.body, line);
    if (at != NULL) {
        value = strtod(at + strlen(line), NULL);
    }
    harness_free_response(&page);
    return value;
}

static const char *const metric_names[] = {
    "lav_target_busy",
    "lav_target_limit",
    "lav_requests",
    "lav_connections",
    "lav_log_lines_lost",
    "lav_desired_version",
    "lav_request_seconds_bucket{le=\"+Inf\"}",
    "lav_request_seconds_count",
};

/* The documented metrics exist, and requests change them. */
Test(mesh_observability, the_metrics_page)
{
    for (size_t i = 0; i < COUNT(metric_names); i++) {
        cr_expect_geq(metric(0, metric_names[i]), 0, "%s", metric_names[i]);
    }
    cr_expect_eq(metric(0, "lav_desired_version"), 1);
    cr_expect_eq(metric(0, "lav_target_requests_per_s_limit"), -1);
    double before = metric(0, "lav_request_seconds_count");
    for (int i = 0; i < 10; i++) {
        char id[32];
        snprintf(id, sizeof(id), "counted-%d", i);
        cr_expect_eq(call("/n/ok", id), 200);
    }
    cr_expect_geq(metric(0, "lav_request_seconds_count"), before + 10);
    cr_expect_eq(metric(0, "lav_request_seconds_count"),
                 metric(0, "lav_request_seconds_bucket{le=\"+Inf\"}"));
    cr_expect_geq(
        metric(0,
               "lav_retry_budget_total{service=\"far\",count=\"requests\"}"),
        10);
    double unknown =
        metric(0, "lav_reasons_total{reason=\"unknown_operation\"}");
    cr_expect_eq(call("/none/ok", "nowhere"), 404);
    cr_expect_gt(metric(0, "lav_reasons_total{reason=\"unknown_operation\"}"),
                 unknown);
}

typedef struct event_case {
    const char *event;
    bool request; /* it has the field "request" */
    const char *fields[FIELDS_MAX];
} event_case;

/* Events of lav-platform-node, as docs/OPERATIONS.md lists them. */
static const event_case events[] = {
    {"answer",
     true,
     {"status", "reason", "service", "waited_us", "left_us", "attempts_left",
      "moves", "depth", "last_node", "begun_share", "held_back_by", "desired",
      "routed_by"}},
    {"attempt",
     true,
     {"outcome", "reason", "reached_target", "node", "instance", "after_us"}},
    {"door",
     true,
     {"outcome", "reason", "reached_target", "instance", "state", "running",
      "limit", "per_s", "waiting", "demand", "depth", "waited_us", "left_us"}},
    {"retry_denied",
     true,
     {"service", "room_below", "used", "allowed", "nodes", "requests", "taken",
      "denied", "inherited"}},
    {"served",
     true,
     {"status", "service", "node", "instance", "took_us", "attempts_left",
      "moves", "routed_by"}},
    {"target_failed",
     true,
     {"status", "service", "node", "instance", "took_us", "attempts_left",
      "moves", "routed_by"}},
    {"cancelled",
     true,
     {"instance", "running", "in_target_us", "waited_us", "beside", "limit",
      "waiting"}},
    {"late_answer", true, {"instance"}},
    {"answer_rejected", true, {"instance", "why"}},
    {"foreign_answer", true, {"node"}},
    {"object_rejected", false, {"kind", "why"}},
    {"entry_rejected", false, {"name", "why"}},
    {"target_end_checked", false, {"instance", "ended"}},
    {"desired_state", false, {"version", "was", "routes", "from"}},
    {"clock_set_back", false, {"incarnation", "earlier"}},
    {"target_adopted",
     false,
     {"instance", "load_told", "running", "waiting", "slots"}},
    {"target_confirmed",
     false,
     {"instance", "load_told", "running", "waiting", "slots"}},
    {"target_not_adopted", false, {"instance", "answered_by", "status"}},
    {"earlier_calls_over", false, {"instance"}},
    {"member", false, {"node", "instance", "state", "sequence", "from"}},
    {"self", false, {"instance", "state", "sequence"}},
    {"target_started", false, {"instance", "was"}},
    {"target_limit", false, {"instance", "per_s", "was", "from"}},
    {"admission_level",
     false,
     {"share", "refused", "demand", "capacity", "target", "running",
      "waiting"}},
    {"target_capacity",
     false,
     {"instance", "limit", "was", "slots", "host_percent", "call_us"}},
    {"workspaces", false, {"version", "workspaces", "keys"}},
    {"key_refused", true, {"status", "reason", "key_given", "desired"}},
    {"usage_refused",
     false,
     {"workspace", "reason", "retry_after_us", "slot", "from", "version",
      "age_us", "desired"}},
    {"usage_owner", false, {"slot", "node", "was", "members", "desired"}},
    {"usage_unanswered", false, {"slot", "node", "status", "sent"}},
    {"usage_clock_stood", false, {"us"}},
    {"target_limit_rejected", false, {"instance", "text", "fields"}},
    {"target_leaves", false, {"instance", "running"}},
    {"target_lost", false, {"instance", "why"}},
    {"store_lost", false, {"kind", "how", "status", "revision", "era"}},
    {"store_regained", false, {"kind", "revision", "era"}},
    {"store_restored", false, {"era", "was"}},
    {"objects_missing", false, {"kind", "count", "era"}},
    {"own_entry_checked", false, {"listed", "outdated"}},
    {"store_outdated", false, {"era", "present"}},
    {"member_lost", false, {"node", "instance"}},
    {"member_found", false, {"node", "instance"}},
    {"member_given_up", false, {"node", "instance", "lost_ms"}},
    {"entry_removal", false, {"status"}},
    {"started", false, {"service", "zone", "incarnation"}},
    {"stopping", false, {"requests"}},
    {"stopped", false, {"requests"}},
    {"reloaded", false, {"drain_ms", "stop_ms"}},
    {"left_out", false, {"of", "lines"}},
    {"message", false, {"message"}},
};

static int event_counts[COUNT(events)];

/* Check that a line of a log is a known event with its fields. */
static void
check_line(const char *text)
{
    json_t *line = json_loads(text, 0, NULL);
    cr_assert(json_is_object(line), "%s", text);
    const char *event = json_string_value(json_object_get(line, "event"));
    cr_assert_not_null(event, "%s", text);
    cr_expect(json_is_integer(json_object_get(line, "ms")), "%s", text);
    cr_expect(json_is_string(json_object_get(line, "level")), "%s", text);
    cr_expect(json_is_string(json_object_get(line, "process")), "%s", text);
    size_t index = 0;
    while (index < COUNT(events) && strcmp(events[index].event, event) != 0) {
        index++;
    }
    cr_assert_lt(index, COUNT(events), "undocumented event: %s", text);
    const event_case *c = &events[index];
    cr_expect_eq(json_is_string(json_object_get(line, "request")), c->request,
                 "%s", text);
    for (size_t i = 0; i < FIELDS_MAX && c->fields[i] != NULL; i++) {
        cr_expect_not_null(json_object_get(line, c->fields[i]), "%s in %s",
                           c->fields[i], text);
    }
    event_counts[index]++;
    json_decref(line);
}

static void
check_logs(void)
{
    char line[LINE_SIZE];
    for (int i = 0; i < NODES; i++) {
        char path[128];
        snprintf(path, sizeof(path), "%s/node%d.log", harness_log_dir(), i);
        FILE *file = fopen(path, "r");
        cr_assert_not_null(file);
        while (fgets(line, sizeof(line), file) != NULL) {
            check_line(line);
        }
        fclose(file);
    }
}

/* Send a request that hangs and disconnect while it runs. */
static void
send_and_disconnect(const char *path, const char *id)
{
    char request[256];
    int size = snprintf(request, sizeof(request),
                        "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Content-Length: 0\r\n\r\n",
                        path, id);
    int fd = harness_connect(0);
    harness_send(fd, request, (size_t)size);
    cr_assert(HARNESS_WAIT_FOR(harness_run_count(id) == 1));
    close(fd);
    cr_assert(HARNESS_WAIT_FOR(harness_was_disconnected(id)));
}

/* Cause many kinds of events.  Each line of the logs must have the fields of
 * its event, and no event may be missing in the table above. */
Test(mesh_observability, events_carry_what_is_promised)
{
    cr_expect_eq(call("/n/ok", "fine"), 200);
    cr_expect_eq(call("/none/ok", "nowhere"), 404);
    cr_expect_eq(call("/i/fail", "fails"), 500);
    call("/i/late", "late");
    call("/i/extra", "extra");
    call("/i/ok", "after-extra");
    call("/n/noseal", "unsealed");
    call("/n/reset", "lost");
    send_and_disconnect("/n/hang", "left");
    harness_set_target_refusing(2, true);
    for (int i = 0; i < 10; i++) {
        char id[32];
        snprintf(id, sizeof(id), "refused-%d", i);
        call("/n/shed-at-1", id);
    }
    harness_set_target_refusing(2, false);
    harness_rewrite_settings(1);
    harness_signal_node(1, SIGHUP);
    harness_publish_desired(2, ROUTES);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"store_lost\"")));
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"store_regained\"")));
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"version\":2")));
    harness_signal_node(1, SIGKILL);
    cr_expect_neq(harness_wait_node_exit(1), -1);
    for (int i = 0; i < 5; i++) {
        char id[32];
        snprintf(id, sizeof(id), "gone-%d", i);
        call("/n/shed-at-2", id);
    }
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"member_lost\"")));
    harness_start_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(1, "\"target_adopted\"")));
    harness_store_put_raw("lavnodes", "odd", "null");
    harness_store_put("lavnodes", "other", "{}");
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(1, "entry_rejected")));
    cr_assert_eq(harness_deregister_target(1), 200);
    harness_signal_node(1, SIGTERM);
    cr_expect_eq(harness_wait_node_exit(1), 0);
    check_logs();
    static const char *const expected[] = {
        "answer",          "attempt",         "door",
        "served",          "target_failed",   "cancelled",
        "late_answer",     "answer_rejected", "desired_state",
        "target_adopted",  "member",          "self",
        "target_started",  "target_leaves",   "target_lost",
        "store_lost",      "store_regained",  "member_lost",
        "started",         "stopping",        "stopped",
        "object_rejected", "entry_rejected",  "target_end_checked",
        "target_confirmed"};
    for (size_t i = 0; i < COUNT(expected); i++) {
        bool found = false;
        for (size_t j = 0; j < COUNT(events); j++) {
            found = found || (strcmp(events[j].event, expected[i]) == 0 &&
                              event_counts[j] > 0);
        }
        cr_expect(found, "no %s", expected[i]);
    }
}
