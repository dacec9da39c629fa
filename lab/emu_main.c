/* lav-emu: plays an emulation with and without the gate, and prints what
 * became of each kind of request. */
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
     "Days to play, from the file's seed on", "N"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &emu_json, "A JSON line for each row",
     NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &emu_paths, "",
     "EMULATION"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

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

static void
emu_print(const char *kind, const char *when, bool gate, const emu_tally *t)
{
    if (emu_json) {
        json_t *row = json_pack(
            "{s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "kind", kind, "when",
            when, "gate", gate, "asked", t->asked, "in_time", t->good, "late",
            t->late, "refused", t->refused, "failed", t->failed, "wasted_runs",
            t->wasted, "came_back", t->returned);
        char *text = json_dumps(row, JSON_COMPACT);
        puts(text);
        free(text);
        json_decref(row);
        return;
    }
    printf("%-20s %-7s %-5s %8d %8d %6d %8d %7d %7d %9d\n", kind, when,
           gate ? "on" : "off", t->asked, t->good, t->late, t->refused,
           t->failed, t->wasted, t->returned);
}

/* Play a file's days with the gate on or off, and print them. */
static int
emu_run_seeds(emu_file *f, bool gate)
{
    static const char *const times[] = {"before", "during", "after"};
    emu_tally sums[G_N_ELEMENTS(times)][EMU_KINDS_MAX] = {0};
    double owed = 0;
    double earned = 0;
    for (int i = 0; i < emu_seeds; i++) {
        emu_result result;
        emu_options opts = f->opts;
        opts.gate = gate;
        opts.seed += (uint64_t)i;
        int played = emu_run(&result, &opts);
        if (played < 0) {
            return played;
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
            owed += f->worth[k] * sum->asked;
            earned += f->worth[k] * sum->good;
            if (f->kinds[k].per_s > 0) {
                emu_print(f->kind_names[k], times[t], gate, sum);
            }
        }
    }
    if (!emu_json) {
        printf("worth served in time, gate %s: %.3f\n", gate ? "on" : "off",
               owed > 0 ? earned / owed : 1);
    }
    return 0;
}

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- emulated days");
    g_option_context_add_main_entries(context, emu_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        emu_paths == NULL || emu_seeds < 1) {
        fprintf(stderr, "lav-emu: %s\n",
                error == NULL ? "an emulation is needed" : error->message);
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
            printf("%s, %d days\n"
                   "%-20s %-7s %-5s %8s %8s %6s %8s %7s %7s %9s\n",
                   file.name, emu_seeds, "kind", "when", "gate", "asked",
                   "in time", "late", "refused", "failed", "wasted",
                   "came back");
        }
        if (emu_run_seeds(&file, true) < 0 ||
            emu_run_seeds(&file, false) < 0) {
            fprintf(stderr, "lav-emu: %s can't be played\n", *path);
            return EXIT_FAILURE;
        }
    }
    g_strfreev(emu_paths);
    return EXIT_SUCCESS;
}
