/*
 * Callers read long answers slowly, without a pause, from kept connections.
 * Where the disruption is off, they read as fast as the answers come.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig3.h"

#define CALLERS 120
#define SIZE_MIN 700000
#define SIZE_STEP 36000
#define PART 4096
#define PART_PAUSE_MS 50 /* 80 kB/s */
#define THREE 3

static const char *const services[] = {"near", "far"};
static long got[CALLERS];
static int kept_status[CALLERS];
static int status_of[CALLERS];
static bool ended[CALLERS];

/* Read the head of an answer; its status, 0 if the connection ended. */
static int
read_head(int fd, char *head, size_t size)
{
    size_t length = 0;
    int status = 0;
    while (length + 1 < size && recv(fd, head + length, 1, 0) == 1) {
        head[++length] = '\0';
        if (length >= 4 && strcmp(head + length - 4, "\r\n\r\n") == 0) {
            sscanf(head, "HTTP/1.1 %d", &status);
            return status;
        }
    }
    return 0;
}

static void *
caller_main(void *payload)
{
    int n = (int)(intptr_t)payload;
    long size = SIZE_MIN + (long)n * SIZE_STEP;
    char id[64];
    char path[64];
    char head[4096];
    char part[PART];
    harness_response response = {0};
    int small = 65536;
    int fd = rig3_open(0);
    struct timeval limit = {60, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    snprintf(id, sizeof(id), "first-%d", n);
    rig3_send_head(fd, "GET", "/d/work-5", id, 90000, -1, "");
    kept_status[n] = rig3_read_status(fd, &response);
    harness_free_response(&response);
    snprintf(id, sizeof(id), "long-%d", n);
    snprintf(path, sizeof(path), "/d/size-%ld/work-20", size);
    rig3_send_head(fd, "GET", path, id, 90000, -1, "");
    rig3_note("%s, of %ld bytes, is sent on a kept connection", id, size);
    status_of[n] = read_head(fd, head, sizeof(head));
    while (status_of[n] == 200 && got[n] < size && !ended[n]) {
        ssize_t length = recv(fd, part, sizeof(part), 0);
        if (length <= 0) {
            ended[n] = true;
            rig3_note("%s: the connection ends after %ld of %ld bytes", id,
                      got[n], size);
            break;
        }
        got[n] += length;
        if (rig3_trouble()) {
            rig3_sleep_ms(PART_PAUSE_MS);
        }
    }
    close(fd);
    if (got[n] == size) {
        rig3_note("%s has its whole answer of %ld bytes", id, size);
    }
    return NULL;
}

int
main(void)
{
    pthread_t threads[CALLERS];
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    int cut = 0;
    int whole = 0;
    int refused = 0;
    rig3_begin("callers read long answers slowly");
    rig3_start(2, services, 254,
               "[" RIG3_ROUTE("/d/", "download", "90s", "4000ms", "far") "]",
               &opts);
    rig3_wait_serving(0, "/d/work-5", 5);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&threads[i], NULL, caller_main, (void *)(intptr_t)i);
        rig3_sleep_ms(5);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(threads[i], NULL);
        char id[64];
        snprintf(id, sizeof(id), "long-%d", i);
        bool by_instance = rig3_whole(id) == 0;
        whole += got[i] == SIZE_MIN + (long)i * SIZE_STEP;
        refused += status_of[i] != 200;
        if (kept_status[i] == 200 && status_of[i] == 200 && ended[i] &&
            !by_instance) {
            cut++;
        }
    }
    rig3_note("%d answers are whole, %d requests were refused, %d answers "
              "that the instance had sent as a whole were cut off by the node "
              "on a kept connection; more than %d break the rule",
              whole, refused, cut, THREE);
    printf("%d whole, %d refused, %d cut\n", whole, refused, cut);
    rig3_end(cut > THREE ? 1 : 0);
}
