/* lav-emu: runs simulations with and without load shedding, and prints the
 * outcomes of each kind of request. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "emu_file.h"

#define EMU_EXIT_USAGE 2

static int emu_seeds = 1;
static gboolean emu_json;
static char **emu_paths;

static const GOptionEntry emu_entries[] = {
    {"seeds", 0, 0, G_OPTION_ARG_INT, &emu_seeds,
     "Number of runs, with consecutive seeds from the file's", "N"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &emu_json,
     "Print each row as a JSON line", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &emu_paths, "",
     "EMULATION"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Adds a tally to a sum. */
static void
emu_add(emu_tally *sum, const emu_tally *more)
{
    sum->asked += more->asked;
    sum->good += more->good;
    sum->late += more->late;
    sum->refused += more->refused;
    sum->failed += more->failed;
    sum->wasted += more->wasted;
    sum->returned += more->returned;
}

/* Prints a row: the outcomes of a kind before, during or after the disruption,
 * as JSON or as a line of the table. */
static void
emu_print(const char *kind, const char *when, bool load_shedding,
          const emu_tally *t)
{
    if (emu_json) {
        json_t *row = json_pack(
            "{s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "kind", kind, "when",
            when, "gate", load_shedding, "asked", t->asked, "in_time", t->good,
            "late", t->late, "refused", t->refused, "failed", t->failed,
            "wasted_runs", t->wasted, "came_back", t->returned);
        char *text = json_dumps(row, JSON_COMPACT);
        puts(text);
        free(text);
        json_decref(row);
        return;
    }
    printf("%-20s %-7s %-5s %8d %8d %6d %8d %7d %7d %9d\n", kind, when,
           load_shedding ? "on" : "off", t->asked, t->good, t->late,
           t->refused, t->failed, t->wasted, t->returned);
}

/* Runs all seeds of a file with load shedding on or off and prints the sums.
 * Returns 0 or the error of emu_run(). */
static int
emu_run_seeds(emu_file *f, bool load_shedding)
{
    static const char *const times[] = {"before", "during", "after"};
    emu_tally sums[G_N_ELEMENTS(times)][EMU_KINDS_MAX] = {0};
    double total_worth = 0;
    double served_worth = 0;
    for (int i = 0; i < emu_seeds; i++) {
        emu_result result;
        emu_options opts = f->opts;
        opts.load_shedding = load_shedding;
        opts.seed += (uint64_t)i;
        int status = emu_run(&result, &opts);
        if (status < 0) {
            return status;
        }
        for (int k = 0; k < opts.kind_count; k++) {
            emu_add(&sums[0][k], &result.before[k]);
            emu_add(&sums[1][k], &result.during[k]);
            emu_add(&sums[2][k], &result.after[k]);
        }
    }
    for (int k = 0; k < f->opts.kind_count; k++) {
        for (size_t t = 0; t < G_N_ELEMENTS(times); t++) {
            const emu_tally *sum = &sums[t][k];
            total_worth += f->worth[k] * sum->asked;
            served_worth += f->worth[k] * sum->good;
            if (f->kinds[k].per_s > 0) {
                emu_print(f->kind_names[k], times[t], load_shedding, sum);
            }
        }
    }
    if (!emu_json) {
        printf("value served in time, load shedding %s: %.3f\n",
               load_shedding ? "on" : "off",
               total_worth > 0 ? served_worth / total_worth : 1);
    }
    return 0;
}

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- simulate deployments");
    g_option_context_add_main_entries(context, emu_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        emu_paths == NULL || emu_seeds < 1) {
        fprintf(stderr, "lav-emu: %s\n",
                error == NULL ? "no simulation file given, or --seeds below 1"
                              : error->message);
        return EMU_EXIT_USAGE;
    }
    g_option_context_free(context);
    for (char **path = emu_paths; *path != NULL; path++) {
        static emu_file file;
        err e = ERR_INIT;
        if (emu_file_load(&file, *path, &e) < 0) {
            fprintf(stderr, "lav-emu: %s\n", e.message);
            return EMU_EXIT_USAGE;
        }
        if (!emu_json) {
            printf("%s, %d runs\n"
                   "%-20s %-7s %-5s %8s %8s %6s %8s %7s %7s %9s\n",
                   file.name, emu_seeds, "kind", "when", "gate", "asked",
                   "in time", "late", "refused", "failed", "wasted",
                   "came back");
        }
        if (emu_run_seeds(&file, true) < 0 ||
            emu_run_seeds(&file, false) < 0) {
            fprintf(stderr, "lav-emu: cannot run %s\n", *path);
            return EXIT_FAILURE;
        }
    }
    g_strfreev(emu_paths);
    return EXIT_SUCCESS;
}
