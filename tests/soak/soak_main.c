/* lav-soak: plays seeds, prints a line for each, and keeps the logs of those
 * in which a check failed. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define SOAK_CALLERS_MAX 512
#define SOAK_HOT_CALLERS_MAX 64

static int soak_seed = 1;
static int soak_seeds = 1;
static int soak_nodes = 6;
static int soak_seconds = 8;
static int soak_callers = 2;
static gboolean soak_planned;
static gboolean soak_clocks;
static gboolean soak_restores;
static gboolean soak_timed;
static gboolean soak_verbose;

static const GOptionEntry soak_entries[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT, &soak_seed, "First seed", "N"},
    {"seeds", 0, 0, G_OPTION_ARG_INT, &soak_seeds, "Seeds to play", "N"},
    {"nodes", 0, 0, G_OPTION_ARG_INT, &soak_nodes, "Nodes, 3 to 256", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &soak_seconds, "Of faults a seed",
     "S"},
    {"callers", 0, 0, G_OPTION_ARG_INT, &soak_callers, "For each node", "N"},
    {"planned", 0, 0, G_OPTION_ARG_NONE, &soak_planned,
     "Planned work only; every fourth seed is so anyway", NULL},
    {"clocks", 0, 0, G_OPTION_ARG_NONE, &soak_clocks,
     "Let nodes' times of day jump as well", NULL},
    {"restores", 0, 0, G_OPTION_ARG_NONE, &soak_restores,
     "Let the store go back to a copy as well", NULL},
    {"timed", 0, 0, G_OPTION_ARG_NONE, &soak_timed,
     "Hold answers to their time, on a quiet machine", NULL},
    {"verbose", 0, 0, G_OPTION_ARG_NONE, &soak_verbose, "Faults by kind",
     NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Report that a check failed. */
void
soak_report_violation(soak_run *s, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    fprintf(stderr, "seed %d: FOUND %s\n", s->opts.seed, text);
    g_free(text);
    atomic_fetch_add(&s->violations, 1);
}

static void
soak_start(soak_run *s)
{
    const char *services[HARNESS_NODES_MAX];
    harness_options options = {.drain_ms = SOAK_DRAIN_MAX_MS,
                               .clock = s->opts.clocks ? SOAK_CLOCK : NULL,
                               .proxied = true};
    for (int i = 0; i < s->opts.nodes; i++) {
        services[i] = i % 3 == 0 ? "near" : "far";
    }
    harness_start_with(s->opts.nodes, services, &options);
    soak_publish_desired(s);
    for (int i = 0; i < s->opts.nodes; i++) {
        soak_node *node = &s->nodes[i];
        node->s = s;
        node->index = i;
        atomic_store(&node->up, true);
        if (!harness_wait_ready(i)) {
            soak_report_violation(s, "node %d is not ready after its start",
                                  i);
        }
        pthread_create(&node->registrar, NULL, soak_run_registrar, node);
    }
    if (s->opts.workspaces && s->opts.founded) {
        soak_wait_founded(s);
    }
}

static void
soak_print(soak_run *s)
{
    int repeats = 0;
    int arrivals = harness_total_arrival_count(&repeats);
    int good = 0;
    int refused = 0;
    int over = 0;
    for (guint i = 0; i < s->results->len; i++) {
        int status = g_array_index(s->results, soak_result, i).status;
        good += status == 200;
        refused += status == 503;
        over += status == 429;
    }
    printf("seed %d%s: %u requests, %d served, %d refused, %d arrivals at "
           "targets, %d repeats, %d faults, %d findings\n",
           s->opts.seed, s->opts.planned ? " (planned)" : "", s->results->len,
           good, refused, arrivals, repeats, atomic_load(&s->faults),
           atomic_load(&s->violations));
    if (s->opts.workspaces) {
        printf("  hot workspace: %d begun, %d in one window, %d over its "
               "cap\n",
               s->hot_begun, s->hot_largest, over);
    }
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer times = NULL;
    g_hash_table_iter_init(&iter, s->kinds);
    while (soak_verbose && g_hash_table_iter_next(&iter, &name, &times)) {
        printf("  %d x %s\n", GPOINTER_TO_INT(times), (const char *)name);
    }
    fflush(stdout);
}

/* Play one seed; the number of violations. */
static int
soak_play(const soak_options *opts)
{
    static soak_run s;
    pthread_t callers[SOAK_CALLERS_MAX + SOAK_HOT_CALLERS_MAX];
    int count = MIN(opts->nodes * opts->callers, SOAK_CALLERS_MAX);
    int hot = opts->workspaces ? MIN(opts->nodes, SOAK_HOT_CALLERS_MAX) : 0;
    memset(&s, 0, sizeof(s));
    s.opts = *opts;
    pthread_mutex_init(&s.lock, NULL);
    s.results = g_array_new(FALSE, FALSE, sizeof(soak_result));
    s.kinds = g_hash_table_new(g_str_hash, g_str_equal);
    soak_start(&s);
    for (int i = 0; i < count; i++) {
        pthread_create(&callers[i], NULL, soak_run_caller,
                       &s.nodes[i % opts->nodes]);
    }
    for (int i = 0; i < hot; i++) {
        pthread_create(&callers[count + i], NULL, soak_run_hot_caller,
                       &s.nodes[i]);
    }
    soak_inject_faults(&s);
    atomic_store(&s.stopped, true);
    for (int i = 0; i < count + hot; i++) {
        pthread_join(callers[i], NULL);
    }
    soak_check(&s);
    atomic_store(&s.finished, true);
    for (int i = 0; i < opts->nodes; i++) {
        pthread_join(s.nodes[i].registrar, NULL);
    }
    soak_print(&s);
    if (atomic_load(&s.violations) > 0) {
        printf("  logs: %s\n", harness_log_dir());
    }
    harness_stop();
    g_array_free(s.results, TRUE);
    g_hash_table_destroy(s.kinds);
    return atomic_load(&s.violations);
}

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- the fault soak");
    g_option_context_add_main_entries(context, soak_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        soak_nodes < 3 || soak_nodes > HARNESS_NODES_MAX || soak_callers < 1) {
        fprintf(stderr, "lav-soak: %s\n",
                error == NULL ? "an option is out of range" : error->message);
        return 2;
    }
    g_option_context_free(context);
    int red = 0;
    for (int i = 0; i < soak_seeds; i++) {
        int seed = soak_seed + i;
        soak_options opts = {.seed = seed,
                             .nodes = soak_nodes,
                             .seconds = soak_seconds,
                             .callers = soak_callers,
                             .planned = soak_planned || seed % 4 == 0,
                             .clocks = soak_clocks,
                             .restores = soak_restores,
                             .workspaces = seed % 2 == 0,
                             .founded = seed % 8 >= 4,
                             .check_timing = soak_timed};
        red += soak_play(&opts) > 0;
    }
    printf("%d seeds, %d with findings\n", soak_seeds, red);
    return red == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
