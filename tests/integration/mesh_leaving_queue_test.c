/* Requests that wait for a slot of a target that leaves. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "harness_private.h"
#include "lav/clock.h"
#include "mesh.h"

#define DRAIN_MS 600
#define RELEASE_AFTER_MS                                                      \
    50            /* slots become free so long after the drain time */
#define LEAVING 1 /* the node beside the target that leaves */
#define STAYING 2 /* it leaves as well in some cases */
#define LEAVING_HEADER "Server-Leaving: 1\r\n"
#define WAITING 6      /* requests sent while the slots are taken */
#define HOLDING_MAX 20 /* requests sent until the slots are taken */
#define TAKE_PAUSE_MS 20
#define ID_SIZE 64

/* A route of requests with an objective of `aim` ms. */
#define AIM_ROUTE(kind, type, aim)                                            \
    "{\"host\":\"h.example\",\"path_prefix\":\"/" kind aim                    \
    "/\",\"route_type\":\"" type                                              \
    "\",\"timeout\":\"5000ms\",\"target_latency\":\"" aim                     \
    "ms\",\"priority\":0,\"max_attempts\":2,\"service\":\"far\"}"
#define AIM_ROUTES(aim)                                                       \
    AIM_ROUTE("i", "idempotent", aim)                                         \
    "," AIM_ROUTE("n", "non_idempotent", aim)

static void
start_with_aims(void)
{
    harness_options options = {.drain_ms = DRAIN_MS, .proxied = true};
    mesh_start_with(&options);
    harness_publish_desired(
        2,
        "[" ROUTE("/i/", "idempotent", "5000ms", "far") "," AIM_ROUTES("500") "," AIM_ROUTES(
            "1000") "," AIM_ROUTES("2000") "," AIM_ROUTES("4000") "]");
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(harness_log_contains(i, "\"version\":2")));
    }
}

TestSuite(mesh_leaving_queue, .init = start_with_aims, .fini = harness_stop,
          .timeout = 120);

enum known_by {
    KNOWN_BY_HEARTBEAT,
    KNOWN_BY_DELETE,
    KNOWN_BY_RESPONSE
};

typedef struct leaving_case {
    const char *name;
    enum known_by known_by;
    const char *route; /* with its objective */
    const char *mode;  /* of the requests that wait */
    bool both;         /* the other target leaves at the same time */
    bool reset;        /* connections between the nodes are reset */
    bool all_served;   /* by the target that stays */
} leaving_case;

static const leaving_case cases[] = {
    {"heartbeat-500", KNOWN_BY_HEARTBEAT, "n500", "held-at-1", false, false,
     false},
    {"heartbeat-1000", KNOWN_BY_HEARTBEAT, "n1000", "held-at-1", false, false,
     false},
    {"heartbeat-2000", KNOWN_BY_HEARTBEAT, "n2000", "held-at-1", false, false,
     true},
    {"heartbeat-4000", KNOWN_BY_HEARTBEAT, "n4000", "held-at-1", false, false,
     true},
    {"repeatable", KNOWN_BY_HEARTBEAT, "i4000", "held-at-1", false, false,
     true},
    {"delete", KNOWN_BY_DELETE, "n4000", "held-at-1", false, false, true},
    {"response", KNOWN_BY_RESPONSE, "n4000", "held-at-1", false, false, true},
    {"claimed", KNOWN_BY_HEARTBEAT, "n4000", "held-at-1", false, true, true},
    {"retried", KNOWN_BY_HEARTBEAT, "i4000", "shed-at-2", false, false, false},
    {"both-500", KNOWN_BY_HEARTBEAT, "n500", "held", true, false, false},
    {"both-2000", KNOWN_BY_HEARTBEAT, "n2000", "held", true, false, false},
    {"both-4000", KNOWN_BY_HEARTBEAT, "n4000", "held", true, false, false},
    {"both-delete", KNOWN_BY_DELETE, "n4000", "held", true, false, false},
};

/* A request of a case, and its connection. */
typedef struct sent_request {
    char id[ID_SIZE];
    int fd;
} sent_request;

/* Sends the heartbeat of a target with one slot that calls may use. */
static void
send_heartbeat(int node, const char *state)
{
    static const char slots[] = "\"concurrency\":40";
    static const char one_usable[] = "\"concurrency\":2 ";
    char text[1024];
    harness_format_heartbeat(text, sizeof(text), node, state, 0);
    char *at = strstr(text, slots);
    cr_assert_not_null(at);
    memcpy(at, one_usable, sizeof(one_usable) - 1);
    cr_assert_eq(
        harness_send_heartbeat_body(node, harness_nodes[node].instance, text),
        200);
}

static sent_request
send_request(const leaving_case *c, const char *what, int number,
             const char *mode)
{
    sent_request sent;
    char path[64];
    snprintf(path, sizeof(path), "/%s/%s", c->route, mode);
    snprintf(sent.id, sizeof(sent.id), "%s-%s-%d", c->name, what, number);
    sent.fd = harness_start_call(0, "POST", path, sent.id);
    cr_assert_geq(sent.fd, 0);
    return sent;
}

/* Reads the response to a request.  It was served once, or has not run. */
static int
read_response(const leaving_case *c, const sent_request *sent)
{
    harness_response response;
    harness_read_response(&response, sent->fd);
    int runs = harness_run_count(sent->id);
    bool truthful = (response.status == 200 && runs == 1) ||
                    (response.status == 503 && runs == 0);
    cr_expect(truthful, "%s: %s: status %d, %d runs", c->name, sent->id,
              response.status, runs);
    int status = response.status;
    harness_free_response(&response);
    close(sent->fd);
    return status;
}

/* Returns the number of calls that run or wait at the target beside a node. */
static int
read_busy(int node)
{
    static const char name[] = "\nlav_target_busy ";
    harness_response page;
    int busy = 0;
    harness_http_get(&page, harness_metrics_port(node), "/metrics");
    const char *at = page.body == NULL ? NULL : strstr(page.body, name);
    cr_assert_not_null(at);
    sscanf(at + strlen(name), "%d", &busy);
    harness_free_response(&page);
    return busy;
}

/* Registers new targets, which get requests. */
static void
register_targets(const leaving_case *c)
{
    for (int node = LEAVING; node <= STAYING; node++) {
        char instance[64];
        snprintf(instance, sizeof(instance), "i-%s-%d", c->name, node);
        harness_set_target_headers(node, "");
        harness_replace_instance(node, instance);
        send_heartbeat(node, "ready");
    }
    for (int node = LEAVING; node <= STAYING; node++) {
        cr_assert(mesh_reach_target(node, c->name), "%s", c->name);
    }
}

/* Whether both targets hold a request. */
static bool
are_slots_taken(void)
{
    return harness_held_count(LEAVING) > 0 && harness_held_count(STAYING) > 0;
}

/* Sends long requests until no target has a free slot; returns how many. */
static int
take_slots(sent_request *out, const leaving_case *c)
{
    int count = 0;
    while (!are_slots_taken() && count < HOLDING_MAX) {
        out[count] = send_request(c, "long", count, "held");
        count++;
        harness_sleep_ms(TAKE_PAUSE_MS);
    }
    cr_assert(are_slots_taken(), "%s", c->name);
    return count;
}

/* Announces that a target leaves; it gets no request DRAIN_MS later. */
static void
announce_leaving(const leaving_case *c, int node)
{
    static const char line[] = "\"target_leaves\"";
    int logged_before = harness_log_count(node, line);
    switch (c->known_by) {
    case KNOWN_BY_HEARTBEAT:
        send_heartbeat(node, "draining");
        break;
    case KNOWN_BY_DELETE:
        cr_assert_eq(harness_deregister_target(node), 200);
        break;
    case KNOWN_BY_RESPONSE:
        harness_set_target_headers(node, LEAVING_HEADER);
        harness_release_held(node);
        cr_assert(
            HARNESS_WAIT_FOR(harness_log_count(node, line) > logged_before));
        break;
    }
    harness_set_target_close_time(node, clock_now_us() + DRAIN_MS * 1000);
}

/* Lets the targets answer all requests, until none is sent to them any more. */
static void
release_all(void)
{
    while (harness_held_count(LEAVING) + harness_held_count(STAYING) > 0) {
        harness_release_held(LEAVING);
        harness_release_held(STAYING);
        harness_sleep_ms(20);
    }
}

static void
check_case(const leaving_case *c)
{
    sent_request sent[HOLDING_MAX + WAITING];
    int late = harness_late_arrival_count();
    int served = 0;
    register_targets(c);
    int count = take_slots(sent, c);
    for (int i = 0; i < WAITING; i++) {
        sent[count++] = send_request(c, "waits", i, c->mode);
    }
    cr_expect(HARNESS_WAIT_FOR(read_busy(LEAVING) > 1), "%s: none waits",
              c->name);
    if (c->reset) {
        fault_proxy_reset_connections(harness_get_peers_proxy(LEAVING));
    }
    announce_leaving(c, LEAVING);
    if (c->both) {
        announce_leaving(c, STAYING);
    }
    else {
        harness_release_held(STAYING);
    }
    harness_sleep_ms(DRAIN_MS + RELEASE_AFTER_MS);
    release_all();
    for (int i = 0; i < count; i++) {
        served += read_response(c, &sent[i]) == 200;
    }
    if (c->all_served) {
        cr_expect_eq(served, count, "%s: %d of %d served", c->name, served,
                     count);
    }
    cr_expect_eq(harness_late_arrival_count(), late, "%s: %d late", c->name,
                 harness_late_arrival_count() - late);
}

Test(mesh_leaving_queue, no_request_is_handed_over_after_the_drain_time)
{
    for (size_t i = 0; i < COUNT(cases); i++) {
        check_case(&cases[i]);
    }
}
