/* A heartbeat from another writer, with an id that is no text, reaches a node
 * while orders are under way: the node must go on. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define CASE_ORDERS 6
#define CASE_BUDGET_MS 6000
#define CASE_BEAT_AFTER_MS 400 /* the orders are at their instances by then */
#define CASE_LOST_MAX 3        /* of the rule */

typedef struct case_order {
    pthread_t thread;
    char id[32];
    bool kept; /* the connection has carried another request before */
    int64_t sent_ms;
    int64_t ended_ms;
    int status;
} case_order;

static const char case_routes[] =
    "[{\"name\":\"r-1\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
    "\"route_type\":\"non_idempotent\",\"timeout\":\"6000ms\","
    "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"far\","
    "\"max_attempts\":2}]";

/* Sends a request on a connection and reads its answer; returns the status,
 * 0: the connection ended without one. */
static int
case_exchange(int fd, const char *id, int work_ms)
{
    char text[512];
    rig_message m = {0};
    snprintf(text, sizeof(text),
             "POST /r/w%ds100/ HTTP/1.1\r\nHost: h.example\r\n"
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
             work_ms, id, CASE_BUDGET_MS);
    rig_log("%s sent through node 0", id);
    if (fd < 0 || !rig_send(fd, text, strlen(text))) {
        return 0;
    }
    rig_read_response(fd, &m);
    rig_free(&m);
    rig_log("%s answered %d", id, m.whole ? m.status : 0);
    return m.whole ? m.status : 0;
}

static void *
case_send_order(void *payload)
{
    case_order *o = payload;
    char first[64];
    int fd = rig_connect(0);
    snprintf(first, sizeof(first), "%s-first", o->id);
    o->kept = case_exchange(fd, first, 5) == 200;
    o->sent_ms = rig_now_ms();
    o->status = case_exchange(fd, o->id, 1500);
    o->ended_ms = rig_now_ms();
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const services[] = {"near", "far", "far"};
    static case_order orders[CASE_ORDERS];
    int lost = 0;
    rig_start(argc > 1 ? argv[1] : ".", 3, services, case_routes);
    for (int i = 0; i < CASE_ORDERS; i++) {
        snprintf(orders[i].id, sizeof(orders[i].id), "order%d", i);
        if (pthread_create(&orders[i].thread, NULL, case_send_order,
                           &orders[i]) != 0) {
            rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
        }
    }
    rig_sleep_ms(CASE_BEAT_AFTER_MS);
    if (rig_trouble()) {
        int status = rig_foreign_heartbeat(0, "i-\xff\xfe\xfd");
        rig_log("heartbeat of another writer answered %d", status);
    }
    for (int i = 0; i < CASE_ORDERS; i++) {
        rig_run run;
        const case_order *o = &orders[i];
        pthread_join(o->thread, NULL);
        lost += o->kept && o->status == 0 &&
                rig_runs_of(o->id, &run, 1) == 1 &&
                o->ended_ms - o->sent_ms < CASE_BUDGET_MS;
    }
    rig_sleep_ms(200);
    bool ended = rig_node_has_ended(0);
    rig_end(lost > CASE_LOST_MAX ? RIG_EXIT_BROKEN : RIG_EXIT_HELD,
            "LOST: %d of %d kept connections ended without an answer; the "
            "process of the node %s",
            lost, CASE_ORDERS, ended ? "ended by itself" : "goes on");
}
