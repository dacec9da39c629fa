/* Usage caps: a hot workspace that asks for many times its cap, in bursts and
 * at all nodes, and a calm one that asks for a part of its own. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/member_view.h"
#include "lav/usage_cap.h"
#include "soak.h"

#define SOAK_HOT_PAUSE_MS 5    /* between two requests of a hot caller */
#define SOAK_HOT_BURST_MS 1000 /* of its requests, and of the time between */
#define SOAK_WINDOW_US (5 * CLOCK_US_PER_S) /* as in the settings */
#define SOAK_OVER 1.1      /* factor by which a cap may be exceeded, ditto */
#define SOAK_OVER_SLACK 20 /* requests beyond it, ditto */
#define SOAK_LENDING_MS                                                       \
    4000 /* until all nodes lend to the same owners again */
#define SOAK_CALM_REQUESTS 20
#define SOAK_FOUNDED_MAX_MS 10000 /* until a new fleet has divided the caps */
#define SOAK_FOUNDED_PAUSE_MS 100
#define SOAK_CALM_PAUSE_MS 200 /* a quarter of the cap */

/* Whether the hot callers send now: all of them at the same times. */
static bool
soak_is_burst(void)
{
    return clock_now_us() / ((int64_t)SOAK_HOT_BURST_MS * CLOCK_US_PER_MS) %
               2 ==
           0;
}

/* Wait until the nodes of a new fleet have divided the caps. */
void
soak_wait_founded(soak_run *s)
{
    int status = 0;
    for (int i = 0;
         status != 200 && i < SOAK_FOUNDED_MAX_MS / SOAK_FOUNDED_PAUSE_MS;
         i++) {
        char id[SOAK_ID_SIZE];
        snprintf(id, sizeof(id), "f%d-%d", s->opts.seed, i);
        harness_sleep_ms(SOAK_FOUNDED_PAUSE_MS);
        status = soak_probe(s, 0, "/i/ok", id, SOAK_KEY_CALM);
    }
    if (status != 200) {
        soak_report_violation(s, "no request of a capped workspace was served "
                                 "before the faults");
    }
}

/* A caller of the hot workspace at one node, until the soak stops. */
void *
soak_run_hot_caller(void *payload)
{
    soak_node *node = payload;
    soak_run *s = node->s;
    int fd = -1;
    for (int i = 0; !atomic_load(&s->stopped); i++) {
        char id[SOAK_ID_SIZE];
        snprintf(id, sizeof(id), "h%d-%d-%d", s->opts.seed, node->index, i);
        if (soak_is_burst()) {
            soak_request(s, node, &fd, i, id, SOAK_KEY_HOT);
        }
        harness_sleep_ms(SOAK_HOT_PAUSE_MS);
    }
    if (fd >= 0) {
        close(fd);
    }
    return NULL;
}

/* A 429 is for a workspace with a cap, and says when there will be more. */
void
soak_check_over_cap(soak_run *s, const char *id,
                    const harness_response *answer, enum soak_key key)
{
    const char *field = strstr(answer->head, "Retry-After: ");
    double after_s = field == NULL ? 0 : atof(field + strlen("Retry-After: "));
    int64_t after_us = llround(after_s * CLOCK_US_PER_S);
    bool capped = key == SOAK_KEY_HOT || key == SOAK_KEY_CALM;
    if (answer->status == 429 &&
        (!capped || after_us < USAGE_CAP_RETRY_MIN_US ||
         after_us > USAGE_CAP_PAUSE_MAX_US)) {
        soak_report_violation(s, "%s: 429, key %d, Retry-After %f", id,
                              (int)key, after_s);
    }
}

/* How many requests of the hot workspace were both sent and run within one
 * window: the most of any. */
static int
soak_largest_window(const GArray *results)
{
    int largest = 0;
    for (guint i = 0; i < results->len; i++) {
        const soak_result *first = &g_array_index(results, soak_result, i);
        int count = 0;
        for (guint j = 0; j < results->len; j++) {
            const soak_result *r = &g_array_index(results, soak_result, j);
            count += r->sent_us >= first->sent_us &&
                     r->run_us <= first->sent_us + SOAK_WINDOW_US;
        }
        largest = MAX(largest, count);
    }
    return largest;
}

/* The hot workspace stayed within its cap, through all faults. */
static void
soak_check_windows(soak_run *s)
{
    GArray *begun = g_array_new(FALSE, FALSE, sizeof(soak_result));
    for (guint i = 0; i < s->results->len; i++) {
        soak_result r = g_array_index(s->results, soak_result, i);
        r.run_us = harness_first_run_us(r.id);
        if (r.key == SOAK_KEY_HOT && r.run_us > 0) {
            g_array_append_val(begun, r);
        }
    }
    double most = ((double)SOAK_CAP_RATE * SOAK_WINDOW_US / CLOCK_US_PER_S +
                   SOAK_CAP_BURST) *
                      SOAK_OVER +
                  SOAK_OVER_SLACK;
    int largest = soak_largest_window(begun);
    if (largest > most) {
        soak_report_violation(
            s, "%d requests of the hot workspace in a window, of %u", largest,
            begun->len);
    }
    s->hot_largest = largest;
    s->hot_begun = (int)begun->len;
    g_array_free(begun, TRUE);
}

/* With the faults over, a workspace under its cap is never over it, and is
 * served at all nodes. */
static void
soak_check_calm(soak_run *s)
{
    int over = 0;
    int other = 0;
    harness_sleep_ms(MEMBER_VIEW_NEWS_US / CLOCK_US_PER_MS + SOAK_LENDING_MS);
    for (int i = 0; i < SOAK_CALM_REQUESTS; i++) {
        char id[SOAK_ID_SIZE];
        snprintf(id, sizeof(id), "c%d-%d", s->opts.seed, i);
        int status =
            soak_probe(s, i % s->opts.nodes, "/i/ok", id, SOAK_KEY_CALM);
        over += status == 429;
        other += status != 429 && status != 200;
        harness_sleep_ms(SOAK_CALM_PAUSE_MS);
    }
    if (over + other > 0) {
        soak_report_violation(s,
                              "a calm workspace: of %d requests %d over its "
                              "cap, %d otherwise not served",
                              SOAK_CALM_REQUESTS, over, other);
    }
}

/* Check the usage caps; the faults are over, the callers have stopped. */
void
soak_check_usage(soak_run *s)
{
    if (s->opts.workspaces) {
        soak_check_windows(s);
        soak_check_calm(s);
    }
}
