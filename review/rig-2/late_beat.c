/*
 * A node is killed just after it acknowledged that its instance is gone, and
 * starts again while the platform's store is down; a heartbeat that the
 * instance had sent before arrives late.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DRAIN_MS 2000
#define WORK_MS 300
#define AWAY_BEFORE_MS 500 /* the store goes away before the ack */
#define AWAY_MS 4500       /* in all */
#define KILL_MS 200        /* after the ack */
#define RESTART_MS 700
#define LATE_MS 1500     /* the heartbeat that is late */
#define REQUESTS_MS 8000 /* `contact` after the store is back, and more */
#define REQUESTS 12
#define GAP_MS 100
#define LEAVES_MS 8700 /* the instance ends */
#define BUDGET_MS 3000

#define ROUTES                                                                \
    "[{\"name\":\"orders\",\"host\":\"h.example\",\"path_prefix\":\"/n/\","   \
    "\"route_type\":\"non_idempotent\",\"timeout\":\"3000ms\","               \
    "\"target_latency\":\"1500ms\",\"priority\":0,\"max_attempts\":2,"        \
    "\"service\":\"orders\"}]"

static rig_node *entry;
static rig_node *leaving;
static int64_t acked_ms; /* when the instance's DELETE was acknowledged */
static int late;
static int lost;
static int answered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Milliseconds since the ack; -1 before it, and for other instances. */
static int64_t
since_ack_ms(const rig_node *node)
{
    return node == leaving && acked_ms > 0 ? rig_now_ms() - acked_ms : -1;
}

/* An instance.  One that leaves says so in all its answers, answers its
 * health probe with 503, and ends LEAVES_MS after the ack. */
static void
serve(int fd, rig_node *node)
{
    char id[64];
    char text[512];
    rig_message *request = malloc(sizeof(*request));
    while (rig_read_head(request, fd, 20000) &&
           rig_read_body(request, fd, 5000)) {
        bool known = rig_field(id, sizeof(id), request->head, RIG_ID);
        int64_t since_ms = since_ack_ms(node);
        rig_clear(request);
        if (since_ms > LEAVES_MS) {
            break;
        }
        if (known) {
            rig_note("%s runs %s, %lld ms after the ack of its leaving",
                     node->instance, id, (long long)since_ms);
            pthread_mutex_lock(&lock);
            late += since_ms > DRAIN_MS;
            pthread_mutex_unlock(&lock);
            rig_sleep_ms(WORK_MS);
            if (since_ack_ms(node) > LEAVES_MS) {
                rig_note("%s has ended, and with it %s", node->instance, id);
                pthread_mutex_lock(&lock);
                lost++;
                pthread_mutex_unlock(&lock);
                break;
            }
        }
        bool healthy = known || since_ms < 0;
        int size = snprintf(
            text, sizeof(text),
            "HTTP/1.1 %s\r\n%s%s%s" RIG_SEAL
            ": seal\r\nLavenderfield-Instance-Id: %s\r\n%s"
            "Content-Length: 2\r\n\r\nok",
            healthy ? "200 OK" : "503 Service Unavailable",
            known ? RIG_ID ": " : "", id, known ? "\r\n" : "", node->instance,
            since_ms >= 0 ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
        rig_send(fd, text, (size_t)size);
        if (since_ms >= 0) {
            break;
        }
    }
    free(request);
}

static void *
request_order(void *payload)
{
    char id[32];
    rig_message answer;
    snprintf(id, sizeof(id), "order-%d", (int)(intptr_t)payload);
    rig_call(&answer, entry, "POST", "/n/order", id, "", 0, BUDGET_MS);
    rig_note("%s: status %d", id, answer.status);
    rig_clear(&answer);
    pthread_mutex_lock(&lock);
    answered++;
    pthread_mutex_unlock(&lock);
    return NULL;
}

/* Sleep until a time after the ack. */
static void
wait_until(int after_ms)
{
    int64_t left_ms = acked_ms + after_ms - rig_now_ms();
    if (left_ms > 0) {
        rig_sleep_ms((int)left_ms);
    }
}

int
main(int argc, char **argv)
{
    rig_open(argc > 1 ? argv[1] : ".", "6s", "2000ms");
    rig_node *nodes[3] = {rig_add_node("front", "harju-a", 20, serve),
                          rig_add_node("orders", "tartu-a", 20, serve),
                          rig_add_node("orders", "parnu-a", 20, serve)};
    rig_publish(1, ROUTES, "15000ms");
    for (int i = 0; i < 3; i++) {
        rig_start_node(nodes[i]);
    }
    for (int i = 0; i < 3; i++) {
        if (!rig_wait_ready(nodes[i], 5000)) {
            rig_give_up("a node isn't ready");
        }
        nodes[i]->beats = true;
    }
    entry = nodes[0];
    if (!rig_wait_log(entry, nodes[1]->instance, 8000) ||
        !rig_wait_log(entry, nodes[2]->instance, 8000)) {
        rig_give_up("the nodes don't know one another");
    }
    rig_sleep_ms(4000); /* over `contact` */
    nodes[1]->beats = false;
    rig_sleep_ms(100);
    if (rig_is_troubled()) {
        rig_store_away();
    }
    rig_sleep_ms(AWAY_BEFORE_MS);
    if (rig_leave(nodes[1]) != 200) {
        rig_give_up("the DELETE has no ack");
    }
    acked_ms = rig_now_ms();
    leaving = nodes[1];
    rig_note("%s sends DELETE, and has its ack", leaving->instance);
    if (rig_is_troubled()) {
        wait_until(KILL_MS);
        rig_signal_node(leaving, SIGKILL);
        rig_wait_exit(leaving, 2000);
        wait_until(RESTART_MS);
        rig_start_node(leaving);
    }
    wait_until(LATE_MS);
    rig_note("a heartbeat of before the DELETE arrives: status %d",
             rig_beat(leaving));
    wait_until(AWAY_MS - AWAY_BEFORE_MS);
    if (rig_is_troubled()) {
        rig_store_back();
    }
    wait_until(REQUESTS_MS);
    for (int i = 0; i < REQUESTS; i++) {
        pthread_t thread;
        pthread_create(&thread, NULL, request_order, (void *)(intptr_t)i);
        pthread_detach(thread);
        rig_sleep_ms(GAP_MS);
    }
    while (answered < REQUESTS) {
        rig_sleep_ms(50);
    }
    rig_note("%d requests reached the instance later than `drain` after the "
             "ack; %d of them were lost with it",
             late, lost);
    return rig_close(late > 0 ? RIG_BROKEN : RIG_HELD);
}
