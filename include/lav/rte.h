/*
 * rte: which instance a call goes to.  Idempotent calls: the better of two
 * random instances (Mitzenmacher, 2001) by load and distance.  Others:
 * rendezvous hashing of the id, which agrees with the owner of the id
 * wherever the views agree.
 */
#ifndef LAV_RTE_H
#define LAV_RTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RTE_NONE (-1)

typedef struct rte_candidate {
    uint64_t incarnation;
    bool usable; /* ready, reachable, and not tried for this call */
    bool same_zone;
    int level;         /* that it demands of this operation */
    int outstanding;   /* calls of this node at it, without an answer */
    int load_permille; /* in flight and queued of its limit, last heard */
} rte_candidate;

int rte_pick(const rte_candidate *candidates, size_t count, int priority,
             uint64_t random);
int rte_owner(const rte_candidate *candidates, size_t count, uint64_t hash);
int rte_mean_level(const rte_candidate *candidates, size_t count);
bool rte_refused_early(const rte_candidate *candidates, size_t count,
                       int priority);

#ifdef __cplusplus
}
#endif

#endif
