/*
 * broken_request: tables of requests that are not valid HTTP/1.1, and of
 * unusual ones that are.  A test sends the start of a case, the fields that
 * the server under test asks for, and then the rest.
 */
#ifndef LAV_BROKEN_REQUEST_H
#define LAV_BROKEN_REQUEST_H

#include <stddef.h>

#define BROKEN_REQUEST_PATH "/n/ok"
#define BROKEN_REQUEST_BODY "ok" /* of the valid ones that have one */

/* Bytes of a request; they may contain NUL. */
typedef struct broken_request_part {
    const char *bytes;
    size_t length;
} broken_request_part;

typedef struct broken_request {
    const char *name;
    broken_request_part start; /* up to and including the request line */
    broken_request_part rest;  /* further fields and the body */
    int status;                /* of the response; 0: valid */
} broken_request;

typedef struct broken_request_table {
    const char *name;
    const broken_request *cases;
    size_t count;
} broken_request_table;

extern const broken_request_table broken_request_lines;
extern const broken_request_table broken_request_fields;
extern const broken_request_table broken_request_framing;
extern const broken_request_table broken_request_chunks;
extern const broken_request_table valid_requests;

#define BROKEN_REQUEST_TABLE_COUNT 4

/* Those of requests that are not valid. */
extern const broken_request_table
    *const broken_request_tables[BROKEN_REQUEST_TABLE_COUNT];

#endif
