/*
 * rig: a small deployment for the cases of the review.  The store of the
 * platform, the instances and the requesters are stand-ins in this process;
 * the nodes are separate processes of target/lav-platform-node, each at a
 * loopback address of its own, as on a machine of its own.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_NODES_MAX 8
#define RIG_TEXT_SIZE 256
#define RIG_HEAD_SIZE 16384

/* Exit statuses of a case. */
#define RIG_EXIT_HELD 0
#define RIG_EXIT_BROKEN 1
#define RIG_EXIT_NOT_RUN 2

/* Bounds of the site, from the settings of its processes. */
#define RIG_HEARTBEAT_MS 1500
#define RIG_DRAIN_MS 2000
#define RIG_GRACE_MS 6000
#define RIG_CONTACT_MS 3000

typedef struct rig_message {
    char head[RIG_HEAD_SIZE]; /* start line and fields, with a NUL */
    char *body;               /* owned, with a NUL */
    size_t length;
    int status; /* of a response; 0: the connection ended before its head */
    bool whole; /* the body is complete */
    bool reset; /* the connection ended with an error */
} rig_message;

typedef struct rig_run {
    char id[64];
    int node;      /* beside the instance */
    int64_t at_ms; /* when the instance got it */
    bool dropped;  /* its connection closed while it ran */
} rig_run;

void rig_start(const char *folder, int nodes, const char *const *services,
               const char *routes);
void rig_stop(void);
bool rig_trouble(void);
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);
void rig_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
_Noreturn void rig_end(int status, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void rig_start_node(int node);
void rig_signal_node(int node, int signal_number);
bool rig_node_has_ended(int node);
bool rig_wait_ready(int node, int64_t timeout_ms);

void rig_foreign_entry(const char *kind, const char *name, const char *text);
void rig_publish(int version, const char *routes);

int rig_heartbeat(int node, const char *state, int64_t sequence);
int rig_foreign_heartbeat(int node, const char *id);
int rig_deregister(int node);
void rig_set_heartbeats(int node, bool on);
void rig_set_leaving(int node, bool leaving);
int64_t rig_next_sequence(int node);
void rig_set_slots(int node, int slots, int queue, bool keeps);
int rig_runs_of(const char *id, rig_run *out, int max);
int rig_runs_since(int node, int64_t at_ms);

int rig_connect(int node);
int rig_connect_slow(int node, int receive_bytes, int segment_bytes);
bool rig_send(int fd, const char *text, size_t length);
void rig_read_response(int fd, rig_message *out);
void rig_call(rig_message *out, int node, const char *method, const char *path,
              const char *id, int deadline_ms);
void rig_free(rig_message *message);
bool rig_field(const rig_message *message, const char *name, char *out,
               size_t size);

#endif
