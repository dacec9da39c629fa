/*
 * lgr: the logs of several nodes, read into one list in order of time, and
 * what they say of one request: its own lines, and those of failed calls
 * that may stand below it.
 *
 * Calls of targets have ids of their own that don't name their parent.  A
 * call may stand below a request when it began at the node beside the target
 * that ran the request, while it ran there.
 */
#ifndef LAV_LGR_H
#define LAV_LGR_H

#include <jansson.h>
#include <stddef.h>

#include "lav/err.h"

#define LGR_DEPTH_MAX 8    /* hops followed down; chains are up to 7 deep */
#define LGR_BELOW_MAX 1000 /* calls taken as standing below one request */

typedef struct lgr lgr;

int lgr_new(lgr **out, err *e);
void lgr_free(lgr *g);
int lgr_read(lgr *g, const char *path, err *e);
size_t lgr_unread(const lgr *g);
json_t *lgr_explain(lgr *g, const char *request);

#endif
