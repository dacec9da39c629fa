/*
 * log_reader: merges the logs of several nodes in order of time and selects
 * the lines of one request and of the failed downstream calls it may have
 * made.
 *
 * The ids of calls made by targets do not name their parent.  A call counts as
 * a possible child of a request if the node of the target that ran the request
 * logged the call's end while the target was running the request.
 */
#ifndef LAV_LOG_READER_H
#define LAV_LOG_READER_H

#include <jansson.h>
#include <stddef.h>

#include "lav/err.h"

#define LOG_READER_DEPTH_MAX                                                  \
    8 /* limit on hops followed downstream; call chains are up to 7 deep */
#define LOG_READER_CALLS_MAX 1000 /* limit on requests in one explanation */

typedef struct log_reader log_reader;

int log_reader_new(log_reader **out, err *e);
void log_reader_free(log_reader *reader);
int log_reader_read(log_reader *reader, const char *path, err *e);
size_t log_reader_skipped_lines(const log_reader *reader);
json_t *log_reader_explain(log_reader *reader, const char *request);

#endif
