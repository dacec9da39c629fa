/*
 * rte: which instance a call goes to.  Idempotent calls: the better of two
 * random instances (Mitzenmacher, 2001) by load and distance.  Others:
 * rendezvous hashing of the id, which agrees with the owner of the id
 * wherever the views agree.
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
    int level;         /* that it demands of this operation */
    int outstanding;   /* calls of this node at it, without an answer */
    int load_permille; /* in flight and queued of its limit, last heard */
} lb_candidate;

int lb_pick(const lb_candidate *candidates, size_t count, int priority,
            uint64_t random);
int lb_pick_owner(const lb_candidate *candidates, size_t count, uint64_t hash);
int lb_mean_level(const lb_candidate *candidates, size_t count);
bool lb_all_refuse(const lb_candidate *candidates, size_t count, int priority);

#ifdef __cplusplus
}
#endif

#endif
