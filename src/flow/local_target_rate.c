/* The limit of requests a second that the target names in its responses. */
#include <jansson.h>

#include "lav/log.h"
#include "local_target_private.h"

#define LOCAL_TARGET_RATE_SIZE 32 /* bytes of the field, with the NUL */

/* Largest number of lines per second about the limit. */
#define LOCAL_TARGET_RATE_LINES_PER_S 2

/* Limit in log lines if the target names none. */
#define LOCAL_TARGET_NOT_LIMITED (-1.0)

/* Returns the limit of the target; LOCAL_TARGET_NOT_LIMITED if it has named
 * none. */
double
local_target_rate_per_s(const local_target *t)
{
    const rate_limit *rate = target_queue_get_rate(t->queue);
    return rate->set ? rate->per_s : LOCAL_TARGET_NOT_LIMITED;
}

/* Sets or clears the limit of the target. */
static void
local_target_set_rate(local_target *t, const instance_rate *rate,
                      const char *source)
{
    double before_per_s = local_target_rate_per_s(t);
    if (rate->limited) {
        target_queue_set_rate(t->queue, rate->per_s, t->n->l->now_us);
    }
    else {
        target_queue_clear_rate(t->queue);
    }
    double per_s = local_target_rate_per_s(t);
    if (per_s != before_per_s &&
        log_allow_line("target_limit", LOCAL_TARGET_RATE_LINES_PER_S)) {
        log_event(LOG_INFO, "target_limit", NULL, "{s:s,s:f,s:f,s:s}",
                  "instance", t->instance, "per_s", per_s, "was", before_per_s,
                  "from", source);
    }
}

/* Takes over the limit that a response names, or that it names none.  A limit
 * that can't be read changes nothing. */
void
local_target_update_rate(local_target *t, const http_head *head)
{
    char text[LOCAL_TARGET_RATE_SIZE] = "";
    const char *name = t->n->header_names->rate_limit;
    instance_rate rate = {0};
    int count = http_head_count_field(head, name);
    t->responded = true;
    rate.limited = count > 0;
    if (count > 1 ||
        (count == 1 && (!http_str_copy(text, sizeof(text),
                                       http_head_get_field(head, name)) ||
                        rate_limit_parse(&rate.per_s, text) < 0))) {
        if (log_allow_line("target_limit_rejected",
                           LOCAL_TARGET_RATE_LINES_PER_S)) {
            log_event(LOG_WARN, "target_limit_rejected", NULL, "{s:s,s:s,s:i}",
                      "instance", t->instance, "text", text, "fields", count);
        }
        return;
    }
    local_target_set_rate(t, &rate, "response");
}

/* Takes over the limit that the target named to another node, which relayed
 * that response.  It holds until the target responds to this start of the
 * node, which knows nothing of responses before. */
void
local_target_recall_rate(local_target *t, const instance_rate *rate)
{
    if (!t->responded && rate->limited) {
        local_target_set_rate(t, rate, "peer");
    }
}

/* Returns the number of calls that the target may run at once: its slots, or as
 * many as its limit keeps busy. */
int
local_target_concurrency(const local_target *t)
{
    const rate_limit *rate = target_queue_get_rate(t->queue);
    int slots = target_queue_get_limit(t->queue);
    if (!rate->set) {
        return slots;
    }
    double busy = rate->per_s * t->call_us / CLOCK_US_PER_S;
    return busy < 1 ? 1 : busy < slots ? (int)busy : slots;
}
