/* lav-soak: plays seeds, prints a line for each, and keeps the logs of those
 * in which a promise was broken. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sok.h"

#define SOK_CALLERS_MAX 512

static int sok_seed = 1;
static int sok_seeds = 1;
static int sok_nodes = 6;
static int sok_seconds = 8;
static int sok_callers = 2;
static gboolean sok_planned;
static gboolean sok_clocks;
static gboolean sok_timed;
static gboolean sok_verbose;

static const GOptionEntry sok_entries[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT, &sok_seed, "First seed", "N"},
    {"seeds", 0, 0, G_OPTION_ARG_INT, &sok_seeds, "Seeds to play", "N"},
    {"nodes", 0, 0, G_OPTION_ARG_INT, &sok_nodes, "Nodes, 3 to 256", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &sok_seconds, "Of faults a seed", "S"},
    {"callers", 0, 0, G_OPTION_ARG_INT, &sok_callers, "For each node", "N"},
    {"planned", 0, 0, G_OPTION_ARG_NONE, &sok_planned,
     "Planned work only; every fourth seed is so anyway", NULL},
    {"clocks", 0, 0, G_OPTION_ARG_NONE, &sok_clocks,
     "Let nodes' times of day jump as well", NULL},
    {"timed", 0, 0, G_OPTION_ARG_NONE, &sok_timed,
     "Hold answers to their time, on a quiet machine", NULL},
    {"verbose", 0, 0, G_OPTION_ARG_NONE, &sok_verbose, "Faults by kind", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* A promise was broken. */
void
sok_find(sok *s, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    fprintf(stderr, "seed %d: FOUND %s\n", s->opts.seed, text);
    g_free(text);
    atomic_fetch_add(&s->findings, 1);
}

static void
sok_start(sok *s)
{
    const char *services[PFR_NODES_MAX];
    pfr_options options = {.drain_ms = SOK_DRAIN_MS,
                           .clock = s->opts.clocks ? SOK_CLOCK : NULL,
                           .proxied = true};
    for (int i = 0; i < s->opts.nodes; i++) {
        services[i] = i % 3 == 0 ? "near" : "far";
    }
    pfr_start_with(s->opts.nodes, services, &options);
    sok_desire(s);
    for (int i = 0; i < s->opts.nodes; i++) {
        sok_node *node = &s->nodes[i];
        node->s = s;
        node->index = i;
        atomic_store(&node->up, true);
        if (!pfr_await_ready(i)) {
            sok_find(s, "node %d is not ready after its start", i);
        }
        pthread_create(&node->registrar, NULL, sok_register, node);
    }
}

static void
sok_print(sok *s)
{
    int repeats = 0;
    int arrivals = pfr_all_arrivals(&repeats);
    int good = 0;
    int refused = 0;
    for (guint i = 0; i < s->results->len; i++) {
        int status = g_array_index(s->results, sok_result, i).status;
        good += status == 200;
        refused += status == 503;
    }
    printf("seed %d%s: %u requests, %d served, %d refused, %d arrivals at "
           "targets, %d repeats, %d faults, %d findings\n",
           s->opts.seed, s->opts.planned ? " (planned)" : "", s->results->len,
           good, refused, arrivals, repeats, atomic_load(&s->faults),
           atomic_load(&s->findings));
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer times = NULL;
    g_hash_table_iter_init(&iter, s->kinds);
    while (sok_verbose && g_hash_table_iter_next(&iter, &name, &times)) {
        printf("  %d x %s\n", GPOINTER_TO_INT(times), (const char *)name);
    }
    fflush(stdout);
}

/* Play one seed; the number of findings. */
static int
sok_play(const sok_options *opts)
{
    static sok s;
    pthread_t callers[SOK_CALLERS_MAX];
    int count = MIN(opts->nodes * opts->callers, SOK_CALLERS_MAX);
    memset(&s, 0, sizeof(s));
    s.opts = *opts;
    pthread_mutex_init(&s.lock, NULL);
    s.results = g_array_new(FALSE, FALSE, sizeof(sok_result));
    s.kinds = g_hash_table_new(g_str_hash, g_str_equal);
    sok_start(&s);
    for (int i = 0; i < count; i++) {
        pthread_create(&callers[i], NULL, sok_call, &s.nodes[i % opts->nodes]);
    }
    sok_inject(&s);
    atomic_store(&s.stopped, true);
    for (int i = 0; i < count; i++) {
        pthread_join(callers[i], NULL);
    }
    sok_check(&s);
    atomic_store(&s.finished, true);
    for (int i = 0; i < opts->nodes; i++) {
        pthread_join(s.nodes[i].registrar, NULL);
    }
    sok_print(&s);
    if (atomic_load(&s.findings) > 0) {
        printf("  logs: %s\n", pfr_logs());
    }
    pfr_stop();
    g_array_free(s.results, TRUE);
    g_hash_table_destroy(s.kinds);
    return atomic_load(&s.findings);
}

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- the fault soak");
    g_option_context_add_main_entries(context, sok_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        sok_nodes < 3 || sok_nodes > PFR_NODES_MAX || sok_callers < 1) {
        fprintf(stderr, "lav-soak: %s\n",
                error == NULL ? "an option is out of range" : error->message);
        return 2;
    }
    g_option_context_free(context);
    int red = 0;
    for (int i = 0; i < sok_seeds; i++) {
        int seed = sok_seed + i;
        sok_options opts = {.seed = seed,
                            .nodes = sok_nodes,
                            .seconds = sok_seconds,
                            .callers = sok_callers,
                            .planned = sok_planned || seed % 4 == 0,
                            .clocks = sok_clocks,
                            .timed = sok_timed};
        red += sok_play(&opts) > 0;
    }
    printf("%d seeds, %d with findings\n", sok_seeds, red);
    return red == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
