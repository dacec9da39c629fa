#include "lav/bud.h"

#include <stdlib.h>

#include "lav/err.h"

typedef struct bud_ledger {
    uint64_t token; /* 0 where the entry is free */
    int left;       /* extra attempts not yet handed out */
    int lent;       /* handed out and not yet accounted for */
} bud_ledger;

struct bud {
    size_t count;
    bud_ledger *ledgers;
};

/* Make a table of at most `ledgers_max` open ledgers. */
int
bud_new(bud **out, size_t ledgers_max)
{
    bud *b = calloc(1, sizeof(*b));
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
bud_free(bud *b)
{
    if (b != NULL) {
        free(b->ledgers);
        free(b);
    }
}

static bud_ledger *
bud_find(bud *b, uint64_t token)
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
bud_open(bud *b, uint64_t token, int amount)
{
    if (token == 0 || bud_find(b, token) != NULL) {
        return ERR_FULL;
    }
    bud_ledger *ledger = bud_find(b, 0);
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
bud_left(bud *b, uint64_t token)
{
    const bud_ledger *ledger = token == 0 ? NULL : bud_find(b, token);
    return ledger == NULL ? 0 : ledger->left;
}

/* Debit up to `want` extra attempts and return how many were granted; a
 * token that is not open is granted none. */
int
bud_take(bud *b, uint64_t token, int want)
{
    bud_ledger *ledger = token == 0 ? NULL : bud_find(b, token);
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
bud_settle(bud *b, uint64_t token, int granted, int unused)
{
    bud_ledger *ledger = token == 0 ? NULL : bud_find(b, token);
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
bud_close(bud *b, uint64_t token)
{
    bud_ledger *ledger = token == 0 ? NULL : bud_find(b, token);
    if (ledger == NULL) {
        return 0;
    }
    int left = ledger->left;
    *ledger = (bud_ledger){0, 0, 0};
    return left;
}

/* Share of `left` for one sub-call where `calls_to_come` may still follow:
 * an even part, rounded up, so that an early failure can be retried. */
int
bud_share(int left, int calls_to_come)
{
    int parts = calls_to_come > 0 ? calls_to_come : 1;
    return (left + parts - 1) / parts;
}

/* Credit the bucket for one finished call. */
void
bud_bucket_success(bud_bucket *bucket)
{
    bucket->tenths += BUD_RATIO_TENTHS;
    if (bucket->tenths > BUD_BUCKET_MAX) {
        bucket->tenths = BUD_BUCKET_MAX;
    }
}

/* Debit one retry; 0, or ERR_FULL where the bucket holds too little. */
int
bud_bucket_take(bud_bucket *bucket)
{
    if (bucket->tenths < BUD_TENTHS) {
        return ERR_FULL;
    }
    bucket->tenths -= BUD_TENTHS;
    return 0;
}
