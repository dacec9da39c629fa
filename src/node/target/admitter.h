/*
 * admitter_state: the admitter.  One thread owns all calls that other nodes have sent
 * for the local target, and decides for each: run, queue, refuse.  The
 * promises on refusals, classes and at-most-once execution are kept here,
 * by the modules admission_queue, dispatch_table and dedup_record.
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

/* Answer to a cancel that came in at `slot`. */
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
