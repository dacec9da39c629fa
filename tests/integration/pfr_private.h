#ifndef LAV_PFR_PRIVATE_H
#define LAV_PFR_PRIVATE_H

#include <pthread.h>

#include "pfr.h"

#define PFR_HEAD_MAX 16384
#define PFR_HEALTH_PATH "/health"

/* One request as a stand-in reads it. */
typedef struct pfr_request {
    char head[PFR_HEAD_MAX];
    char method[16];
    char path[512];
    char *body;
    size_t length;
} pfr_request;

typedef void (*pfr_serve_cb)(int fd, int index);

extern pthread_mutex_t pfr_lock;

int pfr_listen(int port, int index, pfr_serve_cb serve);
bool pfr_read_request(pfr_request *out, int fd);
bool pfr_header(char *out, size_t size, const char *head, const char *name);
void pfr_reply(int fd, int status, const char *headers, const char *body,
               size_t length);
void pfr_serve_store(int fd, int index);
void pfr_serve_target(int fd, int index);
void pfr_store_reset(void);
void pfr_target_reset(void);
void pfr_target_name(int node, const char *instance);
int pfr_target_port(int node);

#endif
