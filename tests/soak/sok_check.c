/* What must hold once the faults are over. */
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"
#include "mesh.h"
#include "sok.h"

#define SOK_PROBES 10 /* requests in a row that must succeed again */

/* Operators move one route between the services, and drop another. */
void
sok_desire(sok *s)
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
    pfr_desire(version, routes);
}

static int
sok_probe(int node, const char *path, const char *id)
{
    pfr_answer answer;
    pfr_call(&answer, node, "GET", path, id, NULL, 0);
    int status = answer.status;
    pfr_clear(&answer);
    return status;
}

/* Whether a node serves, by the newest desired state, within the time that
 * the platform allows after the last fault. */
static void
sok_check_node(sok *s, int node)
{
    int version = atomic_load(&s->version);
    int dropped = version % 3 == 0 ? 404 : 200;
    int64_t end_us =
        clock_now_us() + (int64_t)SOK_RECOVERY_MS * CLOCK_US_PER_MS;
    int in_row = 0;
    int last = 0;
    for (int i = 0; in_row < SOK_PROBES && clock_now_us() < end_us; i++) {
        char id[SOK_ID_SIZE];
        snprintf(id, sizeof(id), "p%d-%d-%d", s->opts.seed, node, i);
        last = sok_probe(node, "/r/ok", id);
        bool near = pfr_run_node(id) % 3 == 0;
        snprintf(id, sizeof(id), "q%d-%d-%d", s->opts.seed, node, i);
        bool good = last == 200 && near == (version % 2 == 1) &&
                    sok_probe(node, "/q/ok", id) == dropped;
        in_row = good ? in_row + 1 : 0;
        if (!good) {
            pfr_sleep_ms(100);
        }
    }
    if (in_row < SOK_PROBES) {
        sok_find(s, "node %d does not serve version %d again, last status %d",
                 node, version, last);
    }
}

static bool
sok_is_refusal(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/* At most once, true refusals; in planned work nothing is cut that runs. */
static void
sok_check_results(sok *s)
{
    for (guint i = 0; i < s->results->len; i++) {
        const sok_result *r = &g_array_index(s->results, sok_result, i);
        int runs = pfr_runs(r->id);
        if (!r->idempotent && runs > 1) {
            sok_find(s, "%s ran %d times", r->id, runs);
        }
        if (!r->idempotent && sok_is_refusal(r->status) && runs > 0) {
            sok_find(s, "%s was refused with %d and has run", r->id,
                     r->status);
        }
        if (s->opts.planned && r->status == 0 && runs > 0) {
            sok_find(s, "%s ran and got no answer in planned work", r->id);
        }
        if (r->status == 404 || r->status == 400) {
            sok_find(s, "%s got %d", r->id, r->status);
        }
    }
}

static void
sok_check_repeats(sok *s)
{
    int repeats = 0;
    int arrivals = pfr_all_arrivals(&repeats);
    int windows = s->opts.seconds / SOK_WINDOW_S + 1;
    double most = (arrivals - repeats) * SOK_RATIO +
                  2.0 * SOK_SLACK * windows; /* of the two services */
    if (repeats > most) {
        sok_find(s, "%d repeats of %d arrivals", repeats, arrivals);
    }
}

/* Check all promises; the faults are over, the callers have stopped. */
void
sok_check(sok *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        sok_check_node(s, i);
    }
    sok_check_results(s);
    sok_check_repeats(s);
    if (pfr_late_arrivals() > 0) {
        sok_find(s, "%d requests came to targets that had left",
                 pfr_late_arrivals());
    }
}
