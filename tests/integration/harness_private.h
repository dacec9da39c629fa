#ifndef LAV_HARNESS_PRIVATE_H
#define LAV_HARNESS_PRIVATE_H

#include <pthread.h>

#include "harness.h"

#define HARNESS_HEAD_SIZE_MAX 16384
#define HARNESS_HEALTH_PATH "/health"

/* One request as a stand-in reads it. */
typedef struct harness_request {
    char head[HARNESS_HEAD_SIZE_MAX];
    char method[16];
    char path[512];
    char *body;
    size_t length;
} harness_request;

typedef void (*harness_serve_cb)(int fd, int index);

extern pthread_mutex_t harness_lock;

int harness_listen(int port, int index, harness_serve_cb serve);
bool harness_read_request(harness_request *out, int fd);
bool harness_find_header(char *out, size_t size, const char *head,
                         const char *name);
void harness_reply(int fd, int status, const char *headers, const char *body,
                   size_t length);
void harness_serve_store(int fd, int index);
void harness_serve_target(int fd, int index);
void harness_store_reset(void);
void harness_target_reset(void);
void harness_set_target_instance(int node, const char *instance);
int harness_target_port(int node);

#endif
