/*
 * rate_limit: a token bucket for the requests that a target takes, when it
 * names a limit of requests a second.
 *
 * Load pattern: a target in trouble that names far less than its slots could
 * run.  The bucket is small, so that requests come evenly and not in bursts.
 */
#ifndef LAV_RATE_LIMIT_H
#define LAV_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Seconds of requests at the limit that the bucket holds; at least one
 * request. */
#define RATE_LIMIT_BURST_S 0.25

/* Requests a second that are sent to a target that names less: only its
 * responses tell when the limit has ended. */
#define RATE_LIMIT_PER_S_MIN 0.5

/* Larger limits count as this one. */
#define RATE_LIMIT_PER_S_MAX 1000000.0

typedef struct rate_limit {
    bool set;
    double per_s;
    double tokens; /* requests that may be sent now */
    int64_t updated_us;
} rate_limit;

void rate_limit_set(rate_limit *limit, double per_s, int64_t now_us);
void rate_limit_clear(rate_limit *limit);
bool rate_limit_is_open(rate_limit *limit, int64_t now_us);
void rate_limit_take(rate_limit *limit, int64_t now_us);
int rate_limit_parse(double *out, const char *text);

#ifdef __cplusplus
}
#endif

#endif
