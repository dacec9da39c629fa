/*
 * swim: the membership list of the fleet at one node, as in SWIM (Das, Gupta
 * and Motivala, DSN 2002).  One member is probed each period, updates are
 * piggybacked on the probes and their replies, and a suspected member can
 * refute the suspicion.  A member is one node incarnation with its target.
 */
#ifndef LAV_SWIM_H
#define LAV_SWIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/nodecfg.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SWIM_MEMBERS_MAX 2048
#define SWIM_PROBE_PERIOD_US 1000000     /* 1 s */
#define SWIM_FAST_PROBE_PERIOD_US 200000 /* with many updates pending */
#define SWIM_SUSPECT_TIMEOUT_US 2000000  /* time to refute a suspicion */
#define SWIM_DEAD_TTL_US 7200000000LL    /* dead members are kept for 2 h */
#define SWIM_UPDATES_MAX 16              /* entries in one message */
#define SWIM_NONE (-1)                   /* no member */

enum swim_state {
    SWIM_STARTING, /* the node is up, its target is not */
    SWIM_READY,
    SWIM_LEAVING, /* accepts no new work; finishes calls in flight */
    SWIM_SUSPECT, /* a probe was not answered */
    SWIM_DEAD,
    SWIM_STATE_COUNT
};

typedef struct swim_member {
    char name[SVC_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t peer_port;
    uint16_t control_port;
    uint16_t callers_port;
    uint64_t incarnation; /* increases with each start of the node */
    uint32_t sequence;    /* increases with each change by the member */
    enum swim_state state;
} swim_member;

typedef struct swim_list swim_list;

int swim_new(swim_list **out, const swim_member *self);
void swim_free(swim_list *list);
uint64_t swim_make_incarnation(int64_t wall_ms);
bool swim_merge(swim_list *list, const swim_member *update, int64_t now_us);
bool swim_set_self(swim_list *list, enum swim_state state);
const swim_member *swim_self(const swim_list *list);
int swim_pick_probe(swim_list *list);
void swim_mark_suspect(swim_list *list, const char *name, uint64_t incarnation,
                       int64_t now_us);
bool swim_tick(swim_list *list, int64_t now_us);
size_t swim_collect_updates(swim_member *out, swim_list *list, size_t max);
bool swim_get_suspicion(swim_member *out, swim_list *list, const char *name);
size_t swim_pending_updates(const swim_list *list);
size_t swim_count(const swim_list *list);
const swim_member *swim_get(const swim_list *list, size_t index);
const char *swim_state_name(enum swim_state state);

#ifdef __cplusplus
}
#endif

#endif
