/* A node is stopped while orders that it has passed on wait for an instance
 * that can't queue them and so never answers: each order must get an answer
 * before the node ends. */
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define CASE_SLOTS 10
#define CASE_QUEUE 2
#define CASE_LEAVERS 9
#define CASE_LEAVE_AFTER_MS 300
#define CASE_ORDERS 8
#define CASE_BUDGET_MS 6000
#define CASE_PAUSE_MS 3500 /* more than the time for being in touch */
/* After the SIGTERM.  The platform takes the requesters' work away from a node
 * after it was not ready twice, with one question a second. */
#define CASE_ORDER_AFTER_MS 500

typedef struct case_order {
    pthread_t thread;
    char id[32];
    int64_t sent_ms;
    int64_t ended_ms;
    int status;
    bool whole;
} case_order;

static const char case_routes[] =
    "[{\"name\":\"r-1\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
    "\"route_type\":\"non_idempotent\",\"timeout\":\"6000ms\","
    "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"far\","
    "\"max_attempts\":2}]";

/* Sends long requests and leaves before they are answered. */
static void
case_leave(void)
{
    int fds[CASE_LEAVERS];
    for (int i = 0; i < CASE_LEAVERS; i++) {
        char text[512];
        snprintf(text, sizeof(text),
                 "POST /r/w30000s100/ HTTP/1.1\r\nHost: h.example\r\n"
                 "Lavenderfield-Attempt-Id: left%d\r\n"
                 "Lavenderfield-Deadline-Ms: %d\r\n"
                 "Content-Length: 0\r\n\r\n",
                 i, CASE_BUDGET_MS);
        fds[i] = rig_connect(0);
        if (fds[i] < 0 || !rig_send(fds[i], text, strlen(text))) {
            rig_end(RIG_EXIT_NOT_RUN, "cannot send");
        }
    }
    rig_sleep_ms(CASE_LEAVE_AFTER_MS);
    for (int i = 0; i < CASE_LEAVERS; i++) {
        close(fds[i]);
    }
    rig_log("%d requesters have left", CASE_LEAVERS);
}

static void *
case_send_order(void *payload)
{
    case_order *o = payload;
    rig_message m;
    o->sent_ms = rig_now_ms();
    rig_call(&m, 0, "POST", "/r/w100s100/", o->id, CASE_BUDGET_MS);
    o->ended_ms = rig_now_ms();
    o->status = m.status;
    o->whole = m.whole;
    rig_free(&m);
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const services[] = {"near", "far"};
    static case_order orders[CASE_ORDERS];
    int cut = 0;
    rig_set_slots(1, CASE_SLOTS, CASE_QUEUE, true);
    rig_start(argc > 1 ? argv[1] : ".", 2, services, case_routes);
    case_leave();
    rig_sleep_ms(CASE_PAUSE_MS);
    int64_t term_ms = rig_now_ms();
    if (rig_trouble()) {
        rig_signal_node(0, SIGTERM);
    }
    rig_sleep_ms(CASE_ORDER_AFTER_MS);
    for (int i = 0; i < CASE_ORDERS; i++) {
        snprintf(orders[i].id, sizeof(orders[i].id), "order%d", i);
        if (pthread_create(&orders[i].thread, NULL, case_send_order,
                           &orders[i]) != 0) {
            rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
        }
    }
    for (int i = 0; i < CASE_ORDERS; i++) {
        rig_run run;
        const case_order *o = &orders[i];
        pthread_join(o->thread, NULL);
        /* Orders at which the instance works are excused. */
        bool begun = rig_runs_of(o->id, &run, 1) > 0;
        cut += !o->whole && !begun &&
               o->ended_ms - o->sent_ms < CASE_BUDGET_MS &&
               o->ended_ms - term_ms < RIG_GRACE_MS;
    }
    rig_node_has_ended(0);
    rig_end(cut > 0 ? RIG_EXIT_BROKEN : RIG_EXIT_HELD,
            "LOST: %d of %d orders got no answer", cut, CASE_ORDERS);
}
