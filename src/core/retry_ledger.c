#include "lav/retry_ledger.h"

#include <stdlib.h>

#include "lav/err.h"

typedef struct retry_ledger {
    uint64_t token;  /* 0 if the entry is free */
    int left;        /* extra attempts not granted yet */
    int outstanding; /* granted to sub-calls that have not settled yet */
} retry_ledger;

struct retry_ledger_table {
    size_t capacity;
    retry_ledger *ledgers;
};

/* Creates a table of at most `ledgers_max` open ledgers.  ERR_NO_MEMORY if
 * memory is exhausted. */
int
retry_ledger_new(retry_ledger_table **out, size_t ledgers_max)
{
    retry_ledger_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->ledgers = calloc(ledgers_max, sizeof(*table->ledgers));
    table->capacity = ledgers_max;
    if (table->ledgers == NULL) {
        free(table);
        return ERR_NO_MEMORY;
    }
    *out = table;
    return 0;
}

/* Frees the table; NULL is allowed. */
void
retry_ledger_free(retry_ledger_table *table)
{
    if (table != NULL) {
        free(table->ledgers);
        free(table);
    }
}

/* Returns the ledger of a token, or a free entry for token 0; NULL if there is
 * none. */
static retry_ledger *
retry_ledger_find(retry_ledger_table *table, uint64_t token)
{
    for (size_t i = 0; i < table->capacity; i++) {
        if (table->ledgers[i].token == token) {
            return &table->ledgers[i];
        }
    }
    return NULL;
}

/* Opens a ledger with `amount` extra attempts for a call that the target
 * serves; ERR_FULL if the table is full or the token is in use or 0. */
int
retry_ledger_open(retry_ledger_table *table, uint64_t token, int amount)
{
    if (token == 0 || retry_ledger_find(table, token) != NULL) {
        return ERR_FULL;
    }
    retry_ledger *ledger = retry_ledger_find(table, 0);
    if (ledger == NULL) {
        return ERR_FULL;
    }
    ledger->token = token;
    ledger->left = amount > 0 ? amount : 0;
    ledger->outstanding = 0;
    return 0;
}

/* Returns the extra attempts that a ledger can still grant; 0 if it is not
 * open. */
int
retry_ledger_left(retry_ledger_table *table, uint64_t token)
{
    const retry_ledger *ledger =
        token == 0 ? NULL : retry_ledger_find(table, token);
    return ledger == NULL ? 0 : ledger->left;
}

/* Debits up to `want` extra attempts and returns how many were granted; 0 if
 * the ledger is not open. */
int
retry_ledger_take(retry_ledger_table *table, uint64_t token, int want)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(table, token);
    if (ledger == NULL || want <= 0) {
        return 0;
    }
    int granted = want < ledger->left ? want : ledger->left;
    ledger->left -= granted;
    ledger->outstanding += granted;
    return granted;
}

/* Settles a grant of `granted` extra attempts: credits the unused ones, never
 * more than were granted.  Each grant is settled at most once. */
void
retry_ledger_settle(retry_ledger_table *table, uint64_t token, int granted,
                    int unused)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(table, token);
    if (ledger == NULL || granted <= 0 || granted > ledger->outstanding) {
        return;
    }
    int credited = unused < granted ? unused : granted;
    ledger->outstanding -= granted;
    ledger->left += credited > 0 ? credited : 0;
}

/* Closes a ledger and returns the extra attempts left, which go back to the
 * caller with the reply; grants that have not settled count as spent. */
int
retry_ledger_close(retry_ledger_table *table, uint64_t token)
{
    retry_ledger *ledger = token == 0 ? NULL : retry_ledger_find(table, token);
    if (ledger == NULL) {
        return 0;
    }
    int left = ledger->left;
    *ledger = (retry_ledger){0, 0, 0};
    return left;
}

/* Returns the share of `left` for one sub-call out of `calls_to_come`: an
 * equal part, rounded up so that an early failure can be retried. */
int
retry_ledger_share_of(int left, int calls_to_come)
{
    int shares = calls_to_come > 0 ? calls_to_come : 1;
    return (left + shares - 1) / shares;
}

/* Credits the bucket for one successful call. */
void
retry_bucket_credit(retry_bucket *bucket)
{
    bucket->tenths += RETRY_BUCKET_CREDIT_TENTHS;
    if (bucket->tenths > RETRY_BUCKET_MAX_TENTHS) {
        bucket->tenths = RETRY_BUCKET_MAX_TENTHS;
    }
}

/* Debits one retry; ERR_FULL if the bucket holds too little. */
int
retry_bucket_take(retry_bucket *bucket)
{
    if (bucket->tenths < RETRY_BUCKET_COST_TENTHS) {
        return ERR_FULL;
    }
    bucket->tenths -= RETRY_BUCKET_COST_TENTHS;
    return 0;
}
