/* Heartbeats and entries of other writers: what cannot be read names no
 * instance, and everything else keeps its effect. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "mesh.h"

TestSuite(mesh_input, .init = mesh_start, .fini = harness_stop, .timeout = 60);

/* Ids that are no names: not UTF-8, empty, or too long for a record. */
static const char *const invalid_ids[] = {
    "i-\xff\xfe\xfd", "i-\xc3", "",
    "i-00000000000000000000000000000000000000000000000000000000000000000000000"
    "0000000000000000000000000000000000000000000000000000000000000000000000"};

/* A heartbeat with an id that is no text ended the process of the node. */
Test(mesh_input, heartbeats_with_an_invalid_id)
{
    char heartbeat[512];
    harness_replace_instance(1, "i-1"); /* a later start is not outdated */
    harness_format_heartbeat(heartbeat, sizeof(heartbeat), 1, "ready", 0);
    for (size_t i = 0; i < COUNT(invalid_ids); i++) {
        cr_expect_eq(harness_send_heartbeat_body(1, invalid_ids[i], heartbeat),
                     400, "id %zu", i);
        cr_expect_eq(harness_deregister(1, invalid_ids[i]), 400, "id %zu", i);
    }
    cr_expect(harness_node_is_running(1));
    harness_response response;
    harness_call(&response, 0, "POST", "/n/shed-at-2", "after", "", 0);
    cr_expect_eq(response.status, 200, "%d", response.status);
    cr_expect_eq(harness_last_run_node("after"), 1);
    harness_free_response(&response);
}
