/*
 * seen_request_table: requests that callers have sent before.  A caller that sends the
 * same id again spends the budget of the first time, and what was told to
 * it before decides what may be told now.
 */
#ifndef LAV_SEEN_REQUEST_H
#define LAV_SEEN_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEEN_REQUEST_TTL_US 60000000LL /* 60 s */

typedef struct seen_request_history {
    int attempts;  /* that came here, the present one among them */
    int budget;    /* extra attempts left for the present one */
    bool none_ran; /* every earlier one here was answered "not run" */
} seen_request_history;

typedef struct seen_request_table seen_request_table;

int seen_request_new(seen_request_table **out, size_t requests_max);
void seen_request_free(seen_request_table *s);
seen_request_history seen_request_add(seen_request_table *s,
                                      const char *request, int budget,
                                      int64_t now_us);
void seen_request_set_answer(seen_request_table *s, const char *request,
                             int budget_left, bool not_run);

#ifdef __cplusplus
}
#endif

#endif
