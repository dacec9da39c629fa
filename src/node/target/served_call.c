#include "served_call.h"

#include <pthread.h>
#include <stdlib.h>

#include "lav/retry_ledger.h"
#include "lav/err.h"

typedef struct served_call_entry {
    uint64_t token; /* 0: free entry */
    served_call_context context;
    int subcalls_open;
    int64_t open_since_us; /* valid while subcalls_open > 0 */
    int64_t subcalls_us;   /* time with at least one subcall open */
    size_t subcall_count;
    uint64_t subcall_hashes[SERVED_CALL_SUBCALLS_MAX];
} served_call_entry;

struct served_call_table {
    pthread_mutex_t lock;
    retry_ledger_table *budgets;
    size_t size;
    served_call_entry *entries;
};

/* Creates a table of at most `calls_max` calls.  0 or ERR_NO_MEMORY. */
int
served_call_new(served_call_table **out, size_t calls_max)
{
    served_call_table *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&t->lock, NULL);
    t->entries = calloc(calls_max, sizeof(*t->entries));
    t->size = calls_max;
    if (t->entries == NULL || retry_ledger_new(&t->budgets, calls_max) < 0) {
        served_call_free(t);
        return ERR_NO_MEMORY;
    }
    *out = t;
    return 0;
}

/* Frees the table; takes NULL. */
void
served_call_free(served_call_table *t)
{
    if (t != NULL) {
        retry_ledger_free(t->budgets);
        free(t->entries);
        pthread_mutex_destroy(&t->lock);
        free(t);
    }
}

/* Entry with this token (0: a free entry), or NULL. The lock is held. */
static served_call_entry *
served_call_find_entry(served_call_table *t, uint64_t token)
{
    for (size_t i = 0; i < t->size; i++) {
        if (t->entries[i].token == token) {
            return &t->entries[i];
        }
    }
    return NULL;
}

/* Adds a call that is about to be handed to the target, with its retry
 * budget.  0, or a negative code (ERR_FULL if the table is full). */
int
served_call_open(served_call_table *t, uint64_t token,
                 const served_call_context *context, int budget)
{
    pthread_mutex_lock(&t->lock);
    served_call_entry *entry = served_call_find_entry(t, 0);
    int result = entry == NULL ? ERR_FULL : 0;
    if (result == 0) {
        result = retry_ledger_open(t->budgets, token, budget);
    }
    if (result == 0) {
        *entry = (served_call_entry){.token = token, .context = *context};
    }
    pthread_mutex_unlock(&t->lock);
    return result;
}

/* Copies the context of a call in service; false if the token is unknown. */
bool
served_call_find(served_call_context *out, served_call_table *t,
                 uint64_t token)
{
    if (token == 0) {
        return false;
    }
    pthread_mutex_lock(&t->lock);
    const served_call_entry *entry = served_call_find_entry(t, token);
    if (entry != NULL) {
        *out = entry->context;
    }
    pthread_mutex_unlock(&t->lock);
    return entry != NULL;
}

/* Takes a share of the retry budget for one subcall, when `calls_to_come`
 * calls are expected to share what is left.  Returns the retries granted. */
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

/* Whether the request id may have been used by an earlier subcall. */
static bool
served_call_has_subcall(const served_call_entry *entry, uint64_t request_hash)
{
    if (entry->subcall_count >= SERVED_CALL_SUBCALLS_MAX) {
        return true; /* no room to record more: can't be ruled out */
    }
    for (size_t i = 0; i < entry->subcall_count; i++) {
        if (entry->subcall_hashes[i] == request_hash) {
            return true;
        }
    }
    return false;
}

/* Records the start of a subcall.  True if it is the first one with this
 * request id under the served call; false if not, or if the token is
 * unknown. */
bool
served_call_begin_subcall(served_call_table *t, uint64_t token,
                          uint64_t request_hash, int64_t now_us)
{
    bool first = false;
    pthread_mutex_lock(&t->lock);
    served_call_entry *entry =
        token == 0 ? NULL : served_call_find_entry(t, token);
    if (entry != NULL) {
        first = !served_call_has_subcall(entry, request_hash);
        if (first) {
            entry->subcall_hashes[entry->subcall_count++] = request_hash;
        }
        if (entry->subcalls_open++ == 0) {
            entry->open_since_us = now_us;
        }
    }
    pthread_mutex_unlock(&t->lock);
    return first;
}

/* Records the end of a subcall and returns its `unused` retries, of
 * `granted`, to the budget. */
void
served_call_end_subcall(served_call_table *t, uint64_t token, int granted,
                        int unused, int64_t now_us)
{
    pthread_mutex_lock(&t->lock);
    served_call_entry *entry =
        token == 0 ? NULL : served_call_find_entry(t, token);
    if (entry != NULL) {
        retry_ledger_settle(t->budgets, token, granted, unused);
        if (entry->subcalls_open > 0 && --entry->subcalls_open == 0) {
            entry->subcalls_us += now_us - entry->open_since_us;
        }
    }
    pthread_mutex_unlock(&t->lock);
}

/* Removes a call that is over at the target.  Returns the retry budget that
 * is left and, in `out_subcalls_us`, the time in microseconds during which
 * the target waited for at least one subcall. */
int
served_call_close(int64_t *out_subcalls_us, served_call_table *t,
                  uint64_t token, int64_t now_us)
{
    *out_subcalls_us = 0;
    int left = 0;
    pthread_mutex_lock(&t->lock);
    served_call_entry *entry =
        token == 0 ? NULL : served_call_find_entry(t, token);
    if (entry != NULL) {
        if (entry->subcalls_open > 0) {
            entry->subcalls_us += now_us - entry->open_since_us;
        }
        *out_subcalls_us = entry->subcalls_us;
        left = retry_ledger_close(t->budgets, token);
        entry->token = 0;
    }
    pthread_mutex_unlock(&t->lock);
    return left;
}
