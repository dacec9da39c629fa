#include "lav/rate_limit.h"

#include <ctype.h>
#include <glib.h>
#include <math.h>

#include "lav/clock.h"
#include "lav/err.h"

/* Returns the number of requests that the bucket holds. */
static double
rate_limit_capacity(const rate_limit *limit)
{
    return MAX(1, limit->per_s * RATE_LIMIT_BURST_S);
}

/* Adds the tokens of the time since the last update. */
static void
rate_limit_refill(rate_limit *limit, int64_t now_us)
{
    double passed_s = (double)(now_us - limit->updated_us) / CLOCK_US_PER_S;
    limit->tokens = MIN(rate_limit_capacity(limit),
                        limit->tokens + passed_s * limit->per_s);
    limit->updated_us = now_us;
}

/* Sets the limit, in requests a second.  The bucket of a target that had none
 * is full. */
void
rate_limit_set(rate_limit *limit, double per_s, int64_t now_us)
{
    if (limit->set) {
        rate_limit_refill(limit, now_us);
    }
    limit->per_s = CLAMP(per_s, RATE_LIMIT_PER_S_MIN, RATE_LIMIT_PER_S_MAX);
    if (!limit->set) {
        limit->tokens = rate_limit_capacity(limit);
        limit->updated_us = now_us;
    }
    limit->set = true;
    limit->tokens = MIN(limit->tokens, rate_limit_capacity(limit));
}

/* Removes the limit. */
void
rate_limit_clear(rate_limit *limit)
{
    *limit = (rate_limit){0};
}

/* Whether a request may be sent now. */
bool
rate_limit_is_open(rate_limit *limit, int64_t now_us)
{
    if (!limit->set) {
        return true;
    }
    rate_limit_refill(limit, now_us);
    return limit->tokens >= 1;
}

/* Counts a request that is sent. */
void
rate_limit_take(rate_limit *limit, int64_t now_us)
{
    if (limit->set) {
        rate_limit_refill(limit, now_us);
        limit->tokens -= 1;
    }
}

/* Parses a limit, a decimal number of requests a second: ERR_INVALID if the
 * text is anything else, or negative. */
int
rate_limit_parse(double *out, const char *text)
{
    gchar *end = NULL;
    for (const char *c = text; *c != '\0'; c++) {
        if (!isdigit((unsigned char)*c) && *c != '.') {
            return ERR_INVALID;
        }
    }
    double per_s = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(per_s)) {
        return ERR_INVALID;
    }
    *out = per_s;
    return 0;
}
