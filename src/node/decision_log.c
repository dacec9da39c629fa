#include "decision_log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/err.h"

#define DECISION_LOG_TEXT_SIZE 120 /* bytes of one decision, with the NUL */

typedef struct decision_log_entry {
    int64_t ms;
    char root[ID_SIZE];
    char request[ID_SIZE];
    char text[DECISION_LOG_TEXT_SIZE];
} decision_log_entry;

struct decision_log {
    pthread_mutex_t lock;
    size_t size;
    size_t written; /* since the start */
    decision_log_entry *decisions;
};

/* Make a log of the last `decisions_max` decisions. */
int
decision_log_new(decision_log **out, size_t decisions_max)
{
    decision_log *x = calloc(1, sizeof(*x));
    if (x == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&x->lock, NULL);
    x->decisions = calloc(decisions_max, sizeof(*x->decisions));
    x->size = decisions_max;
    if (x->decisions == NULL) {
        decision_log_free(x);
        return ERR_NO_MEMORY;
    }
    *out = x;
    return 0;
}

/* Release the log; takes NULL. */
void
decision_log_free(decision_log *x)
{
    if (x != NULL) {
        pthread_mutex_destroy(&x->lock);
        free(x->decisions);
        free(x);
    }
}

/* Note one decision on a request of a root. */
void
decision_log_add(decision_log *x, const char *root, const char *request,
                 const char *format, ...)
{
    va_list args;
    va_start(args, format);
    pthread_mutex_lock(&x->lock);
    decision_log_entry *d = &x->decisions[x->written++ % x->size];
    d->ms = clock_wall_ms();
    snprintf(d->root, sizeof(d->root), "%s", root);
    snprintf(d->request, sizeof(d->request), "%s", request);
    vsnprintf(d->text, sizeof(d->text), format, args);
    pthread_mutex_unlock(&x->lock);
    va_end(args);
}

/* Decisions on a request, or on any call of that root, oldest first. */
json_t *
decision_log_find(decision_log *x, const char *request)
{
    json_t *found = json_array();
    pthread_mutex_lock(&x->lock);
    size_t start = x->written > x->size ? x->written - x->size : 0;
    for (size_t i = start; i < x->written; i++) {
        const decision_log_entry *d = &x->decisions[i % x->size];
        if (strcmp(d->root, request) == 0 ||
            strcmp(d->request, request) == 0) {
            json_array_append_new(
                found, json_pack("{s:I,s:s,s:s,s:s}", "ms", (json_int_t)d->ms,
                                 "root", d->root, "request", d->request,
                                 "decision", d->text));
        }
    }
    pthread_mutex_unlock(&x->lock);
    return found;
}
