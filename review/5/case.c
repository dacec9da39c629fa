/* An instance takes itself out of service with a DELETE, its node is killed
 * and started again, and a heartbeat from before the DELETE arrives late: the
 * instance must not get requests again. */
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>

#include "rig.h"

#define CASE_LEAVER 1           /* node beside the instance that leaves */
#define CASE_KILL_AFTER_MS 500  /* after the DELETE was acknowledged */
#define CASE_DOWN_MS 700        /* until the process is started again */
#define CASE_LATE_MS 4500       /* delay of the heartbeat, after the start */
#define CASE_SERVES_ON_MS 10000 /* that the instance does after its DELETE */
#define CASE_PAUSE_MS 20        /* between requests */
#define CASE_REQUESTERS 8

static const char case_routes[] =
    "[{\"name\":\"r-1\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
    "\"route_type\":\"idempotent\",\"timeout\":\"5000ms\","
    "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"far\","
    "\"max_attempts\":2}]";

static atomic_bool case_over;

/* Sends one request after the other. */
static void *
case_request(void *payload)
{
    int requester = (int)(intptr_t)payload;
    for (int i = 0; !atomic_load(&case_over); i++) {
        rig_message m;
        char id[32];
        snprintf(id, sizeof(id), "browse%d-%d", requester, i);
        rig_call(&m, 0, "GET", "/r/w50s100/", id, 5000);
        rig_free(&m);
        rig_sleep_ms(CASE_PAUSE_MS);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const services[] = {"near", "far", "far"};
    rig_start(argc > 1 ? argv[1] : ".", 3, services, case_routes);
    for (int i = 0; i < CASE_REQUESTERS; i++) {
        pthread_t thread;
        if (pthread_create(&thread, NULL, case_request, (void *)(intptr_t)i) !=
            0) {
            rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
        }
    }
    rig_sleep_ms(1000);
    if (rig_runs_since(CASE_LEAVER, 0) == 0) {
        rig_end(RIG_EXIT_NOT_RUN, "the instance got no request at all");
    }
    /* The heartbeat that will arrive late is sent now, with the sequence
     * number that it has now; the DELETE follows. */
    rig_set_heartbeats(CASE_LEAVER, false);
    int64_t late_sequence = rig_next_sequence(CASE_LEAVER);
    rig_log("heartbeat %lld \"ready\" of node %d's instance is under way",
            (long long)late_sequence, CASE_LEAVER);
    rig_set_leaving(CASE_LEAVER, true);
    if (rig_deregister(CASE_LEAVER) / 100 != 2) {
        rig_end(RIG_EXIT_NOT_RUN, "the DELETE was not acknowledged");
    }
    int64_t acknowledged_ms = rig_now_ms();
    rig_log("DELETE of node %d's instance acknowledged", CASE_LEAVER);
    rig_sleep_ms(CASE_KILL_AFTER_MS);
    if (rig_trouble()) {
        rig_signal_node(CASE_LEAVER, SIGKILL);
        while (!rig_node_has_ended(CASE_LEAVER)) {
            rig_sleep_ms(10);
        }
        rig_sleep_ms(CASE_DOWN_MS);
        rig_start_node(CASE_LEAVER);
        if (!rig_wait_ready(CASE_LEAVER, 2000)) {
            rig_end(RIG_EXIT_NOT_RUN, "the node did not come back");
        }
    }
    rig_sleep_ms(CASE_LATE_MS);
    int status = rig_heartbeat(CASE_LEAVER, "ready", late_sequence);
    int64_t late_ms = rig_now_ms();
    rig_log("heartbeat %lld arrives, %lld ms after the DELETE; answer %d",
            (long long)late_sequence, (long long)(late_ms - acknowledged_ms),
            status);
    rig_sleep_ms(acknowledged_ms + CASE_SERVES_ON_MS - rig_now_ms());
    atomic_store(&case_over, true);
    int late = rig_runs_since(CASE_LEAVER, acknowledged_ms + RIG_DRAIN_MS);
    rig_end(late > 0 ? RIG_EXIT_BROKEN : RIG_EXIT_HELD,
            "DRAIN: %d requests reached the instance later than drain after "
            "the DELETE was acknowledged",
            late);
}
