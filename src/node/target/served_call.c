#include "served_call.h"

#include <pthread.h>
#include <stdlib.h>

#include "lav/retry_ledger.h"
#include "lav/err.h"

typedef struct served_call_entry {
    uint64_t token; /* 0 where the entry is free */
    served_call_context context;
    int calls_open;
    int64_t open_since_us; /* with calls_open > 0 */
    int64_t calls_us;      /* time with at least one call open */
    size_t made;
    uint64_t made_hashes[SERVED_CALL_SUBCALLS_MAX];
} served_call_entry;

struct served_call_table {
    pthread_mutex_t lock;
    retry_ledger_table *budgets;
    size_t count;
    served_call_entry *served;
};

/* Make a table of at most `served_max` calls. */
int
served_call_new(served_call_table **out, size_t served_max)
{
    served_call_table *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&t->lock, NULL);
    t->served = calloc(served_max, sizeof(*t->served));
    t->count = served_max;
    if (t->served == NULL || retry_ledger_new(&t->budgets, served_max) < 0) {
        served_call_free(t);
        return ERR_NO_MEMORY;
    }
    *out = t;
    return 0;
}

/* Release the table; takes NULL. */
void
served_call_free(served_call_table *t)
{
    if (t != NULL) {
        retry_ledger_free(t->budgets);
        free(t->served);
        pthread_mutex_destroy(&t->lock);
        free(t);
    }
}

static served_call_entry *
served_call_lookup(served_call_table *t, uint64_t token)
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
served_call_open(served_call_table *t, uint64_t token,
                 const served_call_context *context, int budget)
{
    pthread_mutex_lock(&t->lock);
    served_call_entry *served = served_call_lookup(t, 0);
    int result = served == NULL ? ERR_FULL : 0;
    if (result == 0) {
        result = retry_ledger_open(t->budgets, token, budget);
    }
    if (result == 0) {
        *served = (served_call_entry){.token = token, .context = *context};
    }
    pthread_mutex_unlock(&t->lock);
    return result;
}

/* Context of a call in service; false where the token is not one. */
bool
served_call_find(served_call_context *out, served_call_table *t,
                 uint64_t token)
{
    if (token == 0) {
        return false;
    }
    pthread_mutex_lock(&t->lock);
    const served_call_entry *served = served_call_lookup(t, token);
    if (served != NULL) {
        *out = served->context;
    }
    pthread_mutex_unlock(&t->lock);
    return served != NULL;
}

/* Take a share of the budget for one call of the target. */
int
served_call_take_budget(served_call_table *t, uint64_t token,
                        int calls_to_come)
{
    pthread_mutex_lock(&t->lock);
    int share = retry_ledger_share_of(retry_ledger_left(t->budgets, token),
                                      calls_to_come);
    share = retry_ledger_take(t->budgets, token, share);
    pthread_mutex_unlock(&t->lock);
    return share;
}

static bool
served_call_made_before(const served_call_entry *served, uint64_t request_hash)
{
    if (served->made >= SERVED_CALL_SUBCALLS_MAX) {
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
served_call_begin_subcall(served_call_table *t, uint64_t token,
                          uint64_t request_hash, int64_t now_us)
{
    bool first = false;
    pthread_mutex_lock(&t->lock);
    served_call_entry *served =
        token == 0 ? NULL : served_call_lookup(t, token);
    if (served != NULL) {
        first = !served_call_made_before(served, request_hash);
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
served_call_end_subcall(served_call_table *t, uint64_t token, int granted,
                        int unused, int64_t now_us)
{
    pthread_mutex_lock(&t->lock);
    served_call_entry *served =
        token == 0 ? NULL : served_call_lookup(t, token);
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
served_call_close(int64_t *out_calls_us, served_call_table *t, uint64_t token,
                  int64_t now_us)
{
    *out_calls_us = 0;
    int left = 0;
    pthread_mutex_lock(&t->lock);
    served_call_entry *served =
        token == 0 ? NULL : served_call_lookup(t, token);
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
