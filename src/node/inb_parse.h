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

typedef struct inb_announcement {
    char url[NST_URL_SIZE];
    int slots;
    bool draining;
    bool cold;
    uint64_t start; /* changes with each start of the target */
} inb_announcement;

int inb_parse_path(cal_call *call, const char *url);
void inb_parse_headers(cal_call *call, const inb_headers *headers);
int inb_parse_announcement(inb_announcement *out, const char *text, err *e);

#endif
