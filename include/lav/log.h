/*
 * log: JSON lines on standard output, one object a line: time, level,
 * process, event, the id of the request where there is one, and the fields
 * of the event.  A reader that doesn't read costs lines, never time; a kind
 * of event that comes too often is cut to LOG_LINES_PER_S, and what was left
 * out is counted in a line of its own.
 */
#ifndef LAV_LOG_H
#define LAV_LOG_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define LOG_LINES_PER_S 40 /* of one event; a line costs some 10 us */
#define LOG_EVENTS_MAX 64  /* kinds of events told apart */

enum log_level {
    LOG_DEBUG,
    LOG_INFO,
    LOG_WARN,
    LOG_ERROR
};

void log_init(const char *process_name, enum log_level lowest);
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
