/* Responses that are not valid HTTP/1.1, of a target or another node.  No
 * caller may get one as the response to its request. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "broken_response.h"
#include "harness_private.h"
#include "mesh.h"

TestSuite(mesh_broken, .init = mesh_start, .fini = harness_stop,
          .timeout = 120);

#define SEAL "Lavenderfield-Response-Seal: seal\r\n"

/* Outcome 0 is "done".  It names no attempt, as of an older node. */
#define PEER_HOP "Lav-Hop: 0 0 1 1 5 0 40 0 1 0 0 0 0\r\n"

/* What the targets and the peer send at present. */
static const broken_response *sent;

/* Reads a request and sends the response, with its id. */
static void
serve_response(int fd, const char *fields)
{
    harness_request request;
    char id[64];
    char own[256];
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    if (harness_read_request(&request, fd)) {
        harness_find_header(id, sizeof(id), request.head,
                            "Lavenderfield-Attempt-Id");
        snprintf(own, sizeof(own), "Lavenderfield-Attempt-Id: %s\r\n%s", id,
                 fields);
        pthread_mutex_lock(&harness_lock);
        const broken_response *response = sent;
        pthread_mutex_unlock(&harness_lock);
        broken_response_send(fd, response, own);
    }
    free(request.body);
}

static void
serve_target(int fd, int index)
{
    (void)index;
    serve_response(fd, SEAL);
}

static void
serve_peer(int fd, int index)
{
    (void)index;
    serve_response(fd, SEAL PEER_HOP);
}

/* Calls once for each response of a table; checks that the caller gets it if
 * it is valid, and that the request counts as failed if it is not. */
static void
call_with_each(const char *path, const broken_response_table *table,
               bool valid)
{
    for (size_t i = 0; i < table->count; i++) {
        const char *name = table->cases[i].name;
        harness_response response;
        char id[32];
        snprintf(id, sizeof(id), "broken-%zu", i);
        pthread_mutex_lock(&harness_lock);
        sent = &table->cases[i];
        pthread_mutex_unlock(&harness_lock);
        harness_call(&response, 0, "POST", path, id, "", 0);
        cr_expect(response.complete, "%s: %s", name, response.head);
        cr_expect_eq(response.status, valid ? 200 : 502, "%s: %s", name,
                     response.head);
        bool same =
            response.length == strlen(BROKEN_RESPONSE_BODY) &&
            memcmp(response.body, BROKEN_RESPONSE_BODY, response.length) == 0;
        cr_expect_eq(same, valid, "%s: %zu bytes", name, response.length);
        harness_free_response(&response);
    }
}

/* Calls with responses of the target beside the callers' node. */
static void
call_target_with_each(const broken_response_table *table, bool valid)
{
    harness_set_target_refusing(0, true);
    int listener = harness_listen(harness_nodes[0].ports[HARNESS_TARGET], 0,
                                  serve_target);
    call_with_each("/m/ok", table, valid);
    shutdown(listener, SHUT_RDWR);
}

/* Calls with responses of another node, to the request and to the claim. */
static void
call_peer_with_each(const broken_response_table *table, bool valid)
{
    int listener = mesh_add_routed_node("broken", "/b/", serve_peer);
    call_with_each("/b/ok", table, valid);
    shutdown(listener, SHUT_RDWR);
}

Test(mesh_broken, valid_responses_of_a_target)
{
    call_target_with_each(&valid_responses, true);
}

Test(mesh_broken, valid_responses_of_a_node)
{
    call_peer_with_each(&valid_responses, true);
}

Test(mesh_broken, status_lines_of_a_target)
{
    call_target_with_each(&broken_status_lines, false);
}

Test(mesh_broken, status_lines_of_a_node)
{
    call_peer_with_each(&broken_status_lines, false);
}

Test(mesh_broken, fields_of_a_target)
{
    call_target_with_each(&broken_fields, false);
}

Test(mesh_broken, fields_of_a_node)
{
    call_peer_with_each(&broken_fields, false);
}

Test(mesh_broken, framing_by_a_target)
{
    call_target_with_each(&broken_framing, false);
}

Test(mesh_broken, framing_by_a_node)
{
    call_peer_with_each(&broken_framing, false);
}

Test(mesh_broken, chunks_of_a_target)
{
    call_target_with_each(&broken_chunks, false);
}

Test(mesh_broken, chunks_of_a_node)
{
    call_peer_with_each(&broken_chunks, false);
}

/* One of two targets sends what is not valid; a request that may run again is
 * answered by the other. */
Test(mesh_broken, idempotent_requests_run_elsewhere)
{
    harness_set_target_refusing(1, true);
    int listener = harness_listen(harness_nodes[1].ports[HARNESS_TARGET], 1,
                                  serve_target);
    for (size_t i = 0; i < broken_fields.count; i++) {
        const char *name = broken_fields.cases[i].name;
        harness_response response;
        char id[32];
        snprintf(id, sizeof(id), "elsewhere-%zu", i);
        pthread_mutex_lock(&harness_lock);
        sent = &broken_fields.cases[i];
        pthread_mutex_unlock(&harness_lock);
        harness_call(&response, 0, "GET", "/i/ok", id, NULL, 0);
        cr_expect_eq(response.status, 200, "%s: %s", name, response.head);
        cr_expect_eq(harness_last_run_node(id), 2, "%s", name);
        harness_free_response(&response);
    }
    shutdown(listener, SHUT_RDWR);
}

#define LARGE_CHUNK_SIZE 0x30000 /* more than a node holds back */

/* A response of which the caller has a part already when it turns out not to
 * be valid: its connection is reset. */
Test(mesh_broken, a_large_body_that_breaks)
{
    char *chunk = malloc(LARGE_CHUNK_SIZE + 64);
    int length = sprintf(chunk, "Transfer-Encoding: chunked\r\n\r\n%x\r\n",
                         LARGE_CHUNK_SIZE);
    memset(chunk + length, 'a', LARGE_CHUNK_SIZE);
    int rest = sprintf(chunk + length + LARGE_CHUNK_SIZE, "XX0\r\n\r\n");
    const broken_response response = {
        .name = "large",
        .start = {"HTTP/1.1 200 OK\r\n", strlen("HTTP/1.1 200 OK\r\n")},
        .rest = {chunk, (size_t)(length + LARGE_CHUNK_SIZE + rest)}};
    pthread_mutex_lock(&harness_lock);
    sent = &response;
    pthread_mutex_unlock(&harness_lock);
    harness_set_target_refusing(0, true);
    int listener = harness_listen(harness_nodes[0].ports[HARNESS_TARGET], 0,
                                  serve_target);
    harness_response received;
    harness_call(&received, 0, "POST", "/m/ok", "large", "", 0);
    cr_expect_eq(received.status, 200, "%s", received.head);
    cr_expect_not(received.complete);
    harness_free_response(&received);
    shutdown(listener, SHUT_RDWR);
    free(chunk);
}
