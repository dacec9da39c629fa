/* What must hold once the faults are over. */
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"
#include "mesh.h"
#include "soak.h"

#define SOAK_PROBES 10 /* requests in a row that must succeed again */

/* Operators move one route between the services, and drop another. */
void
soak_publish_desired(soak_run *s)
{
    int version = atomic_fetch_add(&s->version, 1) + 1;
    char routes[2048];
    snprintf(
        routes, sizeof(routes),
        "[" ROUTE("/i/", "idempotent", "2s", "far") "," ROUTE(
            "/n/", "non_idempotent", "2s",
            "far") "," ROUTE("/m/", "non_idempotent", "2s", "near") ",%s%s]",
        version % 2 == 0 ? ROUTE("/r/", "idempotent", "2s", "far")
                         : ROUTE("/r/", "idempotent", "2s", "near"),
        version % 3 == 0 ? "" : "," ROUTE("/q/", "idempotent", "2s", "far"));
    harness_publish_desired(version, routes);
}

static int
soak_probe(int node, const char *path, const char *id)
{
    harness_response answer;
    harness_call(&answer, node, "GET", path, id, NULL, 0);
    int status = answer.status;
    harness_free_response(&answer);
    return status;
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
        last = soak_probe(node, "/r/ok", id);
        bool near = harness_last_run_node(id) % 3 == 0;
        snprintf(id, sizeof(id), "q%d-%d-%d", s->opts.seed, node, i);
        bool good = last == 200 && near == (version % 2 == 1) &&
                    soak_probe(node, "/q/ok", id) == dropped;
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
        if (r->status == 404 || r->status == 400) {
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

/* Check all promises; the faults are over, the callers have stopped. */
void
soak_check(soak_run *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        soak_check_node(s, i);
    }
    soak_check_results(s);
    soak_check_repeats(s);
    if (harness_late_arrival_count() > 0) {
        soak_report_violation(s, "%d requests came to targets that had left",
                              harness_late_arrival_count());
    }
}
