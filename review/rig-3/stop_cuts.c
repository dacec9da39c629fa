/*
 * A node gets SIGTERM.  2.2 s later requests come to another node on kept
 * connections; the one that stops takes them for the instance beside it, though
 * another instance is there, and cuts their answers off.  Where the disruption
 * is off, there is no SIGTERM.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig3.h"

#define CALLERS 14
#define SIZE 400000
#define PATH "/d/size-400000/over-4000/work-5"
#define AFTER_MS 2200 /* from the SIGTERM to the requests */
#define THREE 3

static const char *const services[] = {"near", "far", "far"};
static int fds[CALLERS];
static long got[CALLERS];
static int status_of[CALLERS];

/* Read the head of an answer; its status, 0 if the connection ended. */
static int
read_head(int fd)
{
    char head[4096];
    size_t length = 0;
    int status = 0;
    while (length + 1 < sizeof(head) && recv(fd, head + length, 1, 0) == 1) {
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
    char id[64];
    char part[16384];
    ssize_t length = 1;
    snprintf(id, sizeof(id), "long-%d", n);
    rig3_send_head(fds[n], "GET", PATH, id, 9000, -1, "");
    rig3_note("%s is sent to node 0 on a kept connection", id);
    status_of[n] = read_head(fds[n]);
    while (status_of[n] == 200 && got[n] < SIZE &&
           (length = recv(fds[n], part, sizeof(part), 0)) > 0) {
        got[n] += length;
    }
    rig3_note("%s: status %d, %ld of %d bytes%s", id, status_of[n], got[n],
              SIZE, length > 0 ? "" : ", then the connection ends");
    return NULL;
}

int
main(void)
{
    pthread_t threads[CALLERS];
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    int cut = 0;
    rig3_begin("a planned stop of another node");
    rig3_start(3, services, 58,
               "[" RIG3_ROUTE("/d/", "download", "10s", "4000ms", "far") "]",
               &opts);
    rig3_wait_serving(0, "/d/work-5", 8);
    for (int i = 0; i < CALLERS; i++) {
        char id[64];
        harness_response response = {0};
        fds[i] = rig3_open(0);
        snprintf(id, sizeof(id), "first-%d", i);
        rig3_send_head(fds[i], "GET", "/d/work-5", id, 9000, -1, "");
        rig3_note("%s gets %d", id, rig3_read_status(fds[i], &response));
        harness_free_response(&response);
    }
    rig3_sleep_ms(3500); /* all are calm for `contact` */
    if (rig3_trouble()) {
        harness_signal_node(2, SIGTERM);
        rig3_note("SIGTERM for node 2");
    }
    rig3_sleep_ms(AFTER_MS);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&threads[i], NULL, caller_main, (void *)(intptr_t)i);
    }
    if (rig3_trouble()) {
        rig3_note("node 2 exits with %d", harness_wait_node_exit(2));
        harness_start_node(2);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(threads[i], NULL);
        cut += status_of[i] == 0 || (status_of[i] == 200 && got[i] < SIZE);
    }
    rig3_note("node 0 closed %d of %d kept connections before the answer was "
              "whole; more than %d break the rule",
              cut, CALLERS, THREE);
    printf("%d of %d cut\n", cut, CALLERS);
    rig3_end(cut > THREE ? 1 : 0);
}
