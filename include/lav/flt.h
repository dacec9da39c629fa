/*
 * flt: the instances that this node knows, what their nodes report of their
 * load, and the choice of one for a call.
 *
 * Load pattern answered: instances of one service that differ in speed, some
 * failing or unreachable, in zones between which bytes are dear.  The one
 * with the least load for its size is taken; another zone is taken when the
 * own one is busier by FLT_ZONE_STEP; a slow instance and an instance that fails part of its
 * calls count as busier; one that could not be reached, or was not what is
 * known of it, gets no call until its node has been asked.
 */
#ifndef LAV_FLT_H
#define LAV_FLT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLT_MEMBERS_MAX 2048 /* twice the hosts of the largest deployment */
#define FLT_TRIED_MAX 16     /* instances that one request left out */
#define FLT_NAME_SIZE 96     /* bytes, with the closing NUL */
#define FLT_NONE (-1)

#define FLT_ZONE_STEP 0.35      /* of the limit; price of another zone */
#define FLT_FAILURE_WEIGHT 1.5  /* of the limit, if every call fails */
#define FLT_SPEED_WEIGHT 0.4    /* of the limit, if it takes for ever */
#define FLT_SPEED_USUAL 3.0     /* times; sound instances differ by so much */
#define FLT_SLOW_WEIGHT 0.5     /* of the limit, for each doubling beyond */
#define FLT_JITTER 0.04         /* of the limit; spreads equal choices */
#define FLT_REST_MIN_US 250000  /* 0.25 s, doubled with each failure */
#define FLT_REST_MAX_US 2000000 /* 2 s: a healed one is found soon */
#define FLT_STOPPING_COST 2.0   /* of the limit: after all others */
#define FLT_AWAY_US                                                           \
    300000                        /* 0.3 s until one that had no instance, or
                                   * a leaving one, is asked again */
#define FLT_REPORT_KEEP_US 400000 /* 0.4 s; an older load says less */

enum flt_state {
    FLT_STARTING, /* the node is up, its instance has not registered */
    FLT_READY,
    FLT_STOPPING, /* the node restarts, its instance stays */
    FLT_DRAINING, /* the instance leaves and finishes what it has */
    FLT_GONE
};

/* What a node says of itself and of the instance beside it. */
typedef struct flt_record {
    char node[FLT_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    uint32_t ip;   /* of the node, network byte order */
    uint16_t port; /* ditto */
    char instance[FLT_NAME_SIZE];
    int64_t born_ms;      /* Unix time of the instance's start */
    uint64_t incarnation; /* of the node; rises with each start */
    uint64_t sequence;    /* rises with each change of this record */
    enum flt_state state;
    int slots; /* calls that the instance runs at once */
} flt_record;

/* What a node reports of its instance's load with each answer. */
typedef struct flt_report {
    int busy;              /* running and waiting */
    int limit;             /* that may run at once */
    int failures_permille; /* of recent calls */
    enum flt_state state;
    int call_us; /* mean time of a call there; 0: not known */
} flt_report;

typedef struct flt_choice {
    const char *service;
    const char *zone; /* of the caller */
    int tried[FLT_TRIED_MAX];
    int tried_count;
} flt_choice;

typedef struct flt flt;

int flt_new(flt **out, uint64_t seed);
void flt_free(flt *f);
bool flt_merge(flt *f, const flt_record *record);
void flt_remove(flt *f, const char *node, uint64_t incarnation);
int flt_find(const flt *f, const char *node);
const flt_record *flt_get(const flt *f, int handle);
int flt_count(const flt *f);
const char *flt_service_name(const flt *f, uint32_t service);
double flt_share(const flt *f, uint32_t service);
int flt_other(flt *f, const char *self);
int flt_pick(flt *f, const flt_choice *choice, int64_t now_us);
bool flt_serves(const flt *f, int handle, const char *service);
void flt_sent(flt *f, int handle);
void flt_done(flt *f, int handle);
void flt_reported(flt *f, int handle, const flt_report *report,
                  int64_t now_us);
void flt_unreachable(flt *f, int handle, int64_t now_us);
int flt_next_lost(flt *f, int64_t now_us);
int64_t flt_lost_for_us(const flt *f, int handle, int64_t now_us);
void flt_found(flt *f, int handle);
double flt_load(const flt *f, int handle, int64_t now_us);
const char *flt_state_name(enum flt_state state);
int flt_state_parse(enum flt_state *out, const char *name);

#ifdef __cplusplus
}
#endif

#endif
