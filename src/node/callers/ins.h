/*
 * ins: what the router knows of each instance from its own calls: calls
 * without an answer, load last heard, round trip, and whether it could be
 * reached.
 */
#ifndef LAV_NODE_INS_H
#define LAV_NODE_INS_H

#include <stddef.h>
#include <stdint.h>

#include "lav/msg.h"

#define INS_MAX 512
#define INS_DOWN_US 500000 /* an unreachable instance is left alone */

typedef struct ins_instance {
    uint64_t incarnation; /* 0 where the entry is free */
    int outstanding;
    int load_permille;
    int64_t load_us; /* when the load was heard */
    int64_t down_until_us;
    int64_t transit_us; /* half a round trip, smoothed */
    int64_t used_us;
} ins_instance;

typedef struct ins ins;

int ins_new(ins **out);
void ins_free(ins *i);
ins_instance *ins_get(ins *i, uint64_t incarnation, int64_t now_us);
int ins_load(const ins_instance *instance, int64_t now_us);
void ins_heard(ins_instance *instance, const msg_reply *reply,
               int64_t round_trip_us, int64_t now_us);

#endif
