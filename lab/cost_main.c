/* lav-cost: measures the cost of the nodes.  "latency": latency that the nodes
 * add to a call, against calling the same target directly, with the cases
 * interleaved; "fleet": processor time, memory, network traffic and platform
 * requests of a deployment of a given size. */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "lav/clock.h"
#include "lav/http_sync.h"

#define COST_PAUSE_US 4000    /* between two calls */
#define COST_WARMUP_CALLS 100 /* calls of each case before recording */
#define COST_SETTLE_MS 6000
#define COST_TIMEOUT_S 5
#define COST_RESPONSE_SIZE_MAX 65536

static char *cost_programs;
static char **cost_arguments;
static int cost_calls = 2000;
static int cost_seconds = 20;
static int cost_instances_percent = 100;
static gboolean cost_without_targets;

static const GOptionEntry cost_entries[] = {
    {"programs", 0, 0, G_OPTION_ARG_FILENAME, &cost_programs,
     "Folder with the built programs", "FOLDER"},
    {"calls", 0, 0, G_OPTION_ARG_INT, &cost_calls, "Calls of each case", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &cost_seconds,
     "Duration of the fleet measurement in seconds", "N"},
    {"instances-percent", 0, 0, G_OPTION_ARG_INT, &cost_instances_percent,
     "Scale the number of instances to this percentage", "N"},
    {"without-targets", 0, 0, G_OPTION_ARG_NONE, &cost_without_targets,
     "Start nodes only, to measure control traffic on loopback alone", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &cost_arguments,
     "", "latency|fleet DEPLOYMENT"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* A way of calling an operation, with its latency samples. */
typedef struct cost_case {
    const char *name;
    int port;
    const char *path;
    bool may_resend;
    http_sync_client *client;
    int failed;
    int count;
    int64_t *samples_us;
} cost_case;

/* qsort() comparison of int64_t. */
static int
cost_compare(const void *x, const void *y)
{
    int64_t a = *(const int64_t *)x;
    int64_t b = *(const int64_t *)y;
    return (a > b) - (a < b);
}

/* Makes a call; `record` keeps its latency if it succeeds. */
static void
cost_call(cost_case *c, bool record)
{
    http_sync_response response;
    http_sync_request request = {.method = "POST",
                                 .path = c->path,
                                 .body = "{}",
                                 .length = 2,
                                 .may_resend = c->may_resend,
                                 .timeout_s = COST_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     COST_RESPONSE_SIZE_MAX};
    int64_t start_us = clock_now_us();
    int result = http_sync_perform(&response, c->client, &request, NULL);
    int64_t took_us = clock_now_us() - start_us;
    if (result < 0 || response.status != 200) {
        c->failed++;
        printf("%s: status %d, %s, %s\n", c->name, response.status,
               response.outcome, response.reason);
    }
    else if (record) {
        c->samples_us[c->count++] = took_us;
    }
    http_sync_response_clear(&response);
}

/* Returns a percentile (ratio from 0 to 1) of the sorted samples. */
static int64_t
cost_percentile_us(const cost_case *c, double ratio)
{
    size_t index = (size_t)(ratio * (c->count - 1));
    return c->count == 0 ? 0 : c->samples_us[index];
}

/* Prints the latencies of a case, and what they add to those of `base`. */
static void
cost_print_case(cost_case *c, const cost_case *base)
{
    qsort(c->samples_us, (size_t)c->count, sizeof(int64_t), cost_compare);
    printf("%-34s %6d %6d %8" PRId64 " %8" PRId64 " %8" PRId64, c->name,
           c->count, c->failed, cost_percentile_us(c, 0.5),
           cost_percentile_us(c, 0.99), cost_percentile_us(c, 0.999));
    if (base != NULL) {
        printf("   added %6" PRId64 " %6" PRId64 " %6" PRId64,
               cost_percentile_us(c, 0.5) - cost_percentile_us(base, 0.5),
               cost_percentile_us(c, 0.99) - cost_percentile_us(base, 0.99),
               cost_percentile_us(c, 0.999) - cost_percentile_us(base, 0.999));
    }
    printf("\n");
}

/* Allocates the samples and the client of a case.  Returns 0 or an error. */
static int
cost_open_case(cost_case *c)
{
    char url[64];
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", c->port);
    c->samples_us = calloc((size_t)cost_calls, sizeof(int64_t));
    return c->samples_us == NULL ? ERR_NO_MEMORY
                                 : http_sync_new(&c->client, url, NULL);
}

/* Measures all cases interleaved, so that other load on the machine affects
 * them alike. */
static void
cost_measure_latency(cluster_env *env)
{
    cluster_instance *last = cluster_find_instance(env, "s7", 0);
    cluster_instance *first = cluster_find_instance(env, "s1", 0);
    cost_case cases[] = {
        {.name = "target directly, kept connection",
         .port = last->port,
         .path = "/go",
         .may_resend = true},
        {.name = "one hop, idempotent",
         .port = last->callers_port,
         .path = "/call/s7/go",
         .may_resend = true},
        {.name = "target directly, new connection",
         .port = last->port,
         .path = "/once",
         .may_resend = false},
        {.name = "one hop, at most once",
         .port = last->callers_port,
         .path = "/call/s7/once",
         .may_resend = false},
        {.name = "chain of 7, idempotent",
         .port = first->callers_port,
         .path = "/call/s1/go",
         .may_resend = true},
        {.name = "chain of 7, at most once",
         .port = first->callers_port,
         .path = "/call/s1/once",
         .may_resend = false},
    };
    const size_t count = sizeof(cases) / sizeof(cases[0]);
    for (size_t i = 0; i < count; i++) {
        if (cost_open_case(&cases[i]) < 0) {
            return;
        }
    }
    for (int k = 0; k < cost_calls + COST_WARMUP_CALLS; k++) {
        for (size_t i = 0; i < count; i++) {
            cost_call(&cases[i], k >= COST_WARMUP_CALLS);
            clock_sleep_us(COST_PAUSE_US);
        }
    }
    printf("%-34s %6s %6s %8s %8s %8s   microseconds\n", "way", "calls",
           "failed", "p50", "p99", "p99.9");
    for (size_t i = 0; i < count; i++) {
        const cost_case *base = i == 1 ? &cases[0] : NULL;
        base = i == 3 ? &cases[2] : base;
        cost_print_case(&cases[i], base);
    }
    for (size_t i = 0; i < count; i++) {
        http_sync_free(cases[i].client);
        free(cases[i].samples_us);
    }
}

/* Counters summed over all nodes, and the bytes received on loopback. */
typedef struct cost_totals {
    int64_t cpu_us;
    int64_t peak_kb;
    int64_t gossip_bytes;
    int64_t platform_reads;
    int64_t platform_writes;
    int64_t loopback_bytes;
} cost_totals;

/* Returns the bytes received on the loopback interface since boot. */
static int64_t
cost_loopback_bytes(void)
{
    char line[512];
    int64_t received = 0;
    FILE *file = fopen("/proc/net/dev", "rb");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        char *colon = strchr(line, ':');
        if (colon != NULL && strstr(line, "lo:") != NULL) {
            received = strtoll(colon + 1, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return received;
}

/* Reads the counters of all nodes from their status. */
static void
cost_read_totals(cost_totals *out, cluster_env *env)
{
    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < env->count; i++) {
        char *text =
            cluster_http_get(env->instances[i].callers_port, "/lav/status");
        json_t *status = text == NULL ? NULL : json_loads(text, 0, NULL);
        json_t *counters = json_object_get(status, "counters");
        json_t *cost = json_object_get(status, "cost");
        int64_t peak_kb =
            json_integer_value(json_object_get(cost, "peak_memory_kb"));
        out->cpu_us += json_integer_value(json_object_get(cost, "cpu_us"));
        out->peak_kb = peak_kb > out->peak_kb ? peak_kb : out->peak_kb;
        out->gossip_bytes +=
            json_integer_value(json_object_get(counters, "gossip_bytes"));
        out->platform_reads +=
            json_integer_value(json_object_get(counters, "platform_reads"));
        out->platform_writes +=
            json_integer_value(json_object_get(counters, "platform_writes"));
        json_decref(status);
        free(text);
    }
    out->loopback_bytes = cost_loopback_bytes();
}

/* Measures the nodes over cost_seconds without calls. */
static void
cost_measure_fleet(cluster_env *env)
{
    cost_totals before;
    cost_totals after;
    cost_read_totals(&before, env);
    before.loopback_bytes = cost_loopback_bytes();
    clock_sleep_us((int64_t)cost_seconds * CLOCK_US_PER_S);
    int64_t loopback = cost_loopback_bytes();
    cost_read_totals(&after, env);
    double node_seconds = (double)env->count * cost_seconds;
    printf("%zu nodes%s, %d s: processor %.3f %% of a core per node, peak "
           "memory %" PRId64 " KB, gossip %.0f B/s per node, loopback %.0f "
           "B/s per node, platform %.2f reads/s and %.2f writes/s in total\n",
           env->count, cost_without_targets ? " without targets" : "",
           cost_seconds,
           (double)(after.cpu_us - before.cpu_us) / node_seconds /
               CLOCK_US_PER_S * 100,
           after.peak_kb,
           (double)(after.gossip_bytes - before.gossip_bytes) / node_seconds,
           (double)(loopback - before.loopback_bytes) / node_seconds,
           (double)(after.platform_reads - before.platform_reads) /
               cost_seconds,
           (double)(after.platform_writes - before.platform_writes) /
               cost_seconds);
}

/* Starts the deployment and runs one measurement on it. */
static int
cost_run(const char *what, const char *path, err *e)
{
    static cluster_env env;
    static deploy_spec deployment;
    int result = deploy_load(&deployment, path, e);
    if (result < 0) {
        return result;
    }
    deploy_scale(&deployment, 1, (double)cost_instances_percent / 100);
    result = cluster_init(&env, cost_programs, &deployment, e);
    if (result < 0) {
        return result;
    }
    env.without_targets = cost_without_targets;
    result = cluster_start(&env, e);
    if (result == 0) {
        clock_sleep_us(COST_SETTLE_MS * CLOCK_US_PER_MS);
        if (strcmp(what, "latency") == 0) {
            cost_measure_latency(&env);
        }
        else {
            cost_measure_fleet(&env);
        }
    }
    cluster_stop(&env);
    return result;
}

int
main(int argc, char **argv)
{
    err e = ERR_INIT;
    GError *error = NULL;

    GOptionContext *context =
        g_option_context_new("- measure the cost of the nodes");
    g_option_context_add_main_entries(context, cost_entries, NULL);
    signal(SIGPIPE, SIG_IGN);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed || cost_arguments == NULL || cost_arguments[0] == NULL ||
        cost_arguments[1] == NULL || sodium_init() < 0) {
        fprintf(stderr, "lav-cost: needs latency or fleet and a deployment\n");
        return 2;
    }
    if (cost_programs == NULL) {
        cost_programs = g_path_get_dirname(argv[0]);
    }
    if (cost_run(cost_arguments[0], cost_arguments[1], &e) < 0) {
        fprintf(stderr, "lav-cost: %s %s\n", e.where, e.message);
        return 3;
    }
    return 0;
}
