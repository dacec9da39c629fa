/*
 * rig3: what the cases of the third review share: a small deployment of
 * lav-platform-node processes between the project's stand-in store and
 * instances of this file, a record of what was sent, answered and run, and the
 * end of all processes.
 *
 * An instance serves one request at a time on a connection and `slots` at
 * once; a few more wait, others are refused with Lavenderfield-Not-Executed.
 * It drops a request when its connection closes.  The last word of the path
 * says how long a request works, in ms: /i/work-800.  /i/size-3000/work-800 is
 * answered with 3000 bytes; with over-2000 before work these take 2 s.
 */
#ifndef RIG3_H
#define RIG3_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "harness_private.h"

#define RIG3_ROUTE(prefix, kind, timeout, latency, service)                   \
    "{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"" prefix        \
    "\",\"route_type\":\"" kind "\",\"timeout\":\"" timeout                   \
    "\",\"target_latency\":\"" latency                                        \
    "\",\"priority\":0,\"max_attempts\":2,\"service\":\"" service "\"}"

typedef struct rig3_instance {
    char id[64];
    char service[32];
    long born_ms;
    int sequence;
    int slots;
    char state[16];
    char extra[256]; /* further header lines of all its answers */
    bool beats;
    int shed_permille; /* of the requests that reach it, it rejects */
    int running;
    int waiting;
} rig3_instance;

extern rig3_instance rig3_instances[HARNESS_NODES_MAX];

void rig3_begin(const char *name);
void rig3_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t rig3_now_ms(void);
void rig3_start(int nodes, const char *const *services, int slots,
                const char *routes, const harness_options *opts);
void rig3_wait_serving(int from, const char *path, int count);
void rig3_end(int verdict) __attribute__((noreturn));
bool rig3_trouble(void);

/* What the instances saw of an id. */
int rig3_runs(const char *id);
int rig3_arrivals(const char *id);
int rig3_whole(const char *id); /* answers that were sent as a whole */
int64_t rig3_arrived_ms(const char *id);
const char *rig3_ran_service(const char *id); /* "": none */

/* Arrivals beyond the first of each request between two times. */
int rig3_again(int64_t from_ms, int64_t to_ms);

int rig3_open(int node);
bool rig3_send_head(int fd, const char *method, const char *path,
                    const char *id, int deadline_ms, long body,
                    const char *extra);
bool rig3_send_body(int fd, long length);
int rig3_read_status(int fd, harness_response *out);
int rig3_call(int node, const char *method, const char *path, const char *id,
              int deadline_ms, long body, const char *extra);
void rig3_sleep_ms(int ms);

#endif
