/*
 * lb: load balancing, which instance a call goes to.  Idempotent calls go to
 * the better of two random instances (Mitzenmacher, 2001) by load and zone.
 * Other calls go by rendezvous hashing of the request id, which agrees with
 * the owner of the id wherever the nodes' membership views agree.
 */
#ifndef LAV_LB_H
#define LAV_LB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define LB_NONE (-1)

typedef struct lb_candidate {
    uint64_t incarnation;
    bool usable; /* ready, reachable, and not tried for this call */
    bool same_zone;
    int level;       /* of its admission: it accepts lower priority numbers */
    int outstanding; /* calls of this node at it, without a response */
    int load_permille; /* in flight and queued, of its limit, last reported */
    bool backing_off;  /* not usable for just that reason */
} lb_candidate;

void lb_end_backoffs(lb_candidate *candidates, size_t count);
int lb_pick(const lb_candidate *candidates, size_t count, int priority,
            uint64_t random);
int lb_pick_owner(const lb_candidate *candidates, size_t count, uint64_t hash);
int lb_mean_level(const lb_candidate *candidates, size_t count);
bool lb_all_refuse(const lb_candidate *candidates, size_t count, int priority);

#ifdef __cplusplus
}
#endif

#endif
