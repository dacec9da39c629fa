/*
 * xpl: the last decisions of this node, so that an operator can ask why a
 * request was refused, retried or routed so.
 */
#ifndef LAV_NODE_XPL_H
#define LAV_NODE_XPL_H

#include <jansson.h>

#include "lav/id.h"

typedef struct xpl xpl;

int xpl_new(xpl **out, size_t decisions_max);
void xpl_free(xpl *x);
void xpl_note(xpl *x, const char *root, const char *request,
              const char *format, ...) __attribute__((format(printf, 4, 5)));
json_t *xpl_find(xpl *x, const char *request);

#endif
