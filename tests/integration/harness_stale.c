/* What the store's cache answers: reads that allow stale data. */
#include <glib.h>

#include "harness_private.h"
#include "lav/clock.h"

static int harness_store_stale_ms;      /* age of the cached data */
static GHashTable *harness_stale_reads; /* kind -> count */

/* Stale reads don't see the changes of the last `stale_ms`. */
void
harness_set_store_stale_ms(int stale_ms)
{
    pthread_mutex_lock(&harness_lock);
    harness_store_stale_ms = stale_ms;
    pthread_mutex_unlock(&harness_lock);
}

/* Reads of a kind that allowed stale data. */
int
harness_store_stale_read_count(const char *kind)
{
    pthread_mutex_lock(&harness_lock);
    int reads =
        harness_stale_reads == NULL
            ? 0
            : GPOINTER_TO_INT(g_hash_table_lookup(harness_stale_reads, kind));
    pthread_mutex_unlock(&harness_lock);
    return reads;
}

/* Count a read that allows stale data. */
void
harness_count_stale_read(const char *kind)
{
    pthread_mutex_lock(&harness_lock);
    if (harness_stale_reads == NULL) {
        harness_stale_reads =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    int reads =
        GPOINTER_TO_INT(g_hash_table_lookup(harness_stale_reads, kind));
    g_hash_table_insert(harness_stale_reads, g_strdup(kind),
                        GINT_TO_POINTER(reads + 1));
    pthread_mutex_unlock(&harness_lock);
}

/* Age of the data of stale reads; harness_lock is held. */
int64_t
harness_stale_age_us(void)
{
    return harness_store_stale_ms * CLOCK_US_PER_MS;
}

/* The cache is up to date and no stale read is counted, at the start of a
 * deployment. */
void
harness_reset_stale_reads(void)
{
    harness_store_stale_ms = 0;
    if (harness_stale_reads != NULL) {
        g_hash_table_remove_all(harness_stale_reads);
    }
}
