/*
 * rig: a small deployment for the cases of the second review.  The nodes are
 * separate processes, started with the command and the settings template of
 * the deploy file.  The platform's store, the instances and the requesters are
 * stand-ins in this process, on loopback addresses and free ports.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_NODES_MAX 8
#define RIG_ID "Lavenderfield-Attempt-Id"
#define RIG_SEAL "Lavenderfield-Response-Seal"

enum rig_verdict {
    RIG_HELD = 0,
    RIG_BROKEN = 1,
    RIG_NOT_RUN = 2
};

/* A message that was read from a connection. */
typedef struct rig_message {
    char head[16384]; /* start line and fields, with the empty line */
    char *body;       /* owned */
    size_t length;
    int status;    /* of a response; 0: no complete head */
    bool complete; /* the body has the declared length */
} rig_message;

typedef struct rig_node rig_node;

/* Serves one connection of an instance until it ends. */
typedef void (*rig_serve_cb)(int fd, rig_node *node);

struct rig_node {
    int index;
    char name[32];
    char ip[32];
    const char *service;
    const char *zone;
    int ports[5]; /* inbound, outbound, ready, control, instance */
    char instance[32];
    long born_ms;
    long sequence;
    int slots;
    bool beats;   /* heartbeats are sent each 1.5 s */
    bool leaving; /* the state that they name */
    rig_serve_cb serve;
    char settings[256];
    char log[256];
    pid_t pid; /* 0: not running */
};

enum {
    RIG_INBOUND,
    RIG_OUTBOUND,
    RIG_READY,
    RIG_CONTROL,
    RIG_INSTANCE
};

/* The record, and times. */
void rig_open(const char *dir, const char *grace, const char *drain);
void rig_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t rig_now_ms(void);
void rig_sleep_ms(int ms);
bool rig_is_troubled(void);
int rig_close(enum rig_verdict verdict);
_Noreturn void rig_give_up(const char *why);

/* The store. */
long rig_store_put(const char *kind, const char *name, json_t *spec);
void rig_publish(int version, const char *routes, const char *idle_timeout);
void rig_store_copy(void);
void rig_store_away(void);
void rig_store_return(void);
void rig_store_back(void);
long rig_store_revision(void);

/* Nodes and instances. */
rig_node *rig_add_node(const char *service, const char *zone, int slots,
                       rig_serve_cb serve);
void rig_start_node(rig_node *node);
void rig_signal_node(rig_node *node, int signal_number);
bool rig_wait_exit(rig_node *node, int timeout_ms);
int rig_beat(rig_node *node);
int rig_leave(rig_node *node);
bool rig_wait_ready(rig_node *node, int timeout_ms);
bool rig_log_has(rig_node *node, const char *text);
bool rig_wait_log(rig_node *node, const char *text, int timeout_ms);

/* Connections. */
int rig_listen(const char *ip, int *port, int receive_buffer);
int rig_connect(const char *ip, int port, int receive_buffer);
bool rig_send(int fd, const char *bytes, size_t length);
bool rig_read_head(rig_message *out, int fd, int timeout_ms);
bool rig_read_body(rig_message *out, int fd, int timeout_ms);
void rig_clear(rig_message *message);
bool rig_field(char *out, size_t size, const char *head, const char *name);
void rig_call(rig_message *out, rig_node *node, const char *method,
              const char *path, const char *id, const char *body,
              size_t length, int deadline_ms);

#endif
