/*
 * log: JSON lines on standard error, one object a line, with level, wall
 * time, process name, request id where there is one, and a message.
 */
#ifndef LAV_LOG_H
#define LAV_LOG_H

#ifdef __cplusplus
extern "C" {
#endif

enum log_level {
    LOG_DEBUG,
    LOG_INFO,
    LOG_WARN,
    LOG_ERROR
};

void log_setup(const char *process_name, enum log_level lowest);
int log_level_parse(enum log_level *out, const char *name);
void log_write(enum log_level level, const char *request_id,
               const char *format, ...) __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
