#include "mesh.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#define MESH_PAUSE_MS 50 /* below the rate at which lines are left out */

static const char *const services[] = {"near", "far", "far"};

static void
mesh_start_with(const pfr_options *opts)
{
    pfr_start_with(3, services, opts);
    pfr_desire(1, ROUTES);
    for (int i = 0; i < 3; i++) {
        cr_assert(pfr_await_ready(i));
        cr_assert(PFR_AWAIT(pfr_beat(i, "ready", 0) == 200));
    }
    /* The first node knows the others once it has reached both. */
    for (int i = 1; i < 3; i++) {
        char path[32];
        char id[32];
        bool reached = false;
        for (int j = 0; j < 200 && !reached; j++) {
            pfr_answer answer;
            snprintf(path, sizeof(path), "/i/shed-at-%d", 3 - i);
            snprintf(id, sizeof(id), "start-%d-%d", i, j);
            pfr_call(&answer, 0, "GET", path, id, NULL, 0);
            reached = answer.status == 200 && pfr_run_node(id) == i;
            pfr_clear(&answer);
            if (!reached) {
                pfr_sleep_ms(MESH_PAUSE_MS);
            }
        }
        cr_assert(reached, "node %d", i);
    }
}

/* Start it; ends when the first node knows the others. */
void
mesh_start(void)
{
    pfr_options usual = {0};
    mesh_start_with(&usual);
}

void
mesh_start_proxied(void)
{
    pfr_options proxied = {.proxied = true};
    mesh_start_with(&proxied);
}

/* A node's process is killed and another one takes its place. */
void
mesh_kill_and_start(int node)
{
    pfr_signal_node(node, SIGKILL);
    cr_assert_neq(pfr_await_node_end(node), -1);
    pfr_start_node(node);
}
