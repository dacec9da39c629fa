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

#define LOG_MESSAGE_SIZE 512 /* bytes, with the closing NUL */
#define LOG_NAME_SIZE 64     /* bytes, with the closing NUL */

/* How many lines of an event may be written now: a second's worth at most,
 * coming back evenly, so that a flood is sampled all the time. */
typedef struct log_rate {
    const char *event;
    double lines;
    int64_t filled_us; /* when it was last counted up */
    int64_t second;    /* when lines were last said to be left out */
    int left_out;
} log_rate;

static char log_name[LOG_NAME_SIZE] = "lavenderfield";
static enum log_level log_lowest = LOG_INFO;
static const char *const log_level_names[] = {"debug", "info", "warn",
                                              "error"};
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static log_rate log_rates[LOG_EVENTS_MAX];
static int log_rate_count;
static size_t log_lines_lost;

/* Set the process name and the lowest level that is written; standard output
 * does not block from now on. */
void
log_init(const char *process_name, enum log_level lowest)
{
    snprintf(log_name, sizeof(log_name), "%s", process_name);
    log_lowest = lowest;
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Parse a level's name; returns 0, or -1 where there is no such level. */
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

/* Lines that the reader of the log was too slow for. */
size_t
log_count_dropped(void)
{
    pthread_mutex_lock(&log_lock);
    size_t lost = log_lines_lost;
    pthread_mutex_unlock(&log_lock);
    return lost;
}

/* Write a line, one write(2), and release it. */
static void
log_put(json_t *line)
{
    char *text = line == NULL ? NULL : json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text == NULL) {
        return; /* a value is not UTF-8 */
    }
    size_t length = strlen(text);
    text[length] = '\n'; /* in place of the NUL */
    if (write(STDOUT_FILENO, text, length + 1) < 0) {
        pthread_mutex_lock(&log_lock);
        log_lines_lost++;
        pthread_mutex_unlock(&log_lock);
    }
    free(text);
}

static json_t *
log_line(enum log_level level, const char *event, const char *request_id)
{
    json_t *line = json_pack(
        "{s:I,s:s,s:s,s:s}", "ms", (json_int_t)clock_wall_ms(), "level",
        log_level_names[level], "process", log_name, "event", event);
    if (line != NULL && request_id != NULL) {
        json_object_set_new(line, "request", json_string(request_id));
    }
    return line;
}

/* Write a line with a message; `request_id` may be NULL. */
void
log_write(enum log_level level, const char *request_id, const char *format,
          ...)
{
    if (level < log_lowest) {
        return;
    }
    char message[LOG_MESSAGE_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    json_t *line = log_line(level, "message", request_id);
    json_object_set_new(line, "message", json_string(message));
    log_put(line);
}

static log_rate *
log_rate_of(const char *event)
{
    for (int i = 0; i < log_rate_count; i++) {
        if (strcmp(log_rates[i].event, event) == 0) {
            return &log_rates[i];
        }
    }
    if (log_rate_count == LOG_EVENTS_MAX) {
        return &log_rates[LOG_EVENTS_MAX - 1];
    }
    log_rates[log_rate_count] = (log_rate){.event = event};
    return &log_rates[log_rate_count++];
}

/* Count up the lines that may be written since the last time; more than a
 * second's worth are not saved up. */
static void
log_refill(log_rate *rate, int lines_per_s, int64_t now_us)
{
    int64_t passed_us = now_us - rate->filled_us;
    if (rate->filled_us == 0 || passed_us >= CLOCK_US_PER_S) {
        rate->lines = lines_per_s;
    }
    else {
        double more = (double)passed_us * lines_per_s / CLOCK_US_PER_S;
        rate->lines = MIN(rate->lines + more, lines_per_s);
    }
    rate->filled_us = now_us;
}

/* Whether a line of this event (static text) may be written now; if not, it
 * is counted.  Asked before the fields are worked out. */
bool
log_allow_line(const char *event, int lines_per_s)
{
    int64_t now_us = clock_now_us();
    int left_out = 0;
    pthread_mutex_lock(&log_lock);
    log_rate *rate = log_rate_of(event);
    log_refill(rate, lines_per_s, now_us);
    if (rate->second != now_us / CLOCK_US_PER_S) {
        rate->second = now_us / CLOCK_US_PER_S;
        left_out = rate->left_out;
        rate->left_out = 0;
    }
    bool due = rate->lines >= 1;
    if (due) {
        rate->lines--;
    }
    else {
        rate->left_out++;
    }
    pthread_mutex_unlock(&log_lock);
    if (left_out > 0) {
        json_t *line = log_line(LOG_INFO, "left_out", NULL);
        json_object_set_new(line, "of", json_string(event));
        json_object_set_new(line, "lines", json_integer(left_out));
        log_put(line);
    }
    return due;
}

/* Write a line with fields: `fields` is a format of json_pack() for an
 * object, followed by its values. */
void
log_event(enum log_level level, const char *event, const char *request_id,
          const char *fields, ...)
{
    if (level < log_lowest) {
        return;
    }
    va_list args;
    va_start(args, fields);
    json_t *packed = json_vpack_ex(NULL, 0, fields, args);
    va_end(args);
    json_t *line = log_line(level, event, request_id);
    if (packed != NULL) {
        json_object_update_missing(line, packed);
        json_decref(packed);
    }
    log_put(line);
}
