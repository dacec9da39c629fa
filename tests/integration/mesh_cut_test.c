/* Responses that stop in the middle of their head or body, as their sender
 * closes the connection.  No caller may get one that looks complete. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "harness_private.h"
#include "mesh.h"

TestSuite(mesh_cut, .init = mesh_start, .fini = harness_stop, .timeout = 120);

#define BODY "whole"
#define ID "cut-1234"
#define SEALED                                                                \
    "HTTP/1.1 200 OK\r\nLavenderfield-Response-Seal: seal\r\n"                \
    "Lavenderfield-Attempt-Id: "

/* The same of a node: outcome 0 is "done".  The hop field names no attempt, as
 * of an older node. */
#define PEER_SEALED                                                           \
    "HTTP/1.1 200 OK\r\nLav-Hop: 0 0 1 1 5 0 40 0 1 0 0 0 0\r\n"              \
    "Lavenderfield-Response-Seal: seal\r\n"                                   \
    "Lavenderfield-Attempt-Id: "

/* The parts of a response, before and after the id of the request. */
typedef struct cut_case {
    const char *name;
    const char *rest;
    bool ends_with_connection; /* what follows the head can't be told cut */
} cut_case;

static const cut_case cut_cases[] = {
    {"length", "\r\nContent-Length: 5\r\n\r\n" BODY, false},
    {"length first", "\r\nContent-Length: 5\r\nX-Other: 1\r\n\r\n" BODY,
     false},
    {"chunked",
     "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" BODY "\r\n0\r\n\r\n",
     false},
    {"no length", "\r\nX-Other: 1\r\n\r\n" BODY, true},
    {"no body", "\r\nContent-Length: 0\r\n\r\n", false},
};

/* What the targets and the peer send at present. */
static const cut_case *cut_case_sent;
static size_t cut_at;

/* Sends the first bytes of the response, and closes. */
static void
send_cut(int fd, const char *head, const char *id)
{
    char text[1024];
    pthread_mutex_lock(&harness_lock);
    snprintf(text, sizeof(text), "%s%s%s", head, id, cut_case_sent->rest);
    size_t length = strlen(text);
    harness_send(fd, text, cut_at < length ? cut_at : length);
    pthread_mutex_unlock(&harness_lock);
}

static void
serve_cut_target(int fd, int index)
{
    harness_request request;
    char id[64];
    (void)index;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    if (harness_read_request(&request, fd) &&
        harness_find_header(id, sizeof(id), request.head,
                            "Lavenderfield-Attempt-Id")) {
        send_cut(fd, SEALED, id);
    }
    free(request.body);
}

static bool peer_answers_claims_only;

/* A node that answers requests, and claims of their responses, which don't
 * carry the id. */
static void
serve_cut_peer(int fd, int index)
{
    harness_request request;
    char id[64];
    (void)index;
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    if (harness_read_request(&request, fd)) {
        bool claim = !harness_find_header(id, sizeof(id), request.head,
                                          "Lavenderfield-Attempt-Id");
        if (claim || !peer_answers_claims_only) {
            send_cut(fd, PEER_SEALED, ID);
        }
    }
    free(request.body);
}

/* Calls with the response cut at each byte; checks that only whole responses
 * are relayed as success. */
static void
call_with_each_cut(const char *path, size_t head_length)
{
    int whole = 0;
    for (size_t i = 0; i < COUNT(cut_cases); i++) {
        const cut_case *c = &cut_cases[i];
        size_t length = head_length + strlen(ID) + strlen(c->rest);
        const char *body = strstr(c->rest, BODY);
        size_t body_length = body == NULL ? 0 : strlen(BODY);
        size_t head_end = length - strlen(strstr(c->rest, "\r\n\r\n")) + 4;
        for (size_t at = 0; at <= length; at++) {
            harness_response response;
            pthread_mutex_lock(&harness_lock);
            cut_case_sent = c;
            cut_at = at;
            pthread_mutex_unlock(&harness_lock);
            harness_call(&response, 0, "POST", path, ID, "", 0);
            bool success = response.status == 200 && response.complete;
            bool cut = c->ends_with_connection ? at < head_end : at < length;
            cr_assert(!(success && cut), "%s, cut at %zu of %zu: %s", c->name,
                      at, length, response.head);
            cr_expect(cut || success, "%s, at %zu: %d", c->name, at,
                      response.status);
            if (success && !c->ends_with_connection) {
                cr_expect_eq(response.length, body_length, "%s", c->name);
            }
            whole += success;
            harness_free_response(&response);
        }
    }
    cr_expect_geq(whole, (int)COUNT(cut_cases));
}

/* The target beside the node that the caller talks to. */
Test(mesh_cut, responses_of_a_target)
{
    harness_set_target_refusing(0, true);
    int listener = harness_listen(harness_nodes[0].ports[HARNESS_TARGET], 0,
                                  serve_cut_target);
    call_with_each_cut("/m/ok", strlen(SEALED));
    shutdown(listener, SHUT_RDWR);
}

static const bool peer_cases[] = {false, true};

/* Another node, whose first response is cut, or its response to the claim. */
Test(mesh_cut, responses_of_a_node)
{
    int listener = mesh_add_routed_node("cut", "/c/", serve_cut_peer);
    for (size_t i = 0; i < COUNT(peer_cases); i++) {
        peer_answers_claims_only = peer_cases[i];
        call_with_each_cut("/c/ok", strlen(PEER_SEALED));
    }
    shutdown(listener, SHUT_RDWR);
}
