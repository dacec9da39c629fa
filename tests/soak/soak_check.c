/* What must hold once the faults are over. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "mesh.h"
#include "soak.h"

#define SOAK_PROBES 10 /* requests in a row that must succeed again */

/* Write the present version of the desired state. */
void
soak_write_desired(soak_run *s)
{
    int version = atomic_load(&s->version);
    char routes[2048];
    snprintf(
        routes, sizeof(routes),
        "[" ROUTE("/i/", "idempotent", "2s", "far") "," ROUTE(
            "/n/", "non_idempotent", "2s",
            "far") "," ROUTE("/m/", "non_idempotent", "2s", "near") ",%s%s]",
        version % 2 == 0 ? ROUTE("/r/", "idempotent", "2s", "far")
                         : ROUTE("/r/", "idempotent", "2s", "near"),
        version % 3 == 0 ? "" : "," ROUTE("/q/", "idempotent", "2s", "far"));
    char workspaces[512];
    snprintf(workspaces, sizeof(workspaces),
             "[{\"name\":\"one\",\"api_keys\":[\"lasting\"],\"priority\":0},"
             "{\"name\":\"two\",\"api_keys\":[\"key-%d\"],\"priority\":1},"
             "{\"name\":\"hot\",\"api_keys\":[\"hot\"]," SOAK_CAPS "},"
             "{\"name\":\"calm\",\"api_keys\":[\"calm\"]," SOAK_CAPS "}]",
             version);
    harness_publish_workspaces(version, routes,
                               s->opts.workspaces ? workspaces : NULL);
}

/* Operators move one route between the services, drop another, and give a
 * workspace another key. */
void
soak_publish_desired(soak_run *s)
{
    atomic_fetch_add(&s->version, 1);
    soak_write_desired(s);
}

/* Sends a request on a connection of its own; its status. */
int
soak_probe(const soak_run *s, int node, const char *path, const char *id,
           enum soak_key key)
{
    char request[512];
    char key_line[SOAK_KEY_LINE_SIZE];
    harness_response answer;
    int fd = harness_connect(node);
    if (fd < 0) {
        return 0;
    }
    soak_write_key(key_line, s, key);
    int size = snprintf(request, sizeof(request),
                        "GET %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n%s\r\n",
                        path, id, key_line);
    harness_send(fd, request, (size_t)size);
    harness_read_response(&answer, fd);
    int status = answer.status;
    harness_free_response(&answer);
    close(fd);
    return status;
}

/* Whether a node refuses the withdrawn key, and takes the newest one. */
static bool
soak_knows_keys(const soak_run *s, int node, int try)
{
    char id[SOAK_ID_SIZE];
    char withdrawn[SOAK_ID_SIZE];
    snprintf(id, sizeof(id), "k%d-%d-%d", s->opts.seed, node, try);
    snprintf(withdrawn, sizeof(withdrawn), "w%d-%d-%d", s->opts.seed, node,
             try);
    return !s->opts.workspaces ||
           (soak_probe(s, node, "/r/ok", id, SOAK_KEY_NEWEST) == 200 &&
            soak_probe(s, node, "/r/ok", withdrawn, SOAK_KEY_WITHDRAWN) ==
                401 &&
            harness_arrival_count(withdrawn) == 0);
}

/* Whether a node serves, by the newest desired state, within the time that
 * the platform allows after the last fault. */
static void
soak_check_node(soak_run *s, int node)
{
    int version = atomic_load(&s->version);
    int dropped = version % 3 == 0 ? 404 : 200;
    int64_t end_us =
        clock_now_us() + (int64_t)SOAK_RECOVERY_MAX_MS * CLOCK_US_PER_MS;
    int in_row = 0;
    int last = 0;
    for (int i = 0; in_row < SOAK_PROBES && clock_now_us() < end_us; i++) {
        char id[SOAK_ID_SIZE];
        snprintf(id, sizeof(id), "p%d-%d-%d", s->opts.seed, node, i);
        last = soak_probe(s, node, "/r/ok", id, SOAK_KEY_LASTING);
        bool near = harness_last_run_node(id) % 3 == 0;
        snprintf(id, sizeof(id), "q%d-%d-%d", s->opts.seed, node, i);
        bool good =
            last == 200 && near == (version % 2 == 1) &&
            soak_probe(s, node, "/q/ok", id, SOAK_KEY_LASTING) == dropped &&
            soak_knows_keys(s, node, i);
        in_row = good ? in_row + 1 : 0;
        if (!good) {
            harness_sleep_ms(100);
        }
    }
    if (in_row < SOAK_PROBES) {
        soak_report_violation(
            s, "node %d does not serve version %d again, last status %d", node,
            version, last);
    }
}

static bool
soak_is_refusal(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/* At most once, true refusals; in planned work nothing is cut that runs. */
static void
soak_check_results(soak_run *s)
{
    for (guint i = 0; i < s->results->len; i++) {
        const soak_result *r = &g_array_index(s->results, soak_result, i);
        int runs = harness_run_count(r->id);
        if (!r->idempotent && runs > 1) {
            soak_report_violation(s, "%s ran %d times", r->id, runs);
        }
        if (!r->idempotent && soak_is_refusal(r->status) && runs > 0) {
            soak_report_violation(s, "%s was refused with %d and has run",
                                  r->id, r->status);
        }
        if (s->opts.planned && r->status == 0 && runs > 0) {
            soak_report_violation(
                s, "%s ran and got no answer in planned work", r->id);
        }
        if (r->status == 404 || r->status == 400 ||
            (r->status == 401 && r->key != SOAK_KEY_NEWEST)) {
            soak_report_violation(s, "%s got %d", r->id, r->status);
        }
    }
}

static void
soak_check_repeats(soak_run *s)
{
    int repeats = 0;
    int arrivals = harness_total_arrival_count(&repeats);
    int windows = s->opts.seconds / SOAK_RETRY_WINDOW_S + 1;
    double most = (arrivals - repeats) * SOAK_RETRY_RATIO +
                  2.0 * SOAK_RETRY_SLACK * windows; /* of the two services */
    if (repeats > most) {
        soak_report_violation(s, "%d repeats of %d arrivals", repeats,
                              arrivals);
    }
}

/* Targets get the workspace's name and no key. */
static void
soak_check_identities(soak_run *s)
{
    int keys = 0;
    int repeats = 0;
    int arrivals = harness_total_arrival_count(&repeats);
    int named = harness_named_arrival_count(&keys);
    if (keys > 0 || named != (s->opts.workspaces ? arrivals : 0)) {
        soak_report_violation(s,
                              "of %d requests at targets %d had a key, and "
                              "%d a workspace",
                              arrivals, keys, named);
    }
}

/* Check everything; the faults are over, the callers have stopped. */
void
soak_check(soak_run *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        soak_check_node(s, i);
    }
    soak_check_results(s);
    soak_check_repeats(s);
    soak_check_identities(s);
    soak_check_usage(s);
    if (harness_late_arrival_count() > 0) {
        soak_report_violation(s, "%d requests came to targets that had left",
                              harness_late_arrival_count());
    }
}
