/*
 * explain_verdict: says for which workspace a request was taken, and by what
 * it was refused, from the log lines of the node that took it.
 */
#ifndef LAV_TOOL_EXPLAIN_VERDICT_H
#define LAV_TOOL_EXPLAIN_VERDICT_H

#include <jansson.h>
#include <stddef.h>

#define EXPLAIN_VERDICT_SIZE 512 /* bytes, with the terminating NUL */

void explain_verdict(char *out, size_t size, const json_t *lines);

#endif
