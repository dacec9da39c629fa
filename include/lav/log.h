/*
 * log: structured log, one JSON object per line on standard output: time,
 * level, process, event, request id where there is one, and fields.  Writing
 * never blocks: lines that the reader is too slow for are dropped.
 * log_allow_line() limits the rate of an event and reports the number of
 * suppressed lines in a "left_out" line.
 */
#ifndef LAV_LOG_H
#define LAV_LOG_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define LOG_LINES_PER_S 40 /* per event; writing a line takes about 10 us */
#define LOG_EVENTS_MAX 64  /* events with a rate limit of their own */

enum log_level {
    LOG_DEBUG,
    LOG_INFO,
    LOG_WARN,
    LOG_ERROR
};

void log_init(const char *process_name, enum log_level min_level);
int log_level_parse(enum log_level *out, const char *name);
void log_write(enum log_level level, const char *request_id,
               const char *format, ...) __attribute__((format(printf, 3, 4)));
bool log_allow_line(const char *event, int lines_per_s);
void log_event(enum log_level level, const char *event, const char *request_id,
               const char *fields, ...);
size_t log_count_dropped(void);

#ifdef __cplusplus
}
#endif

#endif
