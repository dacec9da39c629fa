/*
 * instance_capacity: how many calls an instance takes well, and how long a
 * call takes there now, as its node finds out from the calls that end.  Works
 * only for instances that report how long work takes on their host.
 *
 * Load pattern: instances of one service that differ in speed, slow down
 * before all their slots are taken, or share a host with others, whose load
 * changes several times a second.
 */
#ifndef LAV_INSTANCE_CAPACITY_H
#define LAV_INSTANCE_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/work_time.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Ranges of concurrency, equal parts of the limit without an estimate. */
#define INSTANCE_CAPACITY_RANGES 10

/* Lowest limit, in ranges. */
#define INSTANCE_CAPACITY_RANGES_MIN 2

#define INSTANCE_CAPACITY_SAMPLES_MIN 20 /* from which on a range is known */
#define INSTANCE_CAPACITY_WEIGHT 0.02    /* of one call in its average */
#define INSTANCE_CAPACITY_USUAL_WEIGHT 0.002 /* in the usual time of a route */
#define INSTANCE_CAPACITY_FORGET_US 2000000  /* a range without samples */
#define INSTANCE_CAPACITY_PERIOD_US 200000   /* between changes of the limit */

/* Exponent of the time in the power, throughput / time^x, that is aimed at. */
#define INSTANCE_CAPACITY_TIME_EXPONENT 1.5

#define INSTANCE_CAPACITY_HOST_USUAL 100 /* percent */

/* Change of the host's figure during a call, in percent of it, above which the
 * call tells nothing about the instance. */
#define INSTANCE_CAPACITY_HOST_CHANGE_MAX 10

typedef struct instance_capacity_range {
    double ratio;  /* of call times to the usual ones; moving average */
    int samples;   /* since it was last unknown */
    int64_t at_us; /* of the last sample */
} instance_capacity_range;

/* State of one instance; all zero at its start. */
typedef struct instance_capacity {
    int host_percent; /* time of work on its host; 0: never reported */
    work_time_table times;
    work_time_table usual; /* without the host's part */
    instance_capacity_range ranges[INSTANCE_CAPACITY_RANGES];
    int ranges_used; /* in the limit; 0: all */
    int64_t changed_at_us;
} instance_capacity;

/* A call that ended at the instance. */
typedef struct instance_capacity_call {
    uint32_t route;   /* key of the route */
    int running;      /* calls that ran as it was dispatched, with itself */
    int host_percent; /* known as it was dispatched */
    int64_t took_us;
    bool makes_calls; /* its time depends on other instances too */
} instance_capacity_call;

void instance_capacity_set_host(instance_capacity *capacity, int percent);
void instance_capacity_add(instance_capacity *capacity,
                           const instance_capacity_call *call, int limit_max,
                           int64_t now_us);
int instance_capacity_limit(const instance_capacity *capacity, int limit_max);
int instance_capacity_call_us(const instance_capacity *capacity,
                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
