#include "lav/retry_ledger.h"

#include <stdlib.h>

#include "lav/err.h"

typedef struct retry_ledger {
    uint64_t token; /* 0 where the entry is free */
    int left;       /* extra attempts not yet handed out */
    int lent;       /* handed out and not yet accounted for */
} retry_ledger;

struct retry_ledger_table {
    size_t count;
    retry_ledger *ledgers;
};

/* Make a table of at most `ledgers_max` open ledgers. */
int
retry_ledger_new(retry_ledger_table **out, size_t ledgers_max)
{
    retry_ledger_table *b = calloc(1, sizeof(*b));
    if (b == NULL) {
        return ERR_NO_MEMORY;
    }
    b->ledgers = calloc(ledgers_max, sizeof(*b->ledgers));
    b->count = ledgers_max;
    if (b->ledgers == NULL) {
        free(b);
        return ERR_NO_MEMORY;
    }
    *out = b;
    return 0;
}

/* Release the table; takes NULL. */
void
retry_ledger_free(retry_ledger_table *b)
{
    if (b != NULL) {
        free(b->ledgers);
        free(b);
    }
}

static retry_ledger *
retry_ledger_find(retry_ledger_table *b, uint64_t token)
{
    for (size_t i = 0; i < b->count; i++) {
        if (b->ledgers[i].token == token) {
            return &b->ledgers[i];
        }
    }
    return NULL;
}

/* Open a ledger with `amount` extra attempts for a call in service;
 * ERR_FULL where the table is full or the token is in use or 0. */
int
retry_ledger_open(retry_ledger_table *b, uint64_t token, int amount)
{
    if (token == 0 || retry_ledger_find(b, token) != NULL) {
        return ERR_FULL;
    }
    retry_ledger *ledger = retry_ledger_find(b, 0);
    if (ledger == NULL) {
        return ERR_FULL;
    }
    ledger->token = token;
    ledger->left = amount > 0 ? amount : 0;
    ledger->lent = 0;
    return 0;
}

/* Extra attempts that a ledger can still hand out. */
int
retry_ledger_left(retry_ledger_table *b, uint64_t token)
{
    const retry_ledger *ledger =
        token == 0 ? NULL : retry_ledger_find(b, token);
    return ledger == NULL ? 0 : ledger->left;
}

/* Debit up to `want` extra attempts and return how many were granted; a
 * token that is not open is granted none. */
int
retry_ledger_take(retry_ledger_table *b, uint64_t token, int want)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(b, token);
    if (ledger == NULL || want <= 0) {
        return 0;
    }
    int granted = want < ledger->left ? want : ledger->left;
    ledger->left -= granted;
    ledger->lent += granted;
    return granted;
}

/* Settle a loan of `granted` extra attempts: credit what was not used, and
 * never more than was granted.  Each loan is settled at most once. */
void
retry_ledger_repay(retry_ledger_table *b, uint64_t token, int granted,
                   int unused)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(b, token);
    if (ledger == NULL || granted <= 0 || granted > ledger->lent) {
        return;
    }
    int credited = unused < granted ? unused : granted;
    ledger->lent -= granted;
    ledger->left += credited > 0 ? credited : 0;
}

/* Close a ledger and return what is left, which goes back to the caller
 * with the reply; what is still lent counts as spent. */
int
retry_ledger_close(retry_ledger_table *b, uint64_t token)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(b, token);
    if (ledger == NULL) {
        return 0;
    }
    int left = ledger->left;
    *ledger = (retry_ledger){0, 0, 0};
    return left;
}

/* Share of `left` for one sub-call where `calls_to_come` may still follow:
 * an even part, rounded up, so that an early failure can be retried. */
int
retry_ledger_share_of(int left, int calls_to_come)
{
    int parts = calls_to_come > 0 ? calls_to_come : 1;
    return (left + parts - 1) / parts;
}

/* Credit the bucket for one finished call. */
void
retry_bucket_credit(retry_bucket *bucket)
{
    bucket->tenths += RETRY_BUCKET_CREDIT_TENTHS;
    if (bucket->tenths > RETRY_BUCKET_MAX_TENTHS) {
        bucket->tenths = RETRY_BUCKET_MAX_TENTHS;
    }
}

/* Debit one retry; 0, or ERR_FULL where the bucket holds too little. */
int
retry_bucket_take(retry_bucket *bucket)
{
    if (bucket->tenths < RETRY_BUCKET_COST_TENTHS) {
        return ERR_FULL;
    }
    bucket->tenths -= RETRY_BUCKET_COST_TENTHS;
    return 0;
}
