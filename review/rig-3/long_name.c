/*
 * A version of the desired state moves a route, drops another one and splits a
 * third one with a service whose name is long.  Where the disruption is off,
 * that name is short and all else is the same.
 */
#include <stdio.h>
#include <string.h>

#include "rig3.h"

#define SHORT_NAME "press"
#define LONG_NAME "association-members-printed-sheet-press-service-v2"
#define CONFIG_APPLY_MS 2000
#define CALLS 20

#define SERVICE(name)                                                         \
    "{\"name\":\"" name "\",\"health_path\":\"/health\","                     \
    "\"max_connections\":448,\"protocol\":\"h1\",\"tls\":false}"
#define LIMITS                                                                \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"     \
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}"

static const char *const services[] = {"near", "far", "far"};

/* Write version 2. */
static void
publish(const char *name)
{
    char text[4096];
    snprintf(
        text, sizeof(text),
        "{\"version\":\"00000002\",\"routes\":[" RIG3_ROUTE(
            "/moved/", "non_idempotent", "5000ms", "1500ms",
            "near") "," RIG3_ROUTE("/kept/", "idempotent", "5000ms", "1500ms",
                                   "far") ","
                                          "{\"name\":\"r-split\",\"host\":\"h."
                                          "example\",\"path_prefix\":"
                                          "\"/sheets/"
                                          "\",\"route_type\":\"idempotent\","
                                          "\"timeout\":\"5000ms\","
                                          "\"target_latency\":\"1500ms\","
                                          "\"priority\":2,\"max_attempts\":2,"
                                          "\"traffic_split\":[{\"service\":"
                                          "\"far\",\"weight\":95},"
                                          "{\"service\":\"%s\",\"weight\":5}]}"
                                          "],"
                                          "\"services\":[" SERVICE(
                                              "near") "," SERVICE("far") ","
                                                                         "{\"n"
                                                                         "ame"
                                                                         "\":"
                                                                         "\"%"
                                                                         "s\","
                                                                         "\"he"
                                                                         "alth"
                                                                         "_pat"
                                                                         "h\":"
                                                                         "\"/"
                                                                         "heal"
                                                                         "th\""
                                                                         ",\"m"
                                                                         "ax_"
                                                                         "conn"
                                                                         "ecti"
                                                                         "ons"
                                                                         "\":"
                                                                         "448,"
                                                                         "\"pr"
                                                                         "otoc"
                                                                         "ol\""
                                                                         ":\"h"
                                                                         "1\","
                                                                         "\"tl"
                                                                         "s\":"
                                                                         "fals"
                                                                         "e}]"
                                                                         "," LIMITS
                                                                         "}",
        name, name);
    harness_store_put("config", "main", text);
    rig3_note("the store has taken version 2, which names the service %s",
              name);
}

int
main(void)
{
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    int stale = 0;
    int dropped = 0;
    rig3_begin("a version names a service with a long name");
    rig3_start(
        3, services, 16,
        "[" RIG3_ROUTE(
            "/moved/", "non_idempotent", "5000ms", "1500ms",
            "far") "," RIG3_ROUTE("/dropped/", "idempotent", "5000ms",
                                  "1500ms",
                                  "far") "," RIG3_ROUTE("/kept/", "idempotent",
                                                        "5000ms", "1500ms",
                                                        "far") "]",
        &opts);
    rig3_wait_serving(0, "/kept/work-5", 5);
    publish(rig3_trouble() ? LONG_NAME : SHORT_NAME);
    rig3_sleep_ms(CONFIG_APPLY_MS + 8000);
    for (int i = 0; i < CALLS; i++) {
        char id[64];
        int from = i % 3;
        snprintf(id, sizeof(id), "moved-%d", i);
        int status = rig3_call(from, "POST", "/moved/work-5", id, 5000, 0, "");
        bool old = strcmp(rig3_ran_service(id), "far") == 0;
        stale += old;
        rig3_note("%s, sent to node %d, gets %d, run by %s%s", id, from,
                  status, rig3_ran_service(id),
                  old ? ", the service of version 1" : "");
        snprintf(id, sizeof(id), "dropped-%d", i);
        status = rig3_call(from, "GET", "/dropped/work-5", id, 5000, -1, "");
        dropped += rig3_runs(id) > 0;
        rig3_note("%s, sent to node %d, gets %d, runs %d", id, from, status,
                  rig3_runs(id));
    }
    rig3_note("%d of %d requests on the moved route were run by the old "
              "service, %d of %d on the dropped route were run",
              stale, CALLS, dropped, CALLS);
    printf("%d stale, %d dropped\n", stale, dropped);
    rig3_end(stale + dropped > 0 ? 1 : 0);
}
