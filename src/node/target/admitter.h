/*
 * admitter: admission control for the local target.  Owns all calls that nodes
 * have sent for it and decides for each whether to dispatch, queue or refuse
 * it.  The guarantees about refusals, priority classes and at-most-once
 * execution are enforced here, by the modules admission, dispatch and dedup.
 */
#ifndef LAV_NODE_ADMITTER_H
#define LAV_NODE_ADMITTER_H

#include "target_info.h"
#include "lav/dedup.h"
#include "lav/dispatch.h"
#include "lav/msg.h"
#include "node.h"

typedef struct admitter_state admitter_state;
struct target_http_result;

/* Outcome of the cancel request that holds `slot` of the control server. */
typedef void (*admitter_cancelled_cb)(int slot, uint64_t nonce,
                                      enum dispatch_cancel result,
                                      void *payload);

int admitter_new(admitter_state **out, node *n,
                 admitter_cancelled_cb cancelled, void *payload, err *e);
void admitter_stop(admitter_state *a);
void admitter_free(admitter_state *a);
void admitter_submit_call(int slot, msg *request, void *payload);
int admitter_submit_cancel(admitter_state *a, uint64_t nonce, int slot);
void admitter_submit_result(const struct target_http_result *result,
                            void *payload);
void admitter_submit_target_info(admitter_state *a,
                                 const target_info *announcement);
void admitter_set_owner_map(admitter_state *a, const dedup_owner_map *map);

#endif
