/*
 * ask: one blocking question to the control address of another node.
 */
#ifndef LAV_NODE_ASK_H
#define LAV_NODE_ASK_H

#include "lav/msg.h"

int ask_exchange(msg *out, const char *address, uint16_t port,
                 const msg *question, int64_t wait_ms, err *e);

#endif
