/*
 * inb_parse: what one HTTP request of a caller or of the target says, taken
 * apart and checked.
 */
#ifndef LAV_NODE_INB_PARSE_H
#define LAV_NODE_INB_PARSE_H

#include "cal.h"

typedef struct inb_headers {
    const char *request_id; /* each may be NULL */
    const char *attempt;
    const char *earlier;
    const char *context;
    const char *key;
    const char *content_type;
} inb_headers;

int inb_parse_path(cal_call *call, const char *url);
void inb_parse_headers(cal_call *call, const inb_headers *headers);

#endif
