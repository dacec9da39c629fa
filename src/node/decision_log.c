#include "decision_log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/err.h"

#define DECISION_LOG_TEXT_SIZE 120 /* with the NUL; longer texts are cut */

typedef struct decision_log_entry {
    int64_t ms; /* Unix time */
    char root[ID_SIZE];
    char request[ID_SIZE];
    char text[DECISION_LOG_TEXT_SIZE];
} decision_log_entry;

struct decision_log {
    pthread_mutex_t lock;
    size_t capacity;
    size_t added; /* since the start; the next one overwrites the oldest */
    decision_log_entry *entries;
};

/* Creates a log of the last `decisions_max` decisions.  0 or ERR_NO_MEMORY. */
int
decision_log_new(decision_log **out, size_t decisions_max)
{
    decision_log *log = calloc(1, sizeof(*log));
    if (log == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&log->lock, NULL);
    log->entries = calloc(decisions_max, sizeof(*log->entries));
    log->capacity = decisions_max;
    if (log->entries == NULL) {
        decision_log_free(log);
        return ERR_NO_MEMORY;
    }
    *out = log;
    return 0;
}

/* Frees the log; takes NULL. */
void
decision_log_free(decision_log *log)
{
    if (log != NULL) {
        pthread_mutex_destroy(&log->lock);
        free(log->entries);
        free(log);
    }
}

/* Records a decision about `request`, a call below the root request `root`. */
void
decision_log_add(decision_log *log, const char *root, const char *request,
                 const char *format, ...)
{
    va_list args;
    va_start(args, format);
    pthread_mutex_lock(&log->lock);
    decision_log_entry *entry = &log->entries[log->added++ % log->capacity];
    entry->ms = clock_wall_ms();
    snprintf(entry->root, sizeof(entry->root), "%s", root);
    snprintf(entry->request, sizeof(entry->request), "%s", request);
    vsnprintf(entry->text, sizeof(entry->text), format, args);
    pthread_mutex_unlock(&log->lock);
    va_end(args);
}

/* Decisions about a request or about any call below it, oldest first, as a
 * new JSON array. */
json_t *
decision_log_find(decision_log *log, const char *request)
{
    json_t *matches = json_array();
    pthread_mutex_lock(&log->lock);
    size_t start = log->added > log->capacity ? log->added - log->capacity : 0;
    for (size_t i = start; i < log->added; i++) {
        const decision_log_entry *entry = &log->entries[i % log->capacity];
        if (strcmp(entry->root, request) == 0 ||
            strcmp(entry->request, request) == 0) {
            json_array_append_new(matches, json_pack("{s:I,s:s,s:s,s:s}", "ms",
                                                     (json_int_t)entry->ms,
                                                     "root", entry->root,
                                                     "request", entry->request,
                                                     "decision", entry->text));
        }
    }
    pthread_mutex_unlock(&log->lock);
    return matches;
}
