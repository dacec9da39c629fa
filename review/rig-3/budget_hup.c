/*
 * The settings file lowers the retry budget and the nodes get SIGHUP.  Then the
 * instances of a service reject part of the requests.  Where the disruption
 * is off, the nodes have the lower budget from their start.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig3.h"

#define NODES 3
#define CALLERS 20
#define RATIO 0.05
#define SLACK 5
#define OLD_RATIO 0.4
#define OLD_SLACK 50
#define WINDOW_MS 10000
#define SHED_MS 8500
#define SHED_PERMILLE 550
#define LOAD_MS 16000
#define CALLS_MAX 20000

static const char *const services[] = {"near", "far", "far"};
static volatile bool over;
static int next_call;
static int64_t sent_ms[CALLS_MAX];

static void *
caller_main(void *payload)
{
    (void)payload;
    while (!over) {
        char id[64];
        int n = __sync_fetch_and_add(&next_call, 1);
        snprintf(id, sizeof(id), "call-%d", n);
        sent_ms[n] = rig3_now_ms();
        int status = rig3_call(0, "GET", "/i/work-20", id, 5000, -1, "");
        rig3_note("%s, sent at %.3f s, gets %d", id, (double)sent_ms[n] / 1000,
                  status);
        rig3_sleep_ms(200);
    }
    return NULL;
}

/* Write the settings of all nodes with a budget; without a signal they read
 * them within 2 s. */
static void
write_settings(double ratio, int slack)
{
    for (int i = 0; i < NODES; i++) {
        char path[256];
        char text[4096];
        snprintf(path, sizeof(path), "%s/node%d.toml", harness_log_dir(), i);
        harness_rewrite_settings(i);
        FILE *file = fopen(path, "r");
        size_t length = fread(text, 1, sizeof(text) - 256, file);
        fclose(file);
        text[length] = '\0';
        char *at = strstr(text, "[retries]");
        snprintf(at, 256, "[retries]\nratio = %g\nslack = %d\n", ratio, slack);
        file = fopen(path, "w");
        fputs(text, file);
        fclose(file);
    }
    rig3_note("settings files changed: ratio %g, slack %d", ratio, slack);
}

int
main(void)
{
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    pthread_t threads[CALLERS];
    int worst = 0;
    double worst_allowed = 0;
    bool broken = false;
    rig3_begin("SIGHUP lowers the retry budget");
    rig3_start(
        NODES, services, 40,
        "[" RIG3_ROUTE("/i/", "idempotent", "5000ms", "1500ms", "far") "]",
        &opts);
    if (!rig3_trouble()) {
        write_settings(RATIO, SLACK); /* before any request */
    }
    else {
        write_settings(OLD_RATIO, OLD_SLACK);
    }
    rig3_sleep_ms(3000);
    rig3_wait_serving(0, "/i/work-5", 5);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&threads[i], NULL, caller_main, NULL);
        rig3_sleep_ms(10);
    }
    rig3_sleep_ms(14000);
    if (rig3_trouble()) {
        write_settings(RATIO, SLACK);
        harness_signal_node(0, SIGHUP);
        rig3_note("SIGHUP for node 0, which takes all requests");
    }
    rig3_sleep_ms(3000);
    int64_t from_ms = rig3_now_ms();
    rig3_instances[1].shed_permille = SHED_PERMILLE;
    rig3_instances[2].shed_permille = SHED_PERMILLE;
    rig3_note("the instances of far reject 55 in 100 requests");
    rig3_sleep_ms(SHED_MS);
    rig3_instances[1].shed_permille = 0;
    rig3_instances[2].shed_permille = 0;
    rig3_note("they reject none any more");
    rig3_sleep_ms(LOAD_MS - SHED_MS);
    over = true;
    rig3_sleep_ms(1500);
    for (int64_t at = from_ms; at + WINDOW_MS <= from_ms + LOAD_MS;
         at += 1000) {
        int again = rig3_again(at, at + WINDOW_MS);
        int now = 0;
        int before = 0;
        int half = 0;
        for (int i = 0; i < next_call; i++) {
            int64_t t = sent_ms[i] - at;
            now += t >= 0 && t < WINDOW_MS;
            before += t >= -WINDOW_MS && t < 0;
            half += t >= -WINDOW_MS / 2 && t < WINDOW_MS / 2;
        }
        int most = now > before ? now : before;
        most = half > most ? half : most;
        double allowed = RATIO * most + SLACK;
        rig3_note("from %d ms: %d arrivals beyond the first, %d requests, "
                  "allowed %.1f",
                  (int)at, again, most, allowed);
        if (again - allowed > worst - worst_allowed) {
            worst = again;
            worst_allowed = allowed;
        }
        broken = broken || again > allowed;
    }
    printf("worst %d, allowed %.1f\n", worst, worst_allowed);
    rig3_end(broken ? 1 : 0);
}
