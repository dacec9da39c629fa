/* rig_private: what the sources of the rig share. */
#ifndef REVIEW_RIG_PRIVATE_H
#define REVIEW_RIG_PRIVATE_H

#include <netinet/in.h>

#include "rig.h"

#define RIG_PORT_INBOUND 8300
#define RIG_PORT_INSTANCE 8301
#define RIG_PORT_READY 8302
#define RIG_PORT_OUTBOUND 8304
#define RIG_PORT_CONTROL 8306
#define RIG_PORT_STORE 8309
#define RIG_PORT_METRICS 9464

typedef void (*rig_serve_cb)(int fd, int payload);

void rig_address(struct sockaddr_in *out, int node, int port);
void rig_listen(int node, int port, rig_serve_cb serve, int payload);
bool rig_read_message(int fd, rig_message *out, bool response);
void rig_store_start(void);
void rig_instance_start(int node, const char *service);
const char *rig_ip(int node);
const char *rig_service(int node);

#endif
