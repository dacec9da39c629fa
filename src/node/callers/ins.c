#include "ins.h"

#include <stdlib.h>

#define INS_LOAD_KEEP_US 1000000 /* a load older than 1 s says nothing */
#define INS_TRANSIT_WEIGHT 8     /* of the old value, in smoothing */
#define INS_TRANSIT_MAX_US 100000

struct ins {
    ins_instance instances[INS_MAX];
};

/* Make an empty table. */
int
ins_new(ins **out)
{
    *out = calloc(1, sizeof(**out));
    return *out == NULL ? ERR_NO_MEMORY : 0;
}

/* Release the table; takes NULL. */
void
ins_free(ins *i)
{
    free(i);
}

/* Entry of an instance, made on first use in place of the one that was
 * unused longest. */
ins_instance *
ins_get(ins *i, uint64_t incarnation, int64_t now_us)
{
    ins_instance *oldest = &i->instances[0];
    for (size_t k = 0; k < INS_MAX; k++) {
        ins_instance *instance = &i->instances[k];
        if (instance->incarnation == incarnation) {
            instance->used_us = now_us;
            return instance;
        }
        if (instance->incarnation == 0) {
            oldest = instance;
            break;
        }
        if (instance->used_us < oldest->used_us) {
            oldest = instance;
        }
    }
    *oldest = (ins_instance){.incarnation = incarnation, .used_us = now_us};
    return oldest;
}

/* Load last heard, in thousandths of the limit; 0 where it is old. */
int
ins_load(const ins_instance *instance, int64_t now_us)
{
    bool fresh = now_us - instance->load_us < INS_LOAD_KEEP_US;
    return fresh ? instance->load_permille : 0;
}

/* A reply came after `round_trip_us`. */
void
ins_heard(ins_instance *instance, const msg_reply *reply,
          int64_t round_trip_us, int64_t now_us)
{
    instance->load_permille = reply->load_permille;
    instance->load_us = now_us;
    int64_t transit_us = (round_trip_us - reply->service_time_us) / 2;
    if (transit_us < 0 || transit_us > INS_TRANSIT_MAX_US) {
        return;
    }
    instance->transit_us +=
        (transit_us - instance->transit_us) / INS_TRANSIT_WEIGHT;
}
