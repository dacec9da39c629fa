/* Refusals that are not about the request that awaits a response: none may
 * make a caller believe that its request has not run. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "harness_private.h"
#include "lav/reason.h"
#include "mesh.h"

#define REQUESTS 5 /* of a case; the retry budget of a node allows for two */

TestSuite(mesh_refusal, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

typedef struct refusal_case {
    const char *method;
    const char *path;
    int node; /* that gets the requests */
} refusal_case;

/* At a peer's target and at the node's own. */
static const refusal_case refusal_cases[] = {
    {"GET", "/i/refusal-again", 0},
    {"GET", "/i/refusal-again", 1},
    {"POST", "/n/refusal-again", 0},
    {"POST", "/n/refusal-again", 1},
};

/* A request that was refused and sent again to the same target got its earlier
 * refusal once more: it counted as not run while it ran, and ran again. */
Test(mesh_refusal, an_earlier_refusal_once_more)
{
    for (size_t i = 0; i < COUNT(refusal_cases); i++) {
        const refusal_case *c = &refusal_cases[i];
        for (int j = 0; j < REQUESTS; j++) {
            char id[32];
            harness_response response;
            snprintf(id, sizeof(id), "again-%zu-%d", i, j);
            harness_call(&response, c->node, c->method, c->path, id, "", 0);
            cr_expect_eq(response.status, 200, "%s %s: %d", c->method, c->path,
                         response.status);
            cr_expect_eq(harness_run_count(id), 1, "%s %s: run %d times",
                         c->method, c->path, harness_run_count(id));
            harness_free_response(&response);
        }
    }
}

/* A refusal without an id says nothing of the request that runs. */
Test(mesh_refusal, refusals_without_an_id)
{
    static const char *const modes[] = {"refusal-noid", "misplaced-noid"};
    for (size_t i = 0; i < COUNT(modes); i++) {
        char path[64];
        harness_response response;
        snprintf(path, sizeof(path), "/n/%s", modes[i]);
        harness_call(&response, 0, "POST", path, modes[i], "", 0);
        cr_expect_eq(response.status, 502, "%s: %d", modes[i],
                     response.status);
        cr_expect_eq(harness_run_count(modes[i]), 1, "%s: run %d times",
                     modes[i], harness_run_count(modes[i]));
        harness_free_response(&response);
    }
}

#define PEER_CALLS 20
#define OTHER_NONCE "abc"

static int peer_arrivals;

/* A peer that answers each request with a refusal of another attempt. */
static void
serve_refusals_of_another(int fd, int index)
{
    (void)index;
    harness_request request;
    char headers[128];
    request.body = malloc(HARNESS_BODY_SIZE_MAX);
    snprintf(headers, sizeof(headers),
             "Lav-Hop: %d %d 1 1 5 0 40 0 1 0 0 0 0 " OTHER_NONCE "\r\n",
             OUTCOME_NOT_RUN, REASON_TARGET_SHED);
    while (harness_read_request(&request, fd)) {
        char id[64];
        if (harness_find_header(id, sizeof(id), request.head,
                                "Lavenderfield-Attempt-Id")) {
            pthread_mutex_lock(&harness_lock);
            peer_arrivals++;
            pthread_mutex_unlock(&harness_lock);
        }
        harness_write_response(fd, 503, headers, "", 0);
    }
    free(request.body);
}

/* A peer's refusal of another attempt does not let a request run elsewhere:
 * it may run at that peer. */
Test(mesh_refusal, a_refusal_of_another_attempt)
{
    int failed = 0;
    int listener = mesh_add_node("far", serve_refusals_of_another);
    for (int i = 0; i < PEER_CALLS; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "other-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        failed += response.status == 502;
        cr_expect_eq(harness_run_count(id), response.status == 200 ? 1 : 0,
                     "%s: %d, run %d times", id, response.status,
                     harness_run_count(id));
        harness_free_response(&response);
    }
    cr_expect_gt(peer_arrivals, 0);
    cr_expect_eq(failed, peer_arrivals, "%d of %d", failed, peer_arrivals);
    shutdown(listener, SHUT_RDWR);
}
