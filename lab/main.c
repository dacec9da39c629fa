/* lav-lab: runs scenarios on a deployment of stand-ins on this machine. */
#include <glib.h>

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exl.h"
#include "fld.h"
#include "lav/clock.h"
#include "prc.h"
#include "rep.h"
#include "scn.h"

#define LAB_EXIT_BROKEN 1   /* a promise was broken */
#define LAB_EXIT_USAGE 2    /* bad arguments or scenario */
#define LAB_EXIT_NO_START 3 /* the deployment did not come up */
#define LAB_SCALE_MAX 1000  /* percent */

static char *lab_programs;
static char *lab_variant;
static char *lab_json_path;
static char **lab_paths;
static int lab_slots_percent;
static gboolean lab_figures_only;

static const GOptionEntry lab_entries[] = {
    {"programs", 0, 0, G_OPTION_ARG_FILENAME, &lab_programs,
     "Folder with the built programs", "FOLDER"},
    {"variant", 0, 0, G_OPTION_ARG_STRING, &lab_variant,
     "Run this variant only", "NAME"},
    {"slots-percent", 0, 0, G_OPTION_ARG_INT, &lab_slots_percent,
     "Scale of the deployment's slots, instead of the scenario's", "N"},
    {"json", 0, 0, G_OPTION_ARG_FILENAME, &lab_json_path,
     "Append figures as JSON lines", "FILE"},
    {"figures-only", 0, 0, G_OPTION_ARG_NONE, &lab_figures_only,
     "Exit 0 also where a variant breaks a promise, as baselines do", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &lab_paths, "",
     "SCENARIO"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Put one fault into the running deployment. */
static void
lab_inject(fld *f, const scn_fault *fault)
{
    char query[32];
    err e = ERR_INIT;
    switch ((enum scn_fault_kind)fault->kind) {
    case SCN_OUTAGE:
        fld_admin(f->platform_port, "outage=1");
        return;
    case SCN_RECOVER:
        fld_admin(f->platform_port, "outage=0");
        return;
    case SCN_SLOW:
        snprintf(query, sizeof(query), "slow=%d", (int)fault->factor);
        for (size_t i = 0; i < f->count; i++) {
            if (strcmp(f->instances[i].service->name, fault->service) == 0) {
                fld_admin(f->instances[i].port, query);
            }
        }
        return;
    case SCN_KILL:
    case SCN_RESTART:
        for (int i = 0; i < fault->count; i++) {
            fld_instance *instance = fld_find(f, fault->service, i);
            if (instance == NULL) {
                return;
            }
            if (fault->kind == SCN_KILL) {
                prc_kill(&instance->target);
            }
            else if (instance->target <= 0) {
                (void)fld_start_target(f, instance, &e);
            }
        }
        return;
    }
}

static void
lab_run_faults(fld *f, const scn *s, const lod *l)
{
    for (size_t i = 0; i < s->fault_count; i++) {
        const scn_fault *fault = &s->faults[i];
        clock_sleep_us(l->start_us + fault->at_ms * CLOCK_US_PER_MS -
                       clock_now_us());
        lab_inject(f, fault);
    }
}

/* Goodput in each phase, and recovery after the last but one to what it was
 * before that. */
static void
lab_print_phases(const lod *l)
{
    double at_s = 0;
    double before = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        const lod_phase *phase = &l->options.phases[i];
        double end_s = at_s + phase->seconds;
        double all = rep_goodput(l, at_s, end_s, NULL);
        double critical = rep_goodput(l, at_s, end_s, "critical");
        double success = rep_success(l, at_s, end_s, "critical");
        before = i + 3 == l->options.phase_count ? success : before;
        printf("phase %zu, %.0f s at %.1fx: goodput %.1f/s, critical "
               "%.1f/s, %.1f in 100\n",
               i + 1, phase->seconds, phase->factor, all, critical,
               success * 100);
        if (i + 2 == l->options.phase_count) {
            printf("recovery of critical requests after phase %zu: %.1f s\n",
                   i + 1, rep_recovery(l, end_s, before, "critical"));
        }
        at_s = end_s;
    }
}

/* Processor time of all nodes, and the calls that they handled. */
typedef struct lab_work {
    int64_t cpu_us;
    int64_t taken;      /* calls of callers and targets */
    int64_t dispatched; /* calls handed to targets */
} lab_work;

static lab_work
lab_read_work(const fld *f)
{
    lab_work work = {0, 0, 0};
    for (size_t i = 0; i < f->count; i++) {
        const fld_instance *instance = &f->instances[i];
        work.cpu_us += fld_status_int(instance, "cost", "cpu_us");
        work.taken += fld_status_int(instance, "counters", "calls_in");
        work.dispatched += fld_status_int(instance, "counters", "dispatched");
    }
    return work;
}

static void
lab_print_work(const lab_work *before, const lab_work *after)
{
    int64_t calls = after->taken - before->taken;
    if (calls > 0) {
        printf("nodes: %lld calls taken, %lld handed to targets, %.0f us of "
               "processor a call taken\n",
               (long long)calls,
               (long long)(after->dispatched - before->dispatched),
               (double)(after->cpu_us - before->cpu_us) / (double)calls);
    }
}

static void
lab_write_json(const scn *s, const scn_variant *variant, const lod *l,
               const exl_verdict *verdict)
{
    FILE *file = fopen(lab_json_path, "ab");
    if (file == NULL) {
        return;
    }
    json_t *figures = rep_figures(l, verdict);
    json_t *goodput = json_array();
    double at_s = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        double end_s = at_s + l->options.phases[i].seconds;
        json_array_append_new(
            goodput,
            json_pack("{s:f,s:f,s:f}", "factor", l->options.phases[i].factor,
                      "all", rep_goodput(l, at_s, end_s, NULL), "critical",
                      rep_goodput(l, at_s, end_s, "critical")));
        at_s = end_s;
    }
    json_t *series = json_array();
    for (int second = 0; second < (int)at_s; second++) {
        json_array_append_new(
            series, json_real(rep_goodput(l, second, second + 1, NULL)));
    }
    json_object_set_new(figures, "scenario", json_string(s->name));
    json_object_set_new(figures, "variant", json_string(variant->name));
    json_object_set_new(figures, "phases", goodput);
    json_object_set_new(figures, "goodput_by_second", series);
    json_dumpf(figures, file, JSON_COMPACT | JSON_REAL_PRECISION(6));
    fputc('\n', file);
    fclose(file);
    json_decref(figures);
}

static int
lab_measure(fld *f, const scn *s, const scn_variant *variant, err *e)
{
    lod *l = NULL;
    exl_verdict verdict;
    lab_work before = lab_read_work(f);
    int result = lod_new(&l, f, &s->load, e);
    if (result == 0) {
        result = lod_begin(l, e);
    }
    if (result < 0) {
        lod_free(l);
        return result;
    }
    lab_run_faults(f, s, l);
    lod_finish(l);
    lab_work after = lab_read_work(f);
    result = exl_check(&verdict, f, l, e);
    if (result == 0) {
        lab_print_phases(l);
        rep_print(l, &verdict);
        lab_print_work(&before, &after);
        if (lab_json_path != NULL) {
            lab_write_json(s, variant, l, &verdict);
        }
        if (verdict.run_twice + verdict.false_refusals +
                verdict.wrong_answers >
            0) {
            printf("a promise was broken, for example for %s\n",
                   verdict.example);
            result = LAB_EXIT_BROKEN;
        }
    }
    lod_free(l);
    return result;
}

static void
lab_set_policy(fld *f, const scn_variant *variant)
{
    size_t used = 0;
    for (size_t i = 0; i < variant->policy.count; i++) {
        used += (size_t)snprintf(f->policy + used, sizeof(f->policy) - used,
                                 "%s\n", variant->policy.items[i]);
    }
}

/* Run one variant; a negative code, 0 or LAB_EXIT_BROKEN. */
static int
lab_run_variant(const scn *s, const scn_variant *variant, err *e)
{
    static fld f;
    static dep deployment;
    int result = dep_load(&deployment, s->deployment, e);
    if (result < 0) {
        return result;
    }
    int64_t percent =
        lab_slots_percent > 0 ? lab_slots_percent : s->slots_percent;
    dep_scale(&deployment, (double)percent / 100,
              (double)s->instances_percent / 100);
    for (size_t i = 0; i < deployment.service_count; i++) {
        dep_service *service = &deployment.services[i];
        service->announced_slots =
            service->slots * s->slots_announced_percent / 100;
    }
    result = fld_init(&f, lab_programs, &deployment, e);
    if (result < 0) {
        return result;
    }
    lab_set_policy(&f, variant);
    printf("== %s, %s: %zu instances of %zu services\n", s->name,
           variant->name, f.count, deployment.service_count);
    fflush(stdout);
    result = fld_start(&f, e);
    if (result == 0) {
        clock_sleep_us(s->settle_ms * CLOCK_US_PER_MS);
        result = lab_measure(&f, s, variant, e);
    }
    fld_stop(&f);
    int left = fld_leftover(&f);
    if (left > 0) {
        printf("%d processes are left behind\n", left);
        return LAB_EXIT_BROKEN;
    }
    fflush(stdout);
    return result;
}

static int
lab_run(const scn *s)
{
    static const scn_variant plain = {.name = "as published"};
    bool broken = false;
    size_t count = s->variant_count == 0 ? 1 : s->variant_count;
    for (size_t i = 0; i < count; i++) {
        const scn_variant *variant =
            s->variant_count == 0 ? &plain : &s->variants[i];
        err e = ERR_INIT;
        if (lab_variant != NULL && strcmp(lab_variant, variant->name) != 0) {
            continue;
        }
        int result = lab_run_variant(s, variant, &e);
        if (result < 0) {
            fprintf(stderr, "lav-lab: %s %s\n", e.where, e.message);
            return LAB_EXIT_NO_START;
        }
        broken = broken || result == LAB_EXIT_BROKEN;
    }
    return broken && !lab_figures_only ? LAB_EXIT_BROKEN : 0;
}

int
main(int argc, char **argv)
{
    static scn scenario;
    err e = ERR_INIT;
    GError *fault = NULL;

    GOptionContext *context =
        g_option_context_new("- run scenarios on stand-ins");
    g_option_context_add_main_entries(context, lab_entries, NULL);
    g_option_context_set_description(
        context, "Exit status: 0 all promises held, 1 one was broken, 2 bad "
                 "arguments, 3 the deployment did not come up.");
    signal(SIGPIPE, SIG_IGN);
    if (!g_option_context_parse(context, &argc, &argv, &fault) ||
        lab_paths == NULL || lab_slots_percent > LAB_SCALE_MAX ||
        sodium_init() < 0) {
        fprintf(stderr, "lav-lab: %s\n",
                fault != NULL ? fault->message : "name a scenario");
        return LAB_EXIT_USAGE;
    }
    if (lab_programs == NULL) {
        lab_programs = g_path_get_dirname(argv[0]);
    }
    if (scn_load(&scenario, lab_paths[0], &e) < 0) {
        fprintf(stderr, "%s:%d: %s\n", e.where, e.line, e.message);
        return LAB_EXIT_USAGE;
    }
    g_option_context_free(context);
    return lab_run(&scenario);
}
