/*
 * log_reader: the logs of several nodes, read into one list in order of time, and
 * what they say of one request: its own lines, and those of failed calls
 * that may stand below it.
 *
 * Calls of targets have ids of their own that don't name their parent.  A
 * call may stand below a request when it began at the node beside the target
 * that ran the request, while it ran there.
 */
#ifndef LAV_LOG_READER_H
#define LAV_LOG_READER_H

#include <jansson.h>
#include <stddef.h>

#include "lav/err.h"

#define LOG_READER_DEPTH_MAX                                                  \
    8 /* hops followed down; chains are up to 7 deep */
#define LOG_READER_CALLS_MAX                                                  \
    1000 /* calls taken as standing below one request */

typedef struct log_reader log_reader;

int log_reader_new(log_reader **out, err *e);
void log_reader_free(log_reader *g);
int log_reader_read(log_reader *g, const char *path, err *e);
size_t log_reader_skipped_lines(const log_reader *g);
json_t *log_reader_explain(log_reader *g, const char *request);

#endif
