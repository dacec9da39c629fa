/*
 * instance_table: the instances that this node knows, what their nodes report of their
 * load, and the choice of one for a call.
 *
 * Load pattern answered: instances of one service that differ in speed, some
 * failing or unreachable, in zones between which bytes are dear.  The one
 * with the least load for its size is taken; another zone is taken when the
 * own one is busier by INSTANCE_ZONE_COST; a slow instance and an instance that fails part of its
 * calls count as busier; one that could not be reached, or was not what is
 * known of it, gets no call until its node has been asked.
 */
#ifndef LAV_INSTANCE_H
#define LAV_INSTANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define INSTANCE_COUNT_MAX 2048 /* twice the hosts of the largest deployment */
#define INSTANCE_TRIED_MAX 16   /* instances that one request left out */
#define INSTANCE_NAME_SIZE 96   /* bytes, with the closing NUL */
#define INSTANCE_NONE (-1)

#define INSTANCE_ZONE_COST 0.35     /* of the limit; price of another zone */
#define INSTANCE_FAILURE_WEIGHT 1.5 /* of the limit, if every call fails */
#define INSTANCE_SPEED_WEIGHT 0.4   /* of the limit, if it takes for ever */
#define INSTANCE_SPEED_RATIO_NORMAL                                           \
    3.0                          /* times; sound instances differ by so much */
#define INSTANCE_SLOW_WEIGHT 0.5 /* of the limit, for each doubling beyond */
#define INSTANCE_JITTER 0.04     /* of the limit; spreads equal choices */
#define INSTANCE_BACKOFF_MIN_US 250000  /* 0.25 s, doubled with each failure */
#define INSTANCE_BACKOFF_MAX_US 2000000 /* 2 s: a healed one is found soon */
#define INSTANCE_STOPPING_COST 2.0      /* of the limit: after all others */
#define INSTANCE_UNAVAILABLE_RECHECK_US                                       \
    300000 /* 0.3 s until one that had no instance, or
                                   * a leaving one, is asked again */
#define INSTANCE_REPORT_MAX_AGE_US 400000 /* 0.4 s; an older load says less */

enum instance_state {
    INSTANCE_STARTING, /* the node is up, its instance has not registered */
    INSTANCE_READY,
    INSTANCE_STOPPING, /* the node restarts, its instance stays */
    INSTANCE_DRAINING, /* the instance leaves and finishes what it has */
    INSTANCE_GONE
};

/* What a node says of itself and of the instance beside it. */
typedef struct instance_record {
    char node[INSTANCE_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    uint32_t ip;   /* of the node, network byte order */
    uint16_t port; /* ditto */
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;      /* Unix time of the instance's start */
    uint64_t incarnation; /* of the node; rises with each start */
    uint64_t sequence;    /* rises with each change of this record */
    enum instance_state state;
    int slots; /* calls that the instance runs at once */
} instance_record;

/* What a node reports of its instance's load with each answer. */
typedef struct instance_load_report {
    int busy;              /* running and waiting */
    int limit;             /* that may run at once */
    int failures_permille; /* of recent calls */
    enum instance_state state;
    int call_us; /* mean time of a call there; 0: not known */
} instance_load_report;

typedef struct instance_query {
    const char *service;
    const char *zone; /* of the caller */
    int tried[INSTANCE_TRIED_MAX];
    int tried_count;
} instance_query;

typedef struct instance_table instance_table;

int instance_new(instance_table **out, uint64_t seed);
void instance_free(instance_table *f);
bool instance_update(instance_table *f, const instance_record *record);
void instance_remove(instance_table *f, const char *node,
                     uint64_t incarnation);
int instance_find(const instance_table *f, const char *node);
const instance_record *instance_get(const instance_table *f, int handle);
int instance_count(const instance_table *f);
const char *instance_service_name(const instance_table *f, uint32_t service);
double instance_service_share(const instance_table *f, uint32_t service);
int instance_pick_other_node(instance_table *f, const char *self);
int instance_pick(instance_table *f, const instance_query *choice,
                  int64_t now_us);
bool instance_serves(const instance_table *f, int handle, const char *service);
void instance_add_call(instance_table *f, int handle);
void instance_remove_call(instance_table *f, int handle);
void instance_set_load(instance_table *f, int handle,
                       const instance_load_report *report, int64_t now_us);
void instance_mark_unreachable(instance_table *f, int handle, int64_t now_us);
int instance_next_to_probe(instance_table *f, int64_t now_us);
int64_t instance_unreachable_for_us(const instance_table *f, int handle,
                                    int64_t now_us);
void instance_mark_reachable(instance_table *f, int handle);
double instance_relative_load(const instance_table *f, int handle,
                              int64_t now_us);
const char *instance_state_name(enum instance_state state);
int instance_state_parse(enum instance_state *out, const char *name);

#ifdef __cplusplus
}
#endif

#endif
