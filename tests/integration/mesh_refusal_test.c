/* Refusals that are not about the request that awaits a response: none may
 * make a caller believe that its request has not run. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

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
