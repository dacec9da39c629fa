#include "tok.h"

#include <pthread.h>
#include <stdlib.h>

#include "lav/retry_ledger.h"
#include "lav/err.h"

typedef struct tok_served {
    uint64_t token; /* 0 where the entry is free */
    tok_context context;
    int calls_open;
    int64_t open_since_us; /* with calls_open > 0 */
    int64_t calls_us;      /* time with at least one call open */
    size_t made;
    uint64_t made_hashes[TOK_CALLS_MAX];
} tok_served;

struct tok {
    pthread_mutex_t lock;
    retry_ledger_table *budgets;
    size_t count;
    tok_served *served;
};

/* Make a table of at most `served_max` calls. */
int
tok_new(tok **out, size_t served_max)
{
    tok *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&t->lock, NULL);
    t->served = calloc(served_max, sizeof(*t->served));
    t->count = served_max;
    if (t->served == NULL || retry_ledger_new(&t->budgets, served_max) < 0) {
        tok_free(t);
        return ERR_NO_MEMORY;
    }
    *out = t;
    return 0;
}

/* Release the table; takes NULL. */
void
tok_free(tok *t)
{
    if (t != NULL) {
        retry_ledger_free(t->budgets);
        free(t->served);
        pthread_mutex_destroy(&t->lock);
        free(t);
    }
}

static tok_served *
tok_lookup(tok *t, uint64_t token)
{
    for (size_t i = 0; i < t->count; i++) {
        if (t->served[i].token == token) {
            return &t->served[i];
        }
    }
    return NULL;
}

/* A call is about to be handed to the target. */
int
tok_open(tok *t, uint64_t token, const tok_context *context, int budget)
{
    pthread_mutex_lock(&t->lock);
    tok_served *served = tok_lookup(t, 0);
    int result = served == NULL ? ERR_FULL : 0;
    if (result == 0) {
        result = retry_ledger_open(t->budgets, token, budget);
    }
    if (result == 0) {
        *served = (tok_served){.token = token, .context = *context};
    }
    pthread_mutex_unlock(&t->lock);
    return result;
}

/* Context of a call in service; false where the token is not one. */
bool
tok_find(tok_context *out, tok *t, uint64_t token)
{
    if (token == 0) {
        return false;
    }
    pthread_mutex_lock(&t->lock);
    const tok_served *served = tok_lookup(t, token);
    if (served != NULL) {
        *out = served->context;
    }
    pthread_mutex_unlock(&t->lock);
    return served != NULL;
}

/* Take a share of the budget for one call of the target. */
int
tok_take(tok *t, uint64_t token, int calls_to_come)
{
    pthread_mutex_lock(&t->lock);
    int share = retry_ledger_share_of(retry_ledger_left(t->budgets, token),
                                      calls_to_come);
    share = retry_ledger_take(t->budgets, token, share);
    pthread_mutex_unlock(&t->lock);
    return share;
}

static bool
tok_made_before(const tok_served *served, uint64_t request_hash)
{
    if (served->made >= TOK_CALLS_MAX) {
        return true; /* not remembered: can't be ruled out */
    }
    for (size_t i = 0; i < served->made; i++) {
        if (served->made_hashes[i] == request_hash) {
            return true;
        }
    }
    return false;
}

/* The target makes a call; true where it is the first one with this id
 * for the call that it serves. */
bool
tok_call_begin(tok *t, uint64_t token, uint64_t request_hash, int64_t now_us)
{
    bool first = false;
    pthread_mutex_lock(&t->lock);
    tok_served *served = token == 0 ? NULL : tok_lookup(t, token);
    if (served != NULL) {
        first = !tok_made_before(served, request_hash);
        if (first) {
            served->made_hashes[served->made++] = request_hash;
        }
        if (served->calls_open++ == 0) {
            served->open_since_us = now_us;
        }
    }
    pthread_mutex_unlock(&t->lock);
    return first;
}

/* A call of the target has been answered. */
void
tok_call_end(tok *t, uint64_t token, int granted, int unused, int64_t now_us)
{
    pthread_mutex_lock(&t->lock);
    tok_served *served = token == 0 ? NULL : tok_lookup(t, token);
    if (served != NULL) {
        retry_ledger_repay(t->budgets, token, granted, unused);
        if (served->calls_open > 0 && --served->calls_open == 0) {
            served->calls_us += now_us - served->open_since_us;
        }
    }
    pthread_mutex_unlock(&t->lock);
}

/* The target has answered; returns the budget left and, in `out_calls_us`,
 * the time that the target spent waiting for its own calls. */
int
tok_close(int64_t *out_calls_us, tok *t, uint64_t token, int64_t now_us)
{
    *out_calls_us = 0;
    int left = 0;
    pthread_mutex_lock(&t->lock);
    tok_served *served = token == 0 ? NULL : tok_lookup(t, token);
    if (served != NULL) {
        if (served->calls_open > 0) {
            served->calls_us += now_us - served->open_since_us;
        }
        *out_calls_us = served->calls_us;
        left = retry_ledger_close(t->budgets, token);
        served->token = 0;
    }
    pthread_mutex_unlock(&t->lock);
    return left;
}
