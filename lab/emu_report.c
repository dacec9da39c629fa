/* What nodes tell each other with requests and responses. */
#include "emu_private.h"

#define EMU_LEVELS_MAX 2 /* levels passed on with a request or response */

/* Identifier of a service or kind, used where the nodes use the hash of its
 * name; never 0, which means none. */
uint32_t
emu_hash(int value)
{
    return (uint32_t)value + 1;
}

/* Returns the worst overload of a node's own service and those downstream of a
 * kind. */
static downstream_overload
emu_chain_overload(emu *m, emu_node *node, int kind)
{
    downstream_overload own = {
        emu_hash(node->service),
        overload_factor(&node->overload,
                        target_queue_running_count(node->queue),
                        target_queue_get_limit(node->queue),
                        target_queue_queued_count(node->queue),
                        node->mean_call_us, m->now_us),
        0};
    if (node->mixed) {
        own.factor = MAX(own.factor, chain_level_factor(&node->chains,
                                                        m->opts->retry_ratio));
    }
    return downstream_chain_overload(node->downstream, emu_hash(kind), &own,
                                     m->now_us);
}

/* Passes the levels that a node knows on to another one, with a request or a
 * response. */
void
emu_pass_levels(const emu *m, emu_node *to, const emu_node *from,
                uint32_t except)
{
    service_level_report levels[EMU_LEVELS_MAX];
    int count = service_level_list(levels, EMU_LEVELS_MAX, &from->levels,
                                   except, m->now_us);
    for (int i = 0; i < count; i++) {
        levels[i].age_us += EMU_HOP_US;
        service_level_merge(&to->levels, &levels[i], m->now_us);
    }
}

/* Tells the node that called an instance which level it measures, and those
 * that are known beside it.  Refusals don't tell the former: an instance that
 * is slower than others refuses more calls, and would count for more. */
static void
emu_report_levels(const emu *m, emu_node *to, const emu_node *at, bool served)
{
    service_level_report own = {emu_hash(at->service),
                                overload_level(&at->overload), EMU_HOP_US,
                                true};
    if (served) {
        service_level_merge(&to->levels, &own, m->now_us);
    }
    emu_pass_levels(m, to, at, own.service);
}

/* Records the load report that came with a reply at the calling node. */
void
emu_record_load_report(emu *m, const emu_job *job)
{
    emu_node *from = &m->nodes[job->from];
    emu_node *at = &m->nodes[job->at];
    instance_load_report report = {
        .busy = target_queue_running_count(at->queue) +
                target_queue_queued_count(at->queue),
        .limit = target_queue_get_limit(at->queue),
        .state = INSTANCE_READY,
        .call_us = (int)at->mean_call_us,
        .work_us = instance_capacity_call_us(&at->capacity, m->now_us)};
    downstream_overload chain_overload = emu_chain_overload(m, at, job->kind);
    enum origin_kind origin =
        downstream_route_origin(at->downstream, emu_hash(job->kind));
    emu_report_levels(m, from, at, job->refusal == REASON_NONE);
    instance_set_load(from->instances, job->at, &report, m->now_us);
    downstream_record_report(from->downstream, emu_hash(job->kind), origin,
                             &chain_overload, m->now_us);
    if (!downstream_is_internal(from->downstream, emu_hash(job->kind))) {
        shedder_record_report(from->shedder, emu_hash(job->kind),
                              emu_hash(at->service), &chain_overload,
                              m->now_us);
    }
}
