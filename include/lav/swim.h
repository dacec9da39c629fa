/*
 * swim_list: who is in the fleet, as one node sees it.  In the manner of SWIM
 * (Das, Gupta and Motivala, DSN 2002): one member is probed each period,
 * news travel on the probes and their answers, and a suspect can refute.
 * Each member is one node incarnation with its target.
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
#define SWIM_FAST_PROBE_PERIOD_US 200000 /* ... while there is much to tell */
#define SWIM_SUSPECT_TIMEOUT_US 2000000  /* time to refute */
#define SWIM_DEAD_TTL_US 7200000000LL    /* dead members are kept for 2 h */
#define SWIM_UPDATES_MAX 16              /* entries on one message */
#define SWIM_NONE (-1)

enum swim_state {
    SWIM_STARTING, /* the node is up, its target is not */
    SWIM_READY,
    SWIM_LEAVING, /* no new work; what is in flight finishes */
    SWIM_SUSPECT,
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
    uint64_t incarnation; /* rises with each start of the node */
    uint32_t sequence;    /* rises with each change the member makes */
    enum swim_state state;
} swim_member;

typedef struct swim_list swim_list;

int swim_new(swim_list **out, const swim_member *self);
void swim_free(swim_list *m);
uint64_t swim_make_incarnation(int64_t wall_ms);
bool swim_merge(swim_list *m, const swim_member *news, int64_t now_us);
bool swim_set_self(swim_list *m, enum swim_state state);
const swim_member *swim_self(const swim_list *m);
int swim_pick_probe(swim_list *m);
void swim_mark_suspect(swim_list *m, const char *name, uint64_t incarnation,
                       int64_t now_us);
bool swim_tick(swim_list *m, int64_t now_us);
size_t swim_collect_updates(swim_member *out, swim_list *m, size_t max);
bool swim_collect_accusation(swim_member *out, swim_list *m, const char *name);
size_t swim_pending_updates(const swim_list *m);
size_t swim_count(const swim_list *m);
const swim_member *swim_get(const swim_list *m, size_t index);
const char *swim_state_name(enum swim_state state);

#ifdef __cplusplus
}
#endif

#endif
