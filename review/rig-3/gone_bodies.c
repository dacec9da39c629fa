/*
 * Callers with long bodies leave while their requests wait for a slot.  All
 * requests come in two waves; 16 of 56 callers leave after 0.3 s.  Where the
 * disruption is off, they wait for their answers like the others.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "rig3.h"

#define SLOTS 16
#define STAYING 40
#define LEAVING 16
#define WAVES 2
#define WAVE_MS 3000
#define LEAVE_AFTER_MS 300
#define LATE_MS 500
#define A_FEW 5
#define PATH "/i/work-1100"

static const char *const services[] = {"near", "far"};
static long body_bytes = 700000;
static int64_t left_ms[WAVES][LEAVING];
static int wave;

static void *
staying_main(void *payload)
{
    int n = (int)(intptr_t)payload;
    char id[64];
    snprintf(id, sizeof(id), "stay%d-%d", wave, n);
    int status = rig3_call(0, "GET", PATH, id, 8000, -1, "");
    rig3_note("%s gets %d", id, status);
    return NULL;
}

static void *
leaving_main(void *payload)
{
    int n = (int)(intptr_t)payload;
    char id[64];
    snprintf(id, sizeof(id), "leave%d-%d", wave, n);
    int fd = rig3_open(0);
    rig3_send_head(fd, "PUT", PATH, id, 8000, body_bytes, "");
    rig3_send_body(fd, body_bytes);
    rig3_note("%s is sent", id);
    if (rig3_trouble()) {
        rig3_sleep_ms(LEAVE_AFTER_MS);
        close(fd);
        left_ms[wave][n] = rig3_now_ms();
        rig3_note("%s: its caller leaves", id);
        return NULL;
    }
    harness_response response = {0};
    int status = rig3_read_status(fd, &response);
    harness_free_response(&response);
    close(fd);
    rig3_note("%s gets %d", id, status);
    return NULL;
}

int
main(void)
{
    pthread_t threads[STAYING + LEAVING];
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    int late = 0;
    if (getenv("BODY") != NULL) {
        body_bytes = atol(getenv("BODY"));
    }
    rig3_begin("callers with long bodies leave");
    rig3_start(
        2, services, SLOTS + 2,
        "[" RIG3_ROUTE("/i/", "idempotent", "8000ms", "4000ms", "far") "]",
        &opts);
    rig3_wait_serving(0, "/i/work-5", 5);
    for (wave = 0; wave < WAVES; wave++) {
        int64_t began_ms = rig3_now_ms();
        for (int i = 0; i < STAYING; i++) {
            if (i == SLOTS) {
                rig3_sleep_ms(50);
            }
            pthread_create(&threads[i], NULL, staying_main,
                           (void *)(intptr_t)i);
        }
        for (int i = 0; i < LEAVING; i++) {
            pthread_create(&threads[STAYING + i], NULL, leaving_main,
                           (void *)(intptr_t)i);
        }
        for (int i = 0; i < STAYING + LEAVING; i++) {
            pthread_join(threads[i], NULL);
        }
        int64_t rest_ms = WAVE_MS - (rig3_now_ms() - began_ms);
        rig3_sleep_ms(rest_ms > 0 ? (int)rest_ms : 0);
    }
    rig3_sleep_ms(3000);
    for (int i = 0; i < WAVES; i++) {
        for (int j = 0; j < LEAVING; j++) {
            char id[64];
            snprintf(id, sizeof(id), "leave%d-%d", i, j);
            int64_t after_ms = rig3_arrived_ms(id) - left_ms[i][j];
            if (left_ms[i][j] > 0 && rig3_arrivals(id) > 0 &&
                after_ms > LATE_MS) {
                late++;
                rig3_note("%s reached an instance %d ms after its caller left",
                          id, (int)after_ms);
            }
        }
    }
    rig3_note("%d requests reached an instance over %d ms after their callers "
              "had left; a few are %d",
              late, LATE_MS, A_FEW);
    printf("%d late\n", late);
    rig3_end(late > A_FEW ? 1 : 0);
}
