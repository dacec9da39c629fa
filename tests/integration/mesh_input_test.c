/* Heartbeats and entries of other writers: what cannot be read names no
 * instance, and everything else keeps its effect. */
#include <criterion/criterion.h>
#include <glib.h>
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

#define DEEP 5000
#define DEEPER 200000
#define WRITES_MAX 5 /* of a node that writes its entry again */

/* The spec and the whole object of a node's entry with an odd value, which is
 * put in for %s. */
#define SPEC                                                                  \
    "{\"node\":\"odd\",\"service\":\"far\",\"zone\":\"z\",\"target\":\"i-"    \
    "odd\","                                                                  \
    "\"started_ms\":1000,\"incarnation\":5,\"sequence\":5,\"peer\":"          \
    "\"127.0.0.1:1\",\"state\":\"gone\",\"slots\":40,\"odd\":%s}"
#define RECORD                                                                \
    "{\"metadata\":{\"name\":\"odd\",\"revision\":7},\"spec\":" SPEC "}"

/* Objects that another writer left among the entries of the nodes. */
typedef struct odd_case {
    const char *name;
    const char *object; /* format */
    const char *value;  /* odd value, or NULL */
    int depth;          /* of the nested lists that are the value, or 0 */
} odd_case;

static const odd_case odd_cases[] = {
    {"escaped NUL", RECORD, "\"\\u0000\\u0001\"", 0},
    {"lone surrogate", RECORD, "\"\\ud800\"", 0},
    {"not UTF-8", RECORD, "\"\xff\xfe\"", 0},
    {"39 digits", RECORD, "123456789012345678901234567890123456789", 0},
    {"1e400", RECORD, "1e400", 0},
    {"nested", RECORD, NULL, DEEP},
    {"deeply nested", RECORD, NULL, DEEPER},
    {"null", "null", NULL, 0},
    {"a list", "[1,2]", NULL, 0},
    {"no metadata", "{\"spec\":{}}", NULL, 0},
    {"a name that is no text", "{\"metadata\":{\"name\":5},\"spec\":{}}", NULL,
     0},
    {"a name that is not UTF-8",
     "{\"metadata\":{\"name\":\"\xff\"},\"spec\":{}}", NULL, 0},
    {"a revision out of range",
     "{\"metadata\":{\"name\":\"odd\",\"revision\":1e99},\"spec\":{}}", NULL,
     0},
    {"spec is a number", "{\"metadata\":{\"name\":\"odd\"},\"spec\":1e999}",
     NULL, 0},
};

/* The format with the odd value of a case put in; g_free() after use. */
static char *
format_odd(const odd_case *c, const char *format)
{
    GString *value = g_string_new(c->value);
    for (int i = 0; i < c->depth; i++) {
        g_string_append_c(value, '[');
    }
    for (int i = 0; i < c->depth; i++) {
        g_string_append_c(value, ']');
    }
    char *text = g_strdup_printf(format, value->str);
    g_string_free(value, TRUE);
    return text;
}

/* Write the odd object of a case to both kinds that the nodes read, where it
 * stands before all others; it replaces the one before. */
static void
put_odd_objects(const odd_case *c)
{
    char *text = format_odd(c, c->object);
    harness_store_put_raw("lavnodes", "0-odd", text);
    harness_store_put_raw("config", "0-odd", text);
    g_free(text);
}

/* Whether a request through node 0 is served by a target of the others. */
static bool
is_served(const char *id)
{
    harness_response response;
    harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
    bool served = response.status == 200;
    harness_free_response(&response);
    return served;
}

/* Nodes that started after that didn't find each other. */
Test(mesh_input, odd_entries_at_a_start)
{
    for (size_t i = 0; i < COUNT(odd_cases); i++) {
        char id[32];
        int tries = 0;
        put_odd_objects(&odd_cases[i]);
        mesh_restart_all();
        cr_assert(harness_wait_ready(0), "%s", odd_cases[i].name);
        cr_expect(HARNESS_WAIT_FOR(
                      (snprintf(id, sizeof(id), "odd-%zu-%d", i, tries++),
                       is_served(id))),
                  "%s", odd_cases[i].name);
    }
}

/* Nodes that were running heard of no later change. */
Test(mesh_input, odd_entries_and_later_changes)
{
    for (size_t i = 0; i < COUNT(odd_cases); i++) {
        char line[64];
        char instance[32];
        int version = (int)i + 2;
        put_odd_objects(&odd_cases[i]);
        harness_publish_desired(version, ROUTES);
        snprintf(line, sizeof(line), "\"version\":%d,\"was\":%d", version,
                 version - 1);
        snprintf(instance, sizeof(instance), "i-later-%zu", i);
        harness_replace_instance(1, instance);
        cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
        for (int node = 0; node < MESH_NODES; node++) {
            cr_expect(HARNESS_WAIT_FOR(harness_log_contains(node, line)),
                      "%s: node %d", odd_cases[i].name, node);
            cr_expect(HARNESS_WAIT_FOR(harness_log_contains(node, instance)),
                      "%s: node %d", odd_cases[i].name, node);
            cr_expect(harness_node_is_running(node), "%s: node %d",
                      odd_cases[i].name, node);
        }
    }
}

/* A node's own entry is overwritten: the node writes it again. */
Test(mesh_input, an_odd_entry_in_place_of_a_nodes_own)
{
    for (size_t i = 0; i < COUNT(odd_cases); i++) {
        const odd_case *c = &odd_cases[i];
        char *spec =
            format_odd(c, c->value != NULL || c->depth > 0 ? SPEC : c->object);
        int writes = harness_store_write_count();
        harness_store_put_raw_spec("lavnodes", "node1", spec);
        cr_expect(HARNESS_WAIT_FOR(harness_store_spec_contains(
                      "lavnodes", "node1", "\"state\":\"ready\"")),
                  "%s", c->name);
        writes = harness_store_write_count() - writes;
        cr_expect_leq(writes, WRITES_MAX, "%s: %d", c->name, writes);
        g_free(spec);
    }
}

/* A write meets an entry that cannot be read, also not by its revision: the
 * node must not repeat it without a pause. */
Test(mesh_input, a_write_that_meets_an_odd_entry)
{
    harness_store_put_raw("lavnodes", "node1", "null");
    int writes = harness_store_write_count();
    harness_replace_instance(1, "i-conflict");
    cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
    harness_sleep_ms(1000);
    writes = harness_store_write_count() - writes;
    cr_expect(writes > 0 && writes <= WRITES_MAX, "%d", writes);
}

/* Entries that can be read but name no instance that could be used: requests
 * were sent to them, and lost. */
Test(mesh_input, entries_with_odd_names)
{
    static const char *const targets[] = {"", "i-1\\r\\nX-Odd: 1", "a b"};
    for (size_t i = 0; i < COUNT(targets); i++) {
        char spec[512];
        snprintf(
            spec, sizeof(spec),
            "{\"node\":\"odd\",\"service\":\"far\",\"zone\":\"z0\","
            "\"target\":\"%s\",\"started_ms\":1000,\"incarnation\":%zu,"
            "\"sequence\":5,\"peer\":\"127.0.0.1:%d\",\"state\":\"ready\","
            "\"slots\":40}",
            targets[i], i + 1, harness_peers_port(2));
        harness_store_put_raw_spec("lavnodes", "odd", spec);
        harness_sleep_ms(1500); /* more than the delay between two polls */
        for (int j = 0; j < 20; j++) {
            char id[32];
            snprintf(id, sizeof(id), "named-%zu-%d", i, j);
            cr_expect(is_served(id), "target \"%s\", request %d", targets[i],
                      j);
            cr_expect_null(strstr(harness_received_head(id), "X-Odd"));
        }
    }
}

/* A heartbeat with an odd value is rejected; the next one counts. */
Test(mesh_input, heartbeats_with_odd_values)
{
    for (size_t i = 0; i < COUNT(odd_cases); i++) {
        const odd_case *c = &odd_cases[i];
        if (c->value == NULL && c->depth == 0) {
            continue;
        }
        char heartbeat[512];
        char instance[32];
        snprintf(instance, sizeof(instance), "i-odd-%zu", i);
        harness_replace_instance(1, instance);
        harness_format_heartbeat(heartbeat, sizeof(heartbeat), 1, "ready", 0);
        char *end = strrchr(heartbeat, '}');
        cr_assert_not_null(end);
        *end = '\0';
        char *format = g_strdup_printf("%s,\"odd\":%%s}", heartbeat);
        char *text = format_odd(c, format);
        int status = harness_send_heartbeat_body(1, instance, text);
        /* The last one is larger than a request may be. */
        cr_expect_eq(status, c->depth == DEEPER ? 413 : 400, "%s: %d", c->name,
                     status);
        cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200, "%s",
                     c->name);
        cr_expect(HARNESS_WAIT_FOR(harness_store_spec_contains(
                      "lavnodes", "node1", instance)),
                  "%s", c->name);
        g_free(text);
        g_free(format);
    }
}

/* The response to an earlier request arrives in place of that to a write.  The
 * write must not be taken for done: the entry would go on naming a target that
 * has left. */
Test(mesh_input, a_write_is_answered_by_an_earlier_response)
{
    cr_assert(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "\"ready\"")));
    harness_set_store_mode(HARNESS_STORE_MIXES_UP);
    cr_assert_eq(harness_send_heartbeat(1, "draining", 0), 200);
    harness_sleep_ms(300);
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_expect(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "\"draining\"")));
}
