/*
 * instance: the table of instances known to this node, with the load that
 * their nodes report, and the choice of an instance for a call.
 *
 * Meant for services whose instances differ in speed, some of them failing
 * or unreachable, in availability zones between which traffic is expensive.
 * The choice is the lowest load relative to the instance's limit, with
 * penalties for another zone, slow calls and failing calls.  An instance that
 * could not be reached, or that is not the one on record, receives no call
 * until its node has answered a probe.
 *
 * Where instances tell what a call takes now (instance_capacity), the costs of
 * another zone and of a slower instance are small: calls go to the instances
 * with room, so that shares follow speeds.
 */
#ifndef LAV_INSTANCE_H
#define LAV_INSTANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/instance_notes.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define INSTANCE_COUNT_MAX 2048 /* twice the hosts of the largest deployment */
#define INSTANCE_TRIED_MAX 16   /* instances excluded for one request */
#define INSTANCE_NAME_SIZE 96   /* bytes, including the terminating NUL */
#define INSTANCE_NONE (-1)

/* Largest values of a record: calls that an instance runs at once, and a Unix
 * time in ms (the year 2100). */
#define INSTANCE_SLOTS_MAX 100000
#define INSTANCE_TIME_MS_MAX 4102444800000LL

/* Penalties, as a fraction of the instance's limit. */
#define INSTANCE_ZONE_COST 0.35     /* in another zone than the caller */
#define INSTANCE_FAILURE_WEIGHT 1.5 /* if every call fails */
#define INSTANCE_SPEED_WEIGHT 0.4   /* upper bound for slower calls */
#define INSTANCE_SLOW_WEIGHT 0.5    /* per doubling above the normal ratio */
#define INSTANCE_JITTER 0.04        /* random; spreads equal choices */
#define INSTANCE_STOPPING_COST 2.0  /* chosen after all others */

/* Failures among an instance's calls from which on its call time is no measure
 * for that of others. */
#define INSTANCE_FAILING_PERMILLE 500

/* The same where instances tell what a call takes now: another zone, and the
 * upper bound for slower ones. */
#define INSTANCE_TOLD_ZONE_COST 0.1
#define INSTANCE_TOLD_SPEED_WEIGHT 0.15

/* Ratio of call times up to which healthy instances differ. */
#define INSTANCE_SPEED_RATIO_NORMAL 3.0

/* Backoff of an unreachable instance: doubled with each failure, and capped
 * so that a recovered instance is found soon. */
#define INSTANCE_BACKOFF_MIN_US 250000
#define INSTANCE_BACKOFF_MAX_US 2000000

/* Time until a node that reported no instance, or a departing one, is tried
 * again. */
#define INSTANCE_UNAVAILABLE_RECHECK_US 300000

/* Period at which the node of an instance that leaves is asked what follows. */
#define INSTANCE_LEAVING_PROBE_US 1000000

/* Age up to which a load report counts in full. */
#define INSTANCE_REPORT_MAX_AGE_US 400000

/* Age up to which an instance that reported that it takes no retries gets
 * none; an older report may be outdated. */
#define INSTANCE_NO_RETRIES_MAX_AGE_US 1000000

enum instance_state {
    INSTANCE_STARTING, /* the node is up, its instance has not registered */
    INSTANCE_READY,
    INSTANCE_STOPPING, /* the node restarts, its instance stays */
    INSTANCE_DRAINING, /* the instance leaves and finishes its calls */
    INSTANCE_GONE
};

/* What a node publishes about itself and its instance. */
typedef struct instance_record {
    char node[INSTANCE_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    uint32_t ip;   /* of the node, network byte order */
    uint16_t port; /* ditto */
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;      /* Unix time of the instance's start */
    uint64_t incarnation; /* Unix time of the node's start, in ms; raised where
                           * an earlier start has a higher one */
    uint64_t sequence;    /* rises with each change of this record */
    enum instance_state state;
    int slots; /* calls that the instance runs at once */
} instance_record;

/* The start of an instance that a request was sent to. */
typedef struct instance_start {
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;
} instance_start;

/* What a node reports about its instance's load with each response. */
typedef struct instance_load_report {
    int busy;              /* calls running and waiting */
    int limit;             /* calls that may run at once */
    int failures_permille; /* of recent calls */
    enum instance_state state;
    int call_us; /* mean duration of a call; 0 if unknown */
    instance_rate rate;
    bool no_retries; /* the services that it calls have no room for retries */
    int work_us; /* what a call takes now, whatever calls come; 0: not told */
} instance_load_report;

typedef struct instance_query {
    const char *service;
    const char *zone; /* of the caller */
    int tried[INSTANCE_TRIED_MAX];
    int tried_count;
    bool retry; /* leaves out instances that take no retries */
} instance_query;

typedef struct instance_table instance_table;

int instance_new(instance_table **out, uint64_t seed);
void instance_free(instance_table *table);
bool instance_update(instance_table *table, const instance_record *record);
void instance_remove(instance_table *table, const char *node,
                     uint64_t incarnation);
int instance_find(const instance_table *table, const char *node);
const instance_record *instance_get(const instance_table *table, int handle);
int instance_count(const instance_table *table);
uint64_t instance_first_incarnation(const instance_table *table);
const char *instance_service_name(const instance_table *table,
                                  uint32_t service);
double instance_service_share(const instance_table *table, uint32_t service);
int instance_pick_other_node(instance_table *table, const char *self);
int instance_pick(instance_table *table, const instance_query *query,
                  int64_t now_us);
bool instance_serves(const instance_table *table, int handle,
                     const char *service);
instance_rate instance_get_rate(const instance_table *table, int handle);
bool instance_takes_retries(const instance_table *table, int handle,
                            int64_t now_us);
bool instance_service_takes_retries(const instance_table *table,
                                    const char *service, int64_t now_us);
void instance_add_call(instance_table *table, int handle);
void instance_remove_call(instance_table *table, int handle);
void instance_set_load(instance_table *table, int handle,
                       const instance_load_report *report, int64_t now_us);
void instance_note_report(instance_table *table, int handle,
                          const instance_start *start,
                          const instance_load_report *report,
                          int64_t leaving_cutoff_us, int64_t now_us);
void instance_mark_unreachable(instance_table *table, int handle,
                               int64_t now_us);
void instance_mark_replaced(instance_table *table, int handle, int64_t now_us);
void instance_note_silent(instance_table *table, int handle);
bool instance_is_node_silent(const instance_table *table, int handle);
int instance_next_to_probe(instance_table *table, int64_t now_us);
int instance_next_leaving_to_probe(instance_table *table, int64_t now_us);
bool instance_is_any_leaving(const instance_table *table);
int64_t instance_unreachable_for_us(const instance_table *table, int handle,
                                    int64_t now_us);
void instance_mark_reachable(instance_table *table, int handle);
double instance_relative_load(const instance_table *table, int handle,
                              int64_t now_us);
bool instance_name_is_valid(const char *name);
const char *instance_state_name(enum instance_state state);
int instance_state_parse(enum instance_state *out, const char *name);

#ifdef __cplusplus
}
#endif

#endif
