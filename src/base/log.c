#include "lav/log.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"

#define LOG_MESSAGE_SIZE 512 /* bytes, including the NUL */
#define LOG_NAME_SIZE 64     /* bytes, including the NUL */

/* Token bucket that limits the lines of one event.  It holds at most one
 * second's worth of tokens and is refilled continuously, so that a burst is
 * sampled evenly over each second. */
typedef struct log_bucket {
    const char *event;
    double tokens;
    int64_t refilled_us; /* time of the last refill; 0: never */
    int64_t reported_s;  /* second in which suppressed was last reset */
    int suppressed;      /* lines not written since then */
} log_bucket;

static char log_process_name[LOG_NAME_SIZE] = "lavenderfield";
static enum log_level log_min_level = LOG_INFO;
static const char *const log_level_names[] = {"debug", "info", "warn",
                                              "error"};
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static log_bucket log_buckets[LOG_EVENTS_MAX];
static int log_bucket_count;
static size_t log_lines_dropped;

/* Set the process name and the lowest level that is written, and make
 * standard output non-blocking. */
void
log_init(const char *process_name, enum log_level min_level)
{
    snprintf(log_process_name, sizeof(log_process_name), "%s", process_name);
    log_min_level = min_level;
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Parse the name of a level; returns 0, or -1 for an unknown name. */
int
log_level_parse(enum log_level *out, const char *name)
{
    for (int i = LOG_DEBUG; i <= LOG_ERROR; i++) {
        if (strcmp(name, log_level_names[i]) == 0) {
            *out = (enum log_level)i;
            return 0;
        }
    }
    return -1;
}

/* Return the number of lines dropped because standard output did not take
 * them. */
size_t
log_count_dropped(void)
{
    pthread_mutex_lock(&log_lock);
    size_t dropped = log_lines_dropped;
    pthread_mutex_unlock(&log_lock);
    return dropped;
}

/* Write a line with one write(2) and release it.  A line that cannot be
 * encoded is discarded. */
static void
log_write_line(json_t *line)
{
    char *text = line == NULL ? NULL : json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text == NULL) {
        return; /* e.g. a value is not valid UTF-8 */
    }
    size_t length = strlen(text);
    text[length] = '\n'; /* replaces the NUL */
    if (write(STDOUT_FILENO, text, length + 1) < 0) {
        pthread_mutex_lock(&log_lock);
        log_lines_dropped++;
        pthread_mutex_unlock(&log_lock);
    }
    free(text);
}

/* Make a JSON string; bytes that are not UTF-8 are replaced. */
static json_t *
log_new_string(const char *text)
{
    json_t *string = json_string(text);
    if (string == NULL) {
        char *valid = g_utf8_make_valid(text, -1);
        string = json_string(valid);
        g_free(valid);
    }
    return string;
}

/* Make a line with the common fields; `request_id` may be NULL. */
static json_t *
log_new_line(enum log_level level, const char *event, const char *request_id)
{
    json_t *line = json_pack(
        "{s:I,s:s,s:s,s:s}", "ms", (json_int_t)clock_wall_ms(), "level",
        log_level_names[level], "process", log_process_name, "event", event);
    if (line != NULL && request_id != NULL) {
        json_object_set_new(line, "request", log_new_string(request_id));
    }
    return line;
}

/* Log a printf-style message; `request_id` may be NULL. */
void
log_write(enum log_level level, const char *request_id, const char *format,
          ...)
{
    if (level < log_min_level) {
        return;
    }
    char message[LOG_MESSAGE_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    json_t *line = log_new_line(level, "message", request_id);
    json_object_set_new(line, "message", log_new_string(message));
    log_write_line(line);
}

/* Return the bucket of an event; past LOG_EVENTS_MAX events, further ones
 * share the last bucket.  Called with log_lock held. */
static log_bucket *
log_find_bucket(const char *event)
{
    for (int i = 0; i < log_bucket_count; i++) {
        if (strcmp(log_buckets[i].event, event) == 0) {
            return &log_buckets[i];
        }
    }
    if (log_bucket_count == LOG_EVENTS_MAX) {
        return &log_buckets[LOG_EVENTS_MAX - 1];
    }
    log_buckets[log_bucket_count] = (log_bucket){.event = event};
    return &log_buckets[log_bucket_count++];
}

/* Add the tokens due since the last refill, up to one second's worth. */
static void
log_refill_bucket(log_bucket *bucket, int lines_per_s, int64_t now_us)
{
    int64_t elapsed_us = now_us - bucket->refilled_us;
    if (bucket->refilled_us == 0 || elapsed_us >= CLOCK_US_PER_S) {
        bucket->tokens = lines_per_s;
    }
    else {
        double refill = (double)elapsed_us * lines_per_s / CLOCK_US_PER_S;
        bucket->tokens = MIN(bucket->tokens + refill, lines_per_s);
    }
    bucket->refilled_us = now_us;
}

/* Return whether the rate limit of an event allows another line now; if not,
 * the line is counted as suppressed.  Callers ask before they compute the
 * fields.  `event` must be a static string. */
bool
log_allow_line(const char *event, int lines_per_s)
{
    int64_t now_us = clock_now_us();
    int suppressed = 0;
    pthread_mutex_lock(&log_lock);
    log_bucket *bucket = log_find_bucket(event);
    log_refill_bucket(bucket, lines_per_s, now_us);
    if (bucket->reported_s != now_us / CLOCK_US_PER_S) {
        bucket->reported_s = now_us / CLOCK_US_PER_S;
        suppressed = bucket->suppressed;
        bucket->suppressed = 0;
    }
    bool allowed = bucket->tokens >= 1;
    if (allowed) {
        bucket->tokens--;
    }
    else {
        bucket->suppressed++;
    }
    pthread_mutex_unlock(&log_lock);
    if (suppressed > 0) {
        json_t *line = log_new_line(LOG_INFO, "left_out", NULL);
        json_object_set_new(line, "of", json_string(event));
        json_object_set_new(line, "lines", json_integer(suppressed));
        log_write_line(line);
    }
    return allowed;
}

/* Log an event with fields: `fields` is a json_pack() format that describes
 * an object, followed by its values.  `request_id` may be NULL.  If a value is
 * not UTF-8, the line says that its fields are lost. */
void
log_event(enum log_level level, const char *event, const char *request_id,
          const char *fields, ...)
{
    if (level < log_min_level) {
        return;
    }
    va_list args;
    va_start(args, fields);
    json_t *packed = json_vpack_ex(NULL, 0, fields, args);
    va_end(args);
    json_t *line = log_new_line(level, event, request_id);
    if (packed != NULL) {
        json_object_update_missing(line, packed);
        json_decref(packed);
    }
    else {
        json_object_set_new(line, "fields_lost", json_true());
    }
    log_write_line(line);
}
