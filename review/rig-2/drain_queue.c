/*
 * Two of three instances of a service leave, one after the other, and many
 * users come at once: requests wait for a slot of an instance that leaves.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS 3
#define WORK_MS 470
#define DRAIN_MS 2500
#define LEAVES_MS 3000 /* after the ack: `drain` and a little longer */
#define BETWEEN_MS 100 /* the two instances leave one after the other */
#define BURST_AFTER_MS 850
#define NODES 4
#define BURST 24
#define QUIET 4
#define BUDGET_MS 8000

#define ROUTES                                                                \
    "[{\"name\":\"orders\",\"host\":\"h.example\",\"path_prefix\":\"/n/\","   \
    "\"route_type\":\"non_idempotent\",\"timeout\":\"8000ms\","               \
    "\"target_latency\":\"4000ms\",\"priority\":0,\"max_attempts\":2,"        \
    "\"service\":\"orders\"}]"

static rig_node *entry;
static rig_node *leaving;
static int64_t acked_ms; /* when the instance's leaving was acknowledged */
static int late;         /* requests that reached it after `drain` */
static int lost;         /* of these, cut off when it ended */
static int answered;
static int sent;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Milliseconds since the ack; -1 before it, and for other instances. */
static int64_t
since_ack_ms(const rig_node *node)
{
    return node == leaving && acked_ms > 0 ? rig_now_ms() - acked_ms : -1;
}

/* An instance.  One that leaves answers its health probe with 503, and ends
 * LEAVES_MS after the ack. */
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
        int size = snprintf(text, sizeof(text),
                            "HTTP/1.1 %s\r\n%s%s%s" RIG_SEAL
                            ": seal\r\nLavenderfield-Instance-Id: %s\r\n"
                            "Content-Length: 2\r\n%s\r\nok",
                            healthy ? "200 OK" : "503 Service Unavailable",
                            known ? RIG_ID ": " : "", id, known ? "\r\n" : "",
                            node->instance,
                            since_ms >= 0 ? "Connection: close\r\n" : "");
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
    int64_t start_ms = rig_now_ms();
    rig_call(&answer, entry, "POST", "/n/order", id, "", 0, BUDGET_MS);
    rig_note("%s: status %d, %lld ms after it was sent", id, answer.status,
             (long long)(rig_now_ms() - start_ms));
    rig_clear(&answer);
    pthread_mutex_lock(&lock);
    answered++;
    pthread_mutex_unlock(&lock);
    return NULL;
}

static void
send_orders(int count)
{
    for (int i = 0; i < count; i++) {
        pthread_t thread;
        pthread_create(&thread, NULL, request_order, (void *)(intptr_t)sent++);
        pthread_detach(thread);
    }
}

/* An instance says that it leaves. */
static void
report_draining(rig_node *node)
{
    node->leaving = true;
    if (rig_beat(node) != 200) {
        rig_give_up("the heartbeat has no ack");
    }
    rig_note("%s reports draining, and has its ack", node->instance);
}

int
main(int argc, char **argv)
{
    rig_open(argc > 1 ? argv[1] : ".", "6s", "2500ms");
    rig_node *nodes[NODES] = {rig_add_node("front", "harju-a", 20, serve),
                              rig_add_node("orders", "tartu-a", SLOTS, serve),
                              rig_add_node("orders", "parnu-a", SLOTS, serve),
                              rig_add_node("orders", "harju-a", SLOTS, serve)};
    rig_publish(1, ROUTES, "15000ms");
    for (int i = 0; i < NODES; i++) {
        rig_start_node(nodes[i]);
    }
    for (int i = 0; i < NODES; i++) {
        if (!rig_wait_ready(nodes[i], 5000)) {
            rig_give_up("a node isn't ready");
        }
        nodes[i]->beats = true;
    }
    entry = nodes[0];
    for (int i = 1; i < NODES; i++) {
        if (!rig_wait_log(entry, nodes[i]->instance, 8000)) {
            rig_give_up("the nodes don't know one another");
        }
    }
    rig_sleep_ms(4000); /* over `contact` */
    report_draining(nodes[2]);
    rig_sleep_ms(BETWEEN_MS);
    report_draining(nodes[1]);
    acked_ms = rig_now_ms();
    leaving = nodes[1];
    rig_sleep_ms(BURST_AFTER_MS);
    send_orders(rig_is_troubled() ? BURST : QUIET);
    while (answered < sent) {
        rig_sleep_ms(50);
    }
    rig_note("%d requests reached the instance later than `drain` after the "
             "ack; %d of them were lost with it",
             late, lost);
    return rig_close(late > 0 ? RIG_BROKEN : RIG_HELD);
}
