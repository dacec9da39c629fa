/*
 * sen: requests that callers have sent before.  A caller that sends the
 * same id again spends the budget of the first time, and what was told to
 * it before decides what may be told now.
 */
#ifndef LAV_SEN_H
#define LAV_SEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEN_KEEP_US 60000000LL /* 60 s */

typedef struct sen_seen {
    int attempts;  /* that came here, the present one among them */
    int budget;    /* extra attempts left for the present one */
    bool none_ran; /* every earlier one here was answered "not run" */
} sen_seen;

typedef struct sen sen;

int sen_new(sen **out, size_t requests_max);
void sen_free(sen *s);
sen_seen sen_arrive(sen *s, const char *request, int budget, int64_t now_us);
void sen_answered(sen *s, const char *request, int budget_left, bool not_run);

#ifdef __cplusplus
}
#endif

#endif
