/*
 * A drill: the store is away for a moment and comes back from a copy some
 * seconds old.  What the operator wrote since is written again, and the next
 * desired state follows.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 20
#define GAP_MS 100
#define TIMEOUT_MS 2000
#define COPY_AGE_MS 2500
#define AWAY_MS 800
#define NEXT_MS 50
#define SETTLE_MS 6000 /* over `contact` + `config_apply` */

#define ROUTES(timeout, service)                                              \
    "[{\"name\":\"work\",\"host\":\"h.example\",\"path_prefix\":\"/n/\","     \
    "\"route_type\":\"non_idempotent\",\"timeout\":\"" timeout "\","          \
    "\"target_latency\":\"1000ms\",\"priority\":0,\"max_attempts\":2,"        \
    "\"service\":\"" service "\"}]"

static void
serve(int fd, rig_node *node)
{
    char id[64];
    char text[512];
    rig_message *request = malloc(sizeof(*request));
    while (rig_read_head(request, fd, 20000) &&
           rig_read_body(request, fd, 5000)) {
        bool known = rig_field(id, sizeof(id), request->head, RIG_ID);
        rig_clear(request);
        if (known) {
            rig_note("%s of service %s runs %s", node->instance, node->service,
                     id);
            rig_sleep_ms(5);
        }
        int size = snprintf(text, sizeof(text),
                            "HTTP/1.1 200 OK\r\n%s%s%s" RIG_SEAL
                            ": %s\r\nLavenderfield-Instance-Id: %s\r\n"
                            "Lavenderfield-Instance-Load: 0,0,%d\r\n"
                            "Content-Length: 2\r\n\r\nok",
                            known ? RIG_ID ": " : "", id, known ? "\r\n" : "",
                            node->service, node->instance, node->slots);
        rig_send(fd, text, (size_t)size);
    }
    free(request);
}

static rig_node *nodes[3];

static void
prepare(void)
{
    nodes[0] = rig_add_node("front", "harju-a", 20, serve);
    nodes[1] = rig_add_node("old", "tartu-a", 20, serve);
    nodes[2] = rig_add_node("new", "parnu-a", 20, serve);
    rig_publish(1, ROUTES("2000ms", "old"), "15000ms");
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
    rig_sleep_ms(4000);
}

/* The instance beside node 2 starts anew. */
static void
restart_instance(void)
{
    nodes[2]->born_ms += 5000;
    nodes[2]->sequence = 0;
    strcat(nodes[2]->instance, "b");
    rig_note("an instance starts anew as %s", nodes[2]->instance);
    if (rig_beat(nodes[2]) != 200 ||
        !rig_wait_log(nodes[0], nodes[2]->instance, 6000)) {
        rig_give_up("the new instance isn't known");
    }
}

int
main(int argc, char **argv)
{
    int stale = 0;
    rig_open(argc > 1 ? argv[1] : ".", "6s", "2000ms");
    prepare();
    rig_store_copy();
    int64_t copied_ms = rig_now_ms();
    rig_publish(2, ROUTES("1900ms", "old"), "15000ms");
    restart_instance();
    if (rig_now_ms() - copied_ms < COPY_AGE_MS) {
        rig_sleep_ms((int)(COPY_AGE_MS - (rig_now_ms() - copied_ms)));
    }
    if (rig_is_troubled()) {
        rig_store_away();
        rig_sleep_ms(AWAY_MS);
        rig_store_return();
        rig_publish(2, ROUTES("1900ms", "old"), "15000ms");
        rig_sleep_ms(NEXT_MS);
    }
    rig_publish(3, ROUTES("2000ms", "new"), "15000ms");
    rig_sleep_ms(SETTLE_MS);
    for (int i = 0; i < REQUESTS; i++) {
        char id[32];
        char seal[64] = "";
        rig_message answer;
        snprintf(id, sizeof(id), "work-%d", i);
        rig_call(&answer, nodes[0], "POST", "/n/work", id, "", 0, TIMEOUT_MS);
        rig_field(seal, sizeof(seal), answer.head, RIG_SEAL);
        rig_note("%s: status %d, by service %s", id, answer.status, seal);
        stale += strcmp(seal, "old") == 0;
        rig_clear(&answer);
        rig_sleep_ms(GAP_MS);
    }
    rig_note("%d of %d requests were run by the old service", stale, REQUESTS);
    return rig_close(stale > 0 ? RIG_BROKEN : RIG_HELD);
}
