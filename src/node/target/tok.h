/*
 * tok: the calls that the local target serves at this moment, by token.
 * The calls that the target makes are tied to them: class, depth, deadline
 * and retry budget come from here, not from what the target says.
 */
#ifndef LAV_NODE_TOK_H
#define LAV_NODE_TOK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"
#include "lav/svc.h"

#define TOK_CALLS_MAX 32 /* calls remembered of one served call */

typedef struct tok_context {
    id root;
    char operation[2 * SVC_NAME_SIZE]; /* that the target serves */
    int klass;
    int depth;
    bool first;
    int64_t deadline_us;
} tok_context;

typedef struct tok tok;

int tok_new(tok **out, size_t served_max);
void tok_free(tok *t);
int tok_open(tok *t, uint64_t token, const tok_context *context, int budget);
bool tok_find(tok_context *out, tok *t, uint64_t token);
int tok_take(tok *t, uint64_t token, int calls_to_come);
bool tok_call_begin(tok *t, uint64_t token, uint64_t request_hash,
                    int64_t now_us);
void tok_call_end(tok *t, uint64_t token, int granted, int unused,
                  int64_t now_us);
int tok_close(int64_t *out_calls_us, tok *t, uint64_t token, int64_t now_us);

#endif
