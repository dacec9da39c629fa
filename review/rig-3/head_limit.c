/*
 * A version of the desired state raises max_header_bytes.  Callers that keep
 * their connections then send larger heads, which every version since allows.
 * Where the disruption is off, the first version allows them already and none
 * follows.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig3.h"

#define CALLERS 10
#define OLD_LIMIT 4096
#define NEW_LIMIT 16384
#define LARGE 6000 /* bytes of a field */
#define CONFIG_APPLY_MS 2000
#define ROUNDS 4

static const char *const services[] = {"near", "far", "far"};

/* Write a version of the desired state. */
static void
publish(int version, int header_bytes)
{
    char text[2048];
    snprintf(
        text, sizeof(text),
        "{\"version\":\"%08x\",\"routes\":[" RIG3_ROUTE(
            "/i/", "idempotent", "5000ms", "1500ms",
            "far") "," RIG3_ROUTE("/n/", "non_idempotent", "5000ms", "1500ms",
                                  "far") "],\"services\":[{\"name\":\"near\","
                                         "\"health_path\":\"/health\"},"
                                         "{\"name\":\"far\",\"health_path\":"
                                         "\"/health\"}],"
                                         "\"limits\":{\"max_header_bytes\":%d,"
                                         "\"max_body_bytes\":67108864,"
                                         "\"header_timeout\":\"3000ms\","
                                         "\"idle_timeout\":\"15000ms\"}}",
        version, header_bytes);
    harness_store_put("config", "main", text);
    rig3_note("the store has taken version %d: max_header_bytes %d", version,
              header_bytes);
}

/* A request on a kept connection, which is opened anew if it has ended. */
static int
call_kept(int *fd, const char *id, const char *extra)
{
    harness_response response = {0};
    int status = 0;
    for (int tries = 0; tries < 2 && status == 0; tries++) {
        if (*fd < 0) {
            *fd = rig3_open(0);
        }
        rig3_send_head(*fd, "POST", "/n/work-5", id, 5000, 0, extra);
        status = rig3_read_status(*fd, &response);
        harness_free_response(&response);
        if (status == 0 || status >= 400) {
            close(*fd);
            *fd = -1;
        }
    }
    return status;
}

int
main(void)
{
    harness_options opts = {.drain_ms = 2000, .grace_ms = 6000};
    int fds[CALLERS];
    int denied = 0;
    int sent = 0;
    char *extra = malloc(LARGE + 64);
    rig3_begin("a version raises max_header_bytes");
    rig3_start(3, services, 16, "[]", &opts);
    publish(2, rig3_trouble() ? OLD_LIMIT : NEW_LIMIT);
    rig3_sleep_ms(2000);
    rig3_wait_serving(0, "/i/work-5", 5);
    for (int i = 0; i < CALLERS; i++) {
        char id[64];
        fds[i] = -1;
        snprintf(id, sizeof(id), "first-%d", i);
        rig3_note("%s gets %d", id, call_kept(&fds[i], id, ""));
    }
    if (rig3_trouble()) {
        publish(3, NEW_LIMIT);
    }
    rig3_sleep_ms(CONFIG_APPLY_MS + 2000);
    strcpy(extra, "X-Trace: ");
    size_t length = strlen(extra);
    memset(extra + length, 'a', LARGE);
    strcpy(extra + length + LARGE, "\r\n");
    for (int i = 0; i < CALLERS; i++) {
        char id[64];
        snprintf(id, sizeof(id), "large-%d", i);
        int status = call_kept(&fds[i], id, extra);
        sent++;
        denied += status >= 400 && status < 500 && status != 429 &&
                  status != 408 && status != 421;
        rig3_note("%s, on the kept connection, gets %d, runs %d", id, status,
                  rig3_runs(id));
        snprintf(id, sizeof(id), "fresh-%d", i);
        int fd = -1;
        status = call_kept(&fd, id, extra);
        close(fd);
        rig3_note("%s, on a new connection, gets %d, runs %d", id, status,
                  rig3_runs(id));
    }
    rig3_note("%d of %d proper requests on kept connections were ended with a "
              "4xx",
              denied, sent);
    printf("%d of %d denied\n", denied, sent);
    rig3_end(denied > 5 + sent / 500 ? 1 : 0);
}
