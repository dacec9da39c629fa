/*
 * rpc_sync: one blocking request to the control address of another node.
 */
#ifndef LAV_NODE_RPC_SYNC_H
#define LAV_NODE_RPC_SYNC_H

#include "lav/msg.h"

int rpc_sync_request(msg *out, const char *address, uint16_t port,
                     const msg *request, int64_t timeout_ms, err *e);

#endif
