/*
 * mbr: who is in the fleet, as one node sees it.  In the manner of SWIM
 * (Das, Gupta and Motivala, DSN 2002): one member is probed each period,
 * news travel on the probes and their answers, and a suspect can refute.
 * Each member is one node incarnation with its target.
 */
#ifndef LAV_MBR_H
#define LAV_MBR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/nst.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MBR_MAX 2048
#define MBR_PROBE_PERIOD_US 1000000 /* 1 s */
#define MBR_HURRY_PERIOD_US 200000  /* ... while there is much to tell */
#define MBR_SUSPECT_US 2000000      /* time to refute */
#define MBR_FORGET_US 7200000000LL  /* dead members are kept for 2 h */
#define MBR_NEWS_MAX 16             /* entries on one message */
#define MBR_NONE (-1)

enum mbr_state {
    MBR_STARTING, /* the node is up, its target is not */
    MBR_READY,
    MBR_LEAVING, /* no new work; what is in flight finishes */
    MBR_SUSPECT,
    MBR_DEAD,
    MBR_STATE_COUNT
};

typedef struct mbr_entry {
    char name[SVC_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    char address[NST_ADDRESS_SIZE];
    uint16_t peer_port;
    uint16_t control_port;
    uint16_t callers_port;
    uint64_t incarnation; /* rises with each start of the node */
    uint32_t sequence;    /* rises with each change the member makes */
    enum mbr_state state;
} mbr_entry;

typedef struct mbr mbr;

int mbr_new(mbr **out, const mbr_entry *self);
void mbr_free(mbr *m);
uint64_t mbr_incarnation(int64_t wall_ms);
bool mbr_merge(mbr *m, const mbr_entry *news, int64_t now_us);
bool mbr_set_self(mbr *m, enum mbr_state state);
const mbr_entry *mbr_self(const mbr *m);
int mbr_probe_pick(mbr *m);
void mbr_probe_failed(mbr *m, const char *name, uint64_t incarnation,
                      int64_t now_us);
bool mbr_tick(mbr *m, int64_t now_us);
size_t mbr_news(mbr_entry *out, mbr *m, size_t max);
bool mbr_news_of_accused(mbr_entry *out, mbr *m, const char *name);
size_t mbr_untold(const mbr *m);
size_t mbr_count(const mbr *m);
const mbr_entry *mbr_get(const mbr *m, size_t index);
const char *mbr_state_name(enum mbr_state state);

#ifdef __cplusplus
}
#endif

#endif
