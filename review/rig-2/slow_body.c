/*
 * A planned stop while instances read the bodies of their requests slowly.
 * Each request has been read as a whole by the node and passed on, and its
 * instance is at work on it.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUESTS 4
#define BODY_BYTES 262144
#define FIRST_BYTES 16384 /* read before the instance pauses */
#define PAUSE_MS 2500
#define TIMEOUT_MS 5000
#define TERM_AFTER_MS 300

#define ROUTES                                                                \
    "[{\"name\":\"orders\",\"host\":\"h.example\",\"path_prefix\":\"/n/\","   \
    "\"route_type\":\"non_idempotent\",\"timeout\":\"5000ms\","               \
    "\"target_latency\":\"4000ms\",\"priority\":0,\"max_attempts\":2,"        \
    "\"service\":\"orders\"}]"

static bool slow;

/* Reads `length` bytes of a body. */
static bool
read_part(int fd, size_t length)
{
    char bytes[4096];
    while (length > 0) {
        ssize_t got = recv(fd, bytes,
                           length < sizeof(bytes) ? length : sizeof(bytes), 0);
        if (got <= 0) {
            return false;
        }
        length -= (size_t)got;
    }
    return true;
}

/* An instance: begins to work when it has a request's head, reads the body,
 * in two parts if it is slow, and answers. */
static void
serve(int fd, rig_node *node)
{
    char id[64];
    char text[512];
    rig_message *request = malloc(sizeof(*request));
    while (rig_read_head(request, fd, 20000)) {
        rig_field(id, sizeof(id), request->head, RIG_ID);
        if (rig_field(text, sizeof(text), request->head, "Content-Length")) {
            size_t length = strtoul(text, NULL, 10);
            rig_note("%s runs %s, body of %zu bytes", node->instance, id,
                     length);
            bool whole = read_part(fd, FIRST_BYTES);
            if (slow) {
                rig_sleep_ms(PAUSE_MS);
            }
            whole = whole && read_part(fd, length - FIRST_BYTES);
            if (!slow) {
                rig_sleep_ms(PAUSE_MS);
            }
            rig_note("%s: the body of %s is %s", node->instance, id,
                     whole ? "whole" : "broken off");
            if (!whole) {
                break;
            }
        }
        int size =
            snprintf(text, sizeof(text),
                     "HTTP/1.1 200 OK\r\n%s%s%s" RIG_SEAL
                     ": seal\r\nLavenderfield-Instance-Id: %s\r\n"
                     "Lavenderfield-Instance-Load: 0,0,%d\r\n"
                     "Content-Length: 2\r\n\r\nok",
                     id[0] == '\0' ? "" : RIG_ID ": ", id,
                     id[0] == '\0' ? "" : "\r\n", node->instance, node->slots);
        rig_send(fd, text, (size_t)size);
        id[0] = '\0';
    }
    free(request);
}

static void
prepare(rig_node **entry)
{
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
    if (!rig_wait_log(nodes[0], nodes[1]->instance, 8000) ||
        !rig_wait_log(nodes[0], nodes[2]->instance, 8000)) {
        rig_give_up("the nodes don't know one another");
    }
    *entry = nodes[0];
    rig_sleep_ms(3500); /* `contact` */
}

int
main(int argc, char **argv)
{
    static char body[BODY_BYTES];
    rig_node *entry = NULL;
    int fds[REQUESTS];
    int lost = 0;
    rig_open(argc > 1 ? argv[1] : ".", "6s", "2000ms");
    slow = rig_is_troubled();
    prepare(&entry);
    for (int i = 0; i < REQUESTS; i++) {
        char head[256];
        int size =
            snprintf(head, sizeof(head),
                     "POST /n/order HTTP/1.1\r\nHost: h.example\r\n" RIG_ID
                     ": order-%d\r\n"
                     "Lavenderfield-Deadline-Ms: %d\r\n"
                     "Content-Length: %d\r\n\r\n",
                     i, TIMEOUT_MS, BODY_BYTES);
        fds[i] = rig_connect(entry->ip, entry->ports[RIG_OUTBOUND], 0);
        if (fds[i] < 0 || !rig_send(fds[i], head, (size_t)size) ||
            !rig_send(fds[i], body, sizeof(body))) {
            rig_give_up("a request cannot be sent");
        }
        rig_note("order-%d has been sent", i);
    }
    int64_t sent_ms = rig_now_ms();
    rig_sleep_ms(TERM_AFTER_MS);
    rig_signal_node(entry, SIGTERM);
    for (int i = 0; i < REQUESTS; i++) {
        char seal[64];
        rig_message answer = {0};
        bool whole = rig_read_head(&answer, fds[i], TIMEOUT_MS + 1000) &&
                     rig_read_body(&answer, fds[i], 1000);
        bool sealed = rig_field(seal, sizeof(seal), answer.head, RIG_SEAL);
        int64_t took_ms = rig_now_ms() - sent_ms;
        rig_note("order-%d: status %d, %s, %s, %lld ms after it was sent", i,
                 answer.status, sealed ? "the instance's" : "not sealed",
                 whole ? "whole" : "not whole", (long long)took_ms);
        if (!whole || !sealed) {
            lost++;
        }
        rig_clear(&answer);
        close(fds[i]);
    }
    rig_sleep_ms(1500);
    rig_note("%d of %d requests have no answer of their instance", lost,
             REQUESTS);
    return rig_close(lost > 0 ? RIG_BROKEN : RIG_HELD);
}
