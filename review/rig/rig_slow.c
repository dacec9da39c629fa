/* Requesters that read their answers slowly. */
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig_slow.h"

#define RIG_SLOW_READ_BYTES 2000    /* at most so many at once */
#define RIG_SLOW_RECEIVE_BYTES 2048 /* receive buffer that it asks for */
#define RIG_SLOW_SEGMENT_BYTES 1400 /* as on an Ethernet link */
#define RIG_SLOW_SILENCE_MS 10000

/* Takes the bytes of the head that `got` bytes in `bytes` hold; returns how
 * many are left for the body, or -1 if the head is not complete. */
static long
rig_slow_take_head(rig_slow *r, const char *bytes, long got)
{
    long before = (long)strlen(r->head);
    long room = (long)sizeof(r->head) - 1 - before;
    memcpy(r->head + before, bytes, (size_t)(got < room ? got : room));
    const char *end = strstr(r->head, "\r\n\r\n");
    if (end == NULL) {
        return -1;
    }
    r->status = atoi(r->head + strlen("HTTP/1.1 "));
    return before + got - (long)(end + 4 - r->head);
}

/* Reads at the requester's rate until the answer is whole or ends early. */
static void
rig_slow_read(rig_slow *r, int fd)
{
    char bytes[RIG_SLOW_READ_BYTES];
    int64_t start_ms = rig_now_ms();
    snprintf(r->end, sizeof(r->end), "whole");
    while (r->bytes < r->size) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        ssize_t got = poll(&p, 1, RIG_SLOW_SILENCE_MS) > 0
                          ? recv(fd, bytes, sizeof(bytes), 0)
                          : -2;
        if (got <= 0) {
            snprintf(r->end, sizeof(r->end), "%s",
                     got == 0    ? "closed"
                     : got == -2 ? "silent"
                                 : strerror(errno));
            return;
        }
        long body = r->status == 0 ? rig_slow_take_head(r, bytes, got) : got;
        r->bytes += body > 0 ? body : 0;
        if (r->status != 0 && r->status != 200) {
            snprintf(r->end, sizeof(r->end), "refused");
            return;
        }
        int64_t due_ms = start_ms + r->bytes * 1000 / r->bytes_per_s;
        if (due_ms > rig_now_ms()) {
            rig_sleep_ms(due_ms - rig_now_ms());
        }
    }
}

/* Sends a request whose answer has `size` bytes. */
static bool
rig_slow_send(const rig_slow *r, int fd, const char *suffix, long size)
{
    char text[512];
    snprintf(text, sizeof(text),
             "POST /r/w20s%ld/ HTTP/1.1\r\n"
             "Host: h.example\r\nLavenderfield-Attempt-Id: %s%s\r\n"
             "Lavenderfield-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
             size, r->id, suffix, r->budget_ms);
    rig_log("%s%s sent through node 0", r->id, suffix);
    return rig_send(fd, text, strlen(text));
}

/* Uses the connection for a request with a short answer first. */
static bool
rig_slow_use(const rig_slow *r, int fd)
{
    rig_message m;
    if (!rig_slow_send(r, fd, "-first", 100)) {
        return false;
    }
    rig_read_response(fd, &m);
    rig_free(&m);
    return m.status == 200;
}

static void *
rig_slow_thread(void *payload)
{
    rig_slow *r = payload;
    int fd =
        rig_connect_slow(0, RIG_SLOW_RECEIVE_BYTES, RIG_SLOW_SEGMENT_BYTES);
    bool usable = fd >= 0 && (!r->kept || rig_slow_use(r, fd));
    r->sent_ms = rig_now_ms();
    if (usable && rig_slow_send(r, fd, "", r->size)) {
        rig_slow_read(r, fd);
    }
    r->ended_ms = rig_now_ms();
    rig_log("%s status %d, %ld of %ld bytes, %s, %lld ms after it was sent",
            r->id, r->status, r->bytes, r->size, r->end,
            (long long)(r->ended_ms - r->sent_ms));
    close(fd);
    return NULL;
}

/* Starts a requester at node 0. */
void
rig_slow_start(rig_slow *r)
{
    if (pthread_create(&r->thread, NULL, rig_slow_thread, r) != 0) {
        rig_end(RIG_EXIT_NOT_RUN, "cannot start a thread");
    }
}

/* Waits for its end.  Returns whether its order was executed and the answer
 * broke off while it had time left. */
bool
rig_slow_was_cut(rig_slow *r)
{
    rig_run run;
    pthread_join(r->thread, NULL);
    bool executed = rig_runs_of(r->id, &run, 1) > 0 && !run.dropped;
    return executed && r->status == 200 && r->bytes < r->size &&
           r->ended_ms - r->sent_ms < r->budget_ms;
}
