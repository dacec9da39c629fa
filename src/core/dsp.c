#include "lav/dsp.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "lav/err.h"

enum dsp_state {
    DSP_STATE_QUEUED,
    DSP_STATE_DISPATCHED,
    DSP_STATE_CANCELLED /* refused or cancelled, before dispatch */
};

typedef struct dsp_attempt {
    uint64_t nonce;
    enum dsp_state state;
    int64_t seen_us;
} dsp_attempt;

struct dsp {
    size_t attempts_max;
    GHashTable *attempts; /* nonce -> dsp_attempt */
    GQueue *order;        /* dsp_attempt, oldest first */
};

/* Make a record of at most `attempts_max` attempts. */
int
dsp_new(dsp **out, size_t attempts_max)
{
    dsp *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return ERR_NO_MEMORY;
    }
    d->attempts_max = attempts_max;
    d->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
    d->order = g_queue_new();
    *out = d;
    return 0;
}

/* Release the record; takes NULL. */
void
dsp_free(dsp *d)
{
    if (d != NULL) {
        g_hash_table_destroy(d->attempts);
        g_queue_free_full(d->order, g_free);
        free(d);
    }
}

static bool
dsp_remember(dsp *d, uint64_t nonce, enum dsp_state state, int64_t now_us)
{
    dsp_expire(d, now_us);
    if (g_hash_table_size(d->attempts) >= d->attempts_max) {
        return false;
    }
    dsp_attempt *attempt = g_new0(dsp_attempt, 1);
    attempt->nonce = nonce;
    attempt->state = state;
    attempt->seen_us = now_us;
    g_hash_table_insert(d->attempts, &attempt->nonce, attempt);
    g_queue_push_tail(d->order, attempt);
    return true;
}

/* An attempt arrives; `age_ms` is the time since it was sent. */
enum dsp_arrival
dsp_arrive(dsp *d, uint64_t nonce, int64_t age_ms, int64_t now_us)
{
    dsp_attempt *attempt = g_hash_table_lookup(d->attempts, &nonce);
    if (attempt != NULL) {
        return attempt->state == DSP_STATE_CANCELLED ? DSP_CANCELLED
                                                     : DSP_DUPLICATE;
    }
    if (age_ms > DSP_AGE_MAX_MS) {
        return DSP_TOO_OLD;
    }
    return dsp_remember(d, nonce, DSP_STATE_QUEUED, now_us) ? DSP_NEW
                                                            : DSP_FULL;
}

/* Mark an attempt as handed to the target; ERR_CONFLICT where it is not
 * queued, and then it must not be handed over. */
int
dsp_dispatch(dsp *d, uint64_t nonce)
{
    dsp_attempt *attempt = g_hash_table_lookup(d->attempts, &nonce);
    if (attempt == NULL || attempt->state != DSP_STATE_QUEUED) {
        return ERR_CONFLICT;
    }
    attempt->state = DSP_STATE_DISPATCHED;
    return 0;
}

/* Mark a queued attempt as refused; it can't be dispatched any more. */
void
dsp_refuse(dsp *d, uint64_t nonce)
{
    dsp_attempt *attempt = g_hash_table_lookup(d->attempts, &nonce);
    if (attempt != NULL && attempt->state == DSP_STATE_QUEUED) {
        attempt->state = DSP_STATE_CANCELLED;
    }
}

/* Cancel an attempt, whether or not it has arrived. */
enum dsp_cancel
dsp_cancel(dsp *d, uint64_t nonce, int64_t now_us)
{
    dsp_attempt *attempt = g_hash_table_lookup(d->attempts, &nonce);
    if (attempt == NULL) {
        return dsp_remember(d, nonce, DSP_STATE_CANCELLED, now_us)
                   ? DSP_CONFIRMED
                   : DSP_UNCONFIRMED;
    }
    if (attempt->state == DSP_STATE_DISPATCHED) {
        return DSP_DISPATCHED;
    }
    attempt->state = DSP_STATE_CANCELLED;
    return DSP_CONFIRMED;
}

/* Forget attempts that were first seen more than DSP_KEEP_US ago. */
void
dsp_expire(dsp *d, int64_t now_us)
{
    dsp_attempt *oldest = g_queue_peek_head(d->order);
    while (oldest != NULL && now_us - oldest->seen_us > DSP_KEEP_US) {
        g_queue_pop_head(d->order);
        g_hash_table_remove(d->attempts, &oldest->nonce);
        g_free(oldest);
        oldest = g_queue_peek_head(d->order);
    }
}
