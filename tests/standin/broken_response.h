/*
 * broken_response: tables of responses that are not valid HTTP/1.1, and of
 * unusual ones that are.  A stand-in sends the start of a case, the fields
 * that the client under test asks for, and then the rest; a flood repeats some
 * bytes after that.
 */
#ifndef LAV_BROKEN_RESPONSE_H
#define LAV_BROKEN_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BROKEN_RESPONSE_BODY "ok" /* of the valid ones */

/* Bytes of a response; they may contain NUL. */
typedef struct broken_response_part {
    const char *bytes;
    size_t length;
} broken_response_part;

typedef struct broken_response {
    const char *name;
    broken_response_part start; /* up to and including the status line */
    broken_response_part rest;  /* further fields and the body */
} broken_response;

typedef struct broken_response_table {
    const broken_response *cases;
    size_t count;
} broken_response_table;

extern const broken_response_table broken_status_lines;
extern const broken_response_table broken_fields;
extern const broken_response_table broken_framing;
extern const broken_response_table broken_chunks;
extern const broken_response_table valid_responses;

#define BROKEN_RESPONSE_TABLE_COUNT 4

/* Those of responses that are not valid. */
extern const broken_response_table
    *const broken_response_tables[BROKEN_RESPONSE_TABLE_COUNT];

const broken_response *broken_response_get(uint64_t number);

bool broken_response_repeat(int fd, const char *repeated);
void broken_response_send(int fd, const broken_response *response,
                          const char *fields);

#endif
