/*
 * ingress_parse: parses and validates the path and the headers of an HTTP
 * request from a caller or from the local target.
 */
#ifndef LAV_NODE_INGRESS_PARSE_H
#define LAV_NODE_INGRESS_PARSE_H

#include "pending.h"

typedef struct ingress_headers {
    const char *request_id; /* every field may be NULL */
    const char *attempt;
    const char *earlier;
    const char *context;
    const char *key;
    const char *content_type;
} ingress_headers;

int ingress_parse_path(pending_call *call, const char *url);
void ingress_parse_headers(pending_call *call, const ingress_headers *headers);

#endif
