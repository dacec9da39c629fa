/*
 * service_level: the admission level of each overloaded service, as its
 * instances measure it.  An instance reports which share of the requests that
 * lead to it can be admitted; nodes pass the newest report on with every
 * request and response between them, and apply it where requests enter.
 *
 * Load pattern: a burst that enters through hundreds of nodes, each of which
 * sees a few requests a second.  An estimate made at each of them from its own
 * traffic lags by seconds and differs from zone to zone.
 */
#ifndef LAV_SERVICE_LEVEL_H
#define LAV_SERVICE_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SERVICE_LEVEL_SERVICES_MAX 32 /* limited at the same time */

/* Lowest level: some requests are always tried. */
#define SERVICE_LEVEL_MIN 0.05

/* Highest level that is reported.  Levels above 1 admit everything; they
 * balance those of busier instances of the same service. */
#define SERVICE_LEVEL_MAX 2.0

/* Time constant with which reports of instances are averaged: they differ, and
 * a node hears of one at a time. */
#define SERVICE_LEVEL_AVERAGE_US 100000

/* Age from which on a level that no report confirms rises ... */
#define SERVICE_LEVEL_CONFIRMED_US 1000000

/* ... twofold in each such time. */
#define SERVICE_LEVEL_DOUBLING_US 500000

/* Time for which a level is reported after it last limited anything, and age
 * from which on a report is ignored: nodes must not keep up an old one by
 * telling each other. */
#define SERVICE_LEVEL_REPORTED_US 2000000

typedef struct service_level_report {
    uint32_t service; /* hash of its name; 0: none */
    double level;     /* share of the requests that is admitted */
    int64_t age_us;   /* since an instance measured it */
    bool direct;      /* as one instance measured it; false: an average */
} service_level_report;

typedef struct service_level_entry {
    uint32_t service;
    double level;           /* the newest average, or made here */
    int64_t measured_at_us; /* of the newest report */
    int64_t limited_at_us;  /* when the level was last below 1 */
} service_level_entry;

/* All zero: no service is limited. */
typedef struct service_level_table {
    service_level_entry entries[SERVICE_LEVEL_SERVICES_MAX];
    int count;
} service_level_table;

void service_level_merge(service_level_table *table,
                         const service_level_report *report, int64_t now_us);
double service_level_get(const service_level_table *table, uint32_t service,
                         int64_t now_us);
int64_t service_level_age_us(const service_level_table *table,
                             uint32_t service, int64_t now_us);
int service_level_list(service_level_report *out, int max,
                       const service_level_table *table, uint32_t except,
                       int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
