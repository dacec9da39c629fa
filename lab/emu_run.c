#include <stdio.h>
#include <stdlib.h>

#include "emu_private.h"
#include "lav/clock.h"
#include "lav/routing.h"

#define EMU_WINDOW_US 10000000 /* of the retry budgets, 10 s */

/* Whether long requests run at a service beside urgent ones, as in
 * routing_serves_mixed_work(). */
static bool
emu_is_mixed(const emu *m, int service)
{
    int64_t longest_us = 0;
    int64_t shortest_us = INT64_MAX;
    for (int k = 0; k < m->opts->kind_count; k++) {
        if (m->opts->kinds[k].service == service) {
            longest_us = MAX(longest_us, m->opts->kinds[k].objective_us);
            shortest_us = MIN(shortest_us, m->opts->kinds[k].objective_us);
        }
    }
    return longest_us >= ROUTING_LONG_OBJECTIVE_US &&
           longest_us >= shortest_us * ROUTING_MIXED_OBJECTIVE_RATIO;
}

/* Sets up a node; `index` counts the instances of its service. */
static void
emu_node_init(emu *m, emu_node *node, int index, int service)
{
    const emu_service *s = &m->opts->services[service];
    int speeds = 0;
    while (speeds < EMU_SPEEDS_MAX && s->speeds[speeds] > 0) {
        speeds++;
    }
    node->service = service;
    node->index = index;
    node->speed = speeds > 0 ? s->speeds[index % speeds] : 1;
    snprintf(node->zone, sizeof(node->zone), "z%d", index % m->opts->zones);
    instance_new(&node->instances,
                 m->opts->seed + (uint64_t)(node - m->nodes));
    downstream_new(&node->downstream);
    shedder_new(&node->shedder, &node->levels,
                m->opts->seed + (uint64_t)(node - m->nodes));
    node->mixed = m->opts->whole && emu_is_mixed(m, service);
    downstream_set_whole(node->downstream, m->opts->whole);
    shedder_set_whole(node->shedder, m->opts->whole);
    retry_budget_options budget = {
        m->opts->retry_ratio, 0, EMU_WINDOW_US, 1, 0, RETRY_BUDGET_LONG_AGO};
    for (int i = 0; i < EMU_SERVICES_MAX; i++) {
        retry_budget_init(&node->budgets[i], &budget);
        retry_budget_set_paced(&node->budgets[i], m->opts->whole);
    }
    target_queue_new(&node->queue);
    node->slots = s->slots;
    target_queue_set_limit(node->queue, s->slots, 0);
    target_queue_set_mixed(
        node->queue, m->opts->mixed_queue && emu_is_mixed(m, service), 0);
}

/* Sets up all nodes, each knowing every instance, and the first arrivals. */
static void
emu_setup(emu *m)
{
    for (int s = 0; s < m->opts->service_count; s++) {
        for (int i = 0; i < m->opts->services[s].instances; i++) {
            emu_node_init(m, &m->nodes[m->node_count++], i, s);
        }
    }
    for (int i = 0; i < m->node_count; i++) {
        for (int j = 0; j < m->node_count; j++) {
            const emu_node *other = &m->nodes[j];
            instance_record record = {
                .incarnation = 1,
                .state = INSTANCE_READY,
                .slots = m->opts->services[other->service].slots};
            snprintf(record.node, sizeof(record.node), "n%d", j);
            snprintf(record.service, sizeof(record.service), "s%d",
                     other->service);
            g_strlcpy(record.zone, other->zone, sizeof(record.zone));
            instance_update(m->nodes[i].instances, &record);
        }
    }
    for (int k = 0; k < m->opts->kind_count; k++) {
        if (m->opts->kinds[k].per_s > 0) {
            emu_schedule(m, 0, EMU_ARRIVE, NULL, k);
        }
    }
}

/* Runs a simulation of `opts->seconds`.  Returns 0, ERR_INVALID if there are
 * no instances, or ERR_NO_MEMORY. */
int
emu_run(emu_result *out, const emu_options *opts)
{
    emu m = {.opts = opts, .result = out};
    int nodes = 0;
    for (int s = 0; s < opts->service_count; s++) {
        nodes += opts->services[s].instances;
    }
    *out = (emu_result){0};
    if (nodes == 0) {
        return ERR_INVALID;
    }
    m.nodes = calloc((size_t)nodes, sizeof(*m.nodes));
    if (m.nodes == NULL) {
        return ERR_NO_MEMORY;
    }
    emu_queue_new(&m.queue);
    m.jobs = g_ptr_array_new_with_free_func(g_free);
    m.random = g_rand_new_with_seed((guint32)opts->seed);
    emu_setup(&m);
    emu_queue_event event;
    while (emu_queue_pop(&event, m.queue)) {
        if ((double)event.at_us < opts->seconds * CLOCK_US_PER_S) {
            m.now_us = event.at_us;
            emu_handle_event(&m, &event);
        }
    }
    for (int i = 0; i < m.node_count; i++) {
        instance_free(m.nodes[i].instances);
        downstream_free(m.nodes[i].downstream);
        shedder_free(m.nodes[i].shedder);
        target_queue_free(m.nodes[i].queue);
    }
    emu_queue_free(m.queue);
    g_ptr_array_free(m.jobs, TRUE);
    g_rand_free(m.random);
    free(m.nodes);
    return 0;
}

/* Returns the share of the requests of `count` tallies that succeeded within
 * the objective; 0 if there were none. */
double
emu_success_ratio(const emu_tally *tallies, int count)
{
    int asked = 0;
    int good = 0;
    for (int i = 0; i < count; i++) {
        asked += tallies[i].asked;
        good += tallies[i].good;
    }
    return asked > 0 ? (double)good / asked : 0;
}
