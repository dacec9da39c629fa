/* Ends of requests by workspace: counted at a node, told in its metrics, and
 * added up over the nodes. */
#include <criterion/criterion.h>
#include <string.h>

#include "node_metrics.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define LINE "lav_workspace_requests_total{workspace=\""

TestSuite(node_metrics);

Test(node_metrics, the_most_refused_keep_their_entries)
{
    workspace_counts *counts = NULL;
    workspace_counts_entry most[4];
    cr_assert_eq(workspace_counts_new(&counts), 0);
    for (int i = 0; i < 3; i++) {
        workspace_counts_add(counts, 7, WORKSPACE_BY_CAP);
        workspace_counts_add(counts, 7, WORKSPACE_SERVED);
    }
    workspace_counts_add(counts, 8, WORKSPACE_BY_SHARE);
    for (uint32_t i = 100; i < 100 + 2 * WORKSPACE_COUNTS_MAX; i++) {
        workspace_counts_add(counts, i, WORKSPACE_SERVED);
    }
    cr_expect_eq(workspace_counts_most_refused(most, COUNT(most), counts), 2);
    cr_expect_eq(most[0].workspace, 7);
    cr_expect_eq(most[0].counts[WORKSPACE_BY_CAP], 3);
    cr_expect_eq(most[0].counts[WORKSPACE_SERVED], 3);
    cr_expect_eq(most[1].workspace, 8);
    cr_expect_eq(workspace_counts_most_refused(most, 1, counts), 1);
    workspace_counts_free(counts);
}

typedef struct outcome_case {
    enum reason reason;
    const char *name;
} outcome_case;

static const outcome_case outcome_cases[] = {
    {REASON_UNKNOWN_KEY, "refused_by_key"},
    {REASON_KEY_NOT_CONFIRMED, "refused_by_key"},
    {REASON_OVER_CAP, "refused_by_cap"},
    {REASON_CAP_UNCHECKED, "cap_unchecked"},
    {REASON_EARLY_REFUSAL, "refused_by_share"},
    {REASON_DEADLINE, "failed"},
};

Test(node_metrics, outcomes_of_reasons)
{
    for (size_t i = 0; i < COUNT(outcome_cases); i++) {
        const outcome_case *c = &outcome_cases[i];
        cr_expect_str_eq(
            workspace_outcome_name(workspace_outcome_of(c->reason)), c->name);
    }
}

/* Metrics of two nodes: names with escapes, an end that this version doesn't
 * know, and lines that can't be read. */
static const char *const texts[] = {
    "# TYPE lav_desired_version gauge\nlav_desired_version 12\n"
    "lav_workspaces 80\nlav_workspace_keys 160\nlav_usage_slots_lent 8\n" LINE
    "alpha\",end=\"refused_by_cap\"} 5\n" LINE
    "alpha\",end=\"served\"} 40\n" LINE
    "be\\\"ta\\\\\",end=\"refused_by_share\"} 6\n",
    "lav_desired_version 11\nlav_workspaces_other 3\n" LINE
    "alpha\",end=\"refused_by_cap\"} 2\n" LINE
    "alpha\",end=\"of a newer node\"} 9\n" LINE "gamma\" 1\n" LINE
    "delta\",end=\"served\"} 1\n" LINE "endless",
};

Test(node_metrics, counts_of_all_nodes)
{
    static const node_metrics_node nodes[] = {{12, 80, 160, 8},
                                              {11, -1, -1, -1}};
    node_metrics *metrics = NULL;
    node_metrics_workspace most[3];
    cr_assert_eq(node_metrics_new(&metrics), 0);
    for (size_t i = 0; i < COUNT(texts); i++) {
        node_metrics_node node;
        node_metrics_read(&node, metrics, texts[i]);
        cr_expect_eq(memcmp(&node, &nodes[i], sizeof(node)), 0, "node %zu", i);
    }
    cr_expect_eq(node_metrics_most_refused(most, COUNT(most), metrics), 3);
    cr_expect_str_eq(most[0].name, "alpha");
    cr_expect_eq(most[0].counts[WORKSPACE_BY_CAP], 7);
    cr_expect_eq(most[0].counts[WORKSPACE_SERVED], 40);
    cr_expect_str_eq(most[1].name, "be\"ta\\");
    cr_expect_eq(most[1].counts[WORKSPACE_BY_SHARE], 6);
    cr_expect_str_eq(most[2].name, "delta");
    node_metrics_free(metrics);
}
