/* lav-lab: runs benchmark scenarios on a deployment on this machine, with
 * stand-ins for the platform and the targets. */
#include <glib.h>

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exec_log.h"
#include "cluster.h"
#include "lav/clock.h"
#include "proc.h"
#include "report.h"
#include "scenario.h"

#define LAB_EXIT_VIOLATION 1 /* a guarantee was violated */
#define LAB_EXIT_USAGE 2     /* bad arguments or scenario */
#define LAB_EXIT_NO_START 3  /* the deployment did not start */
#define LAB_SCALE_MAX 1000   /* percent */

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
     "Scale of the slots in percent, overriding the scenario's", "N"},
    {"json", 0, 0, G_OPTION_ARG_FILENAME, &lab_json_path,
     "Append results as JSON lines", "FILE"},
    {"figures-only", 0, 0, G_OPTION_ARG_NONE, &lab_figures_only,
     "Exit 0 even if a variant violates a guarantee, as baselines do", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &lab_paths, "",
     "SCENARIO"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Injects a fault into the running deployment. */
static void
lab_inject(cluster_env *env, const scenario_fault *fault)
{
    char query[32];
    err e = ERR_INIT;
    switch ((enum scenario_fault_kind)fault->kind) {
    case SCENARIO_FAULT_OUTAGE:
        cluster_configure_standin(env->platform_port, "outage=1");
        return;
    case SCENARIO_FAULT_RECOVER:
        cluster_configure_standin(env->platform_port, "outage=0");
        return;
    case SCENARIO_FAULT_SLOW:
        snprintf(query, sizeof(query), "slow=%d", (int)fault->factor);
        for (size_t i = 0; i < env->count; i++) {
            if (strcmp(env->instances[i].service->name, fault->service) == 0) {
                cluster_configure_standin(env->instances[i].port, query);
            }
        }
        return;
    case SCENARIO_FAULT_KILL:
    case SCENARIO_FAULT_RESTART:
        for (int i = 0; i < fault->count; i++) {
            cluster_instance *instance =
                cluster_find_instance(env, fault->service, i);
            if (instance == NULL) {
                return;
            }
            if (fault->kind == SCENARIO_FAULT_KILL) {
                proc_kill(&instance->target);
            }
            else if (instance->target <= 0) {
                (void)cluster_start_target(env, instance, &e);
            }
        }
        return;
    }
}

/* Injects the faults of the scenario when they are due. */
static void
lab_run_faults(cluster_env *env, const scenario_spec *s, const loadgen *l)
{
    for (size_t i = 0; i < s->fault_count; i++) {
        const scenario_fault *fault = &s->faults[i];
        clock_sleep_us(l->start_us + fault->at_ms * CLOCK_US_PER_MS -
                       clock_now_us());
        lab_inject(env, fault);
    }
}

/* Prints the goodput of each phase, and the time to recovery after the
 * second-to-last phase, against the success ratio of the phase before it. */
static void
lab_print_phases(const loadgen *l)
{
    double at_s = 0;
    double before = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        const loadgen_phase *phase = &l->options.phases[i];
        double end_s = at_s + phase->seconds;
        double all = report_goodput_per_s(l, at_s, end_s, NULL);
        double critical = report_goodput_per_s(l, at_s, end_s, "critical");
        double success = report_success_ratio(l, at_s, end_s, "critical");
        before = i + 3 == l->options.phase_count ? success : before;
        printf("phase %zu, %.0f s at %.1fx: goodput %.1f/s, critical "
               "%.1f/s, %.1f%% succeeded\n",
               i + 1, phase->seconds, phase->factor, all, critical,
               success * 100);
        if (i + 2 == l->options.phase_count) {
            printf("recovery of critical requests after phase %zu: %.1f s\n",
                   i + 1, report_recovery_s(l, end_s, before, "critical"));
        }
        at_s = end_s;
    }
}

/* Processor time of all nodes and the calls that they handled. */
typedef struct lab_usage {
    int64_t cpu_us;
    int64_t received;   /* calls from callers and targets */
    int64_t dispatched; /* calls forwarded to targets */
} lab_usage;

/* Sums the counters of all nodes from their status. */
static lab_usage
lab_read_usage(const cluster_env *env)
{
    lab_usage usage = {0, 0, 0};
    for (size_t i = 0; i < env->count; i++) {
        const cluster_instance *instance = &env->instances[i];
        usage.cpu_us += cluster_get_status_int(instance, "cost", "cpu_us");
        usage.received +=
            cluster_get_status_int(instance, "counters", "calls_in");
        usage.dispatched +=
            cluster_get_status_int(instance, "counters", "dispatched");
    }
    return usage;
}

/* Prints the calls and the processor time per call between two readings. */
static void
lab_print_usage(const lab_usage *before, const lab_usage *after)
{
    int64_t calls = after->received - before->received;
    if (calls > 0) {
        printf(
            "nodes: %lld calls received, %lld forwarded to targets, %.0f us "
            "of processor time per call received\n",
            (long long)calls,
            (long long)(after->dispatched - before->dispatched),
            (double)(after->cpu_us - before->cpu_us) / (double)calls);
    }
}

/* Appends the results of a variant to the JSON file. */
static void
lab_write_json(const scenario_spec *s, const scenario_variant *variant,
               const loadgen *l, const exec_log_result *log_result)
{
    FILE *file = fopen(lab_json_path, "ab");
    if (file == NULL) {
        return;
    }
    json_t *figures = report_to_json(l, log_result);
    json_t *goodput = json_array();
    double at_s = 0;
    for (size_t i = 0; i < l->options.phase_count; i++) {
        double end_s = at_s + l->options.phases[i].seconds;
        json_array_append_new(
            goodput,
            json_pack("{s:f,s:f,s:f}", "factor", l->options.phases[i].factor,
                      "all", report_goodput_per_s(l, at_s, end_s, NULL),
                      "critical",
                      report_goodput_per_s(l, at_s, end_s, "critical")));
        at_s = end_s;
    }
    json_t *series = json_array();
    for (int second = 0; second < (int)at_s; second++) {
        json_array_append_new(series, json_real(report_goodput_per_s(
                                          l, second, second + 1, NULL)));
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

/* Runs the load and the faults, and prints and checks the results.  Returns a
 * negative error code, 0 or LAB_EXIT_VIOLATION. */
static int
lab_measure(cluster_env *env, const scenario_spec *s,
            const scenario_variant *variant, err *e)
{
    loadgen *l = NULL;
    exec_log_result log_result;
    lab_usage before = lab_read_usage(env);
    int result = loadgen_new(&l, env, &s->load, e);
    if (result == 0) {
        result = loadgen_start(l, e);
    }
    if (result < 0) {
        loadgen_free(l);
        return result;
    }
    lab_run_faults(env, s, l);
    loadgen_wait(l);
    lab_usage after = lab_read_usage(env);
    result = exec_log_check(&log_result, env, l, e);
    if (result == 0) {
        lab_print_phases(l);
        report_print(l, &log_result);
        lab_print_usage(&before, &after);
        if (lab_json_path != NULL) {
            lab_write_json(s, variant, l, &log_result);
        }
        if (log_result.run_twice + log_result.false_refusals +
                log_result.wrong_answers >
            0) {
            printf("a guarantee was violated, for example for request id %s\n",
                   log_result.example);
            result = LAB_EXIT_VIOLATION;
        }
    }
    loadgen_free(l);
    return result;
}

/* Sets the policy lines of a variant. */
static void
lab_set_policy(cluster_env *env, const scenario_variant *variant)
{
    size_t used = 0;
    for (size_t i = 0; i < variant->policy.count; i++) {
        used +=
            (size_t)snprintf(env->policy + used, sizeof(env->policy) - used,
                             "%s\n", variant->policy.items[i]);
    }
}

/* Runs one variant on a new deployment.  Returns a negative error code, 0 or
 * LAB_EXIT_VIOLATION. */
static int
lab_run_variant(const scenario_spec *s, const scenario_variant *variant,
                err *e)
{
    static cluster_env env;
    static deploy_spec deployment;
    int result = deploy_load(&deployment, s->deployment, e);
    if (result < 0) {
        return result;
    }
    int64_t percent =
        lab_slots_percent > 0 ? lab_slots_percent : s->slots_percent;
    deploy_scale(&deployment, (double)percent / 100,
                 (double)s->instances_percent / 100);
    for (size_t i = 0; i < deployment.service_count; i++) {
        deploy_service *service = &deployment.services[i];
        service->announced_slots =
            service->slots * s->slots_announced_percent / 100;
    }
    result = cluster_init(&env, lab_programs, &deployment, e);
    if (result < 0) {
        return result;
    }
    lab_set_policy(&env, variant);
    printf("== %s, %s: %zu instances of %zu services\n", s->name,
           variant->name, env.count, deployment.service_count);
    fflush(stdout);
    result = cluster_start(&env, e);
    if (result == 0) {
        clock_sleep_us(s->settle_ms * CLOCK_US_PER_MS);
        result = lab_measure(&env, s, variant, e);
    }
    cluster_stop(&env);
    int left = cluster_count_processes(&env);
    if (left > 0) {
        printf("%d processes are still running\n", left);
        return LAB_EXIT_VIOLATION;
    }
    fflush(stdout);
    return result;
}

/* Runs all variants, or the one of --variant.  Returns the exit status. */
static int
lab_run(const scenario_spec *s)
{
    static const scenario_variant unchanged = {.name = "as published"};
    bool violated = false;
    size_t count = s->variant_count == 0 ? 1 : s->variant_count;
    for (size_t i = 0; i < count; i++) {
        const scenario_variant *variant =
            s->variant_count == 0 ? &unchanged : &s->variants[i];
        err e = ERR_INIT;
        if (lab_variant != NULL && strcmp(lab_variant, variant->name) != 0) {
            continue;
        }
        int result = lab_run_variant(s, variant, &e);
        if (result < 0) {
            fprintf(stderr, "lav-lab: %s %s\n", e.where, e.message);
            return LAB_EXIT_NO_START;
        }
        violated = violated || result == LAB_EXIT_VIOLATION;
    }
    return violated && !lab_figures_only ? LAB_EXIT_VIOLATION : 0;
}

int
main(int argc, char **argv)
{
    static scenario_spec scenario;
    err e = ERR_INIT;
    GError *error = NULL;

    GOptionContext *context =
        g_option_context_new("- run benchmark scenarios");
    g_option_context_add_main_entries(context, lab_entries, NULL);
    g_option_context_set_description(
        context,
        "Exit status: 0 no violation, 1 a guarantee was violated, 2 bad "
        "arguments, 3 the deployment did not start.");
    signal(SIGPIPE, SIG_IGN);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        lab_paths == NULL || lab_slots_percent > LAB_SCALE_MAX ||
        sodium_init() < 0) {
        fprintf(stderr, "lav-lab: %s\n",
                error != NULL ? error->message
                              : "a scenario file is required");
        return LAB_EXIT_USAGE;
    }
    if (lab_programs == NULL) {
        lab_programs = g_path_get_dirname(argv[0]);
    }
    if (scenario_load(&scenario, lab_paths[0], &e) < 0) {
        fprintf(stderr, "%s:%d: %s\n", e.where, e.line, e.message);
        return LAB_EXIT_USAGE;
    }
    g_option_context_free(context);
    return lab_run(&scenario);
}
