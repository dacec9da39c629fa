/*
 * atr: the admitter.  One thread owns all calls that other nodes have sent
 * for the local target, and decides for each: run, queue, refuse.  The
 * promises on refusals, classes and at-most-once execution are kept here,
 * by the modules admission_queue, dispatch_table and dedup_record.
 */
#ifndef LAV_NODE_ATR_H
#define LAV_NODE_ATR_H

#include "anc.h"
#include "lav/dedup.h"
#include "lav/dispatch.h"
#include "lav/msg.h"
#include "node.h"

typedef struct atr atr;
struct dlv_result;

/* Answer to a cancel that came in at `slot`. */
typedef void (*atr_cancelled_cb)(int slot, uint64_t nonce,
                                 enum dispatch_cancel result, void *payload);

int atr_new(atr **out, node *n, atr_cancelled_cb cancelled, void *payload,
            err *e);
void atr_stop(atr *a);
void atr_free(atr *a);
void atr_arrive(int slot, msg *request, void *payload);
int atr_cancel(atr *a, uint64_t nonce, int slot);
void atr_delivered(const struct dlv_result *result, void *payload);
void atr_announce(atr *a, const anc *announcement);
void atr_set_map(atr *a, const dedup_owner_map *map);

#endif
