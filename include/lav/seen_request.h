/*
 * seen_request: the requests that callers have sent to this node recently.  A
 * caller that repeats an id draws on the retry budget of the first attempt,
 * and the outcomes reported before decide which outcome may be reported now.
 */
#ifndef LAV_SEEN_REQUEST_H
#define LAV_SEEN_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEEN_REQUEST_TTL_US 60000000LL /* after the first attempt: 60 s */

typedef struct seen_request_history {
    int attempts;  /* received by this node, including the current one */
    int budget;    /* retry budget of the current attempt; negative: none */
    bool none_ran; /* all earlier ones here ended with outcome "not run" */
} seen_request_history;

typedef struct seen_request_table seen_request_table;

int seen_request_new(seen_request_table **out, size_t requests_max);
void seen_request_free(seen_request_table *table);
seen_request_history seen_request_add(seen_request_table *table,
                                      const char *request, int budget,
                                      int64_t now_us);
void seen_request_finish(seen_request_table *table, const char *request,
                         int budget_left, bool not_run);

#ifdef __cplusplus
}
#endif

#endif
