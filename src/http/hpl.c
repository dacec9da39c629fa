#include "hpl.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define HPL_IDLE_MAX 256 /* connections kept for one address */

typedef struct hpl_entry {
    hpl *pool;
    hcn *connection;
    GQueue *queue;
    GList *link; /* in the queue */
    int64_t since_us;
} hpl_entry;

struct hpl {
    hlp *l;
    GHashTable *queues; /* address -> GQueue of hpl_entry */
};

static void
hpl_remove(hpl_entry *entry)
{
    g_queue_delete_link(entry->queue, entry->link);
    g_free(entry);
}

static enum hcn_verdict
hpl_on_head(hcn *c, const htm *head, void *payload)
{
    (void)head;
    (void)payload;
    hcn_close(c);
    return HCN_CLOSED;
}

static void
hpl_on_body(hcn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    (void)bytes;
    (void)length;
    (void)payload;
}

static void
hpl_on_nothing(hcn *c, void *payload)
{
    (void)c;
    (void)payload;
}

static void
hpl_on_end(hcn *c, enum hcn_end end, void *payload)
{
    (void)c;
    (void)end;
    hpl_remove(payload);
}

static const hcn_handlers hpl_idle = {hpl_on_head, hpl_on_body, hpl_on_nothing,
                                      hpl_on_nothing, hpl_on_end};

static guint64
hpl_key(const struct sockaddr_in *to)
{
    return ((guint64)to->sin_addr.s_addr << 16) | to->sin_port;
}

/* Make an empty pool. */
int
hpl_new(hpl **out, hlp *l)
{
    hpl *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return ERR_NO_MEMORY;
    }
    p->l = l;
    p->queues = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                      (GDestroyNotify)g_queue_free);
    *out = p;
    return 0;
}

/* Close the longest idle ones until `most` are left. */
static void
hpl_shrink(GQueue *queue, guint most)
{
    while (queue->length > most) {
        hpl_entry *entry = g_queue_pop_tail(queue);
        hcn_close(entry->connection);
        g_free(entry);
    }
}

/* Close all connections in it and release it; takes NULL. */
void
hpl_free(hpl *p)
{
    if (p == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer queue = NULL;
    g_hash_table_iter_init(&iter, p->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        hpl_shrink(queue, 0);
    }
    g_hash_table_destroy(p->queues);
    free(p);
}

/* Take a connection that has been idle for at most `idle_max_us`; NULL where
 * there is none. */
hcn *
hpl_get(hpl *p, const struct sockaddr_in *to, int64_t idle_max_us)
{
    guint64 key = hpl_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL || queue->head == NULL) {
        return NULL;
    }
    hpl_entry *entry = queue->head->data;
    if (p->l->now_us - entry->since_us > idle_max_us) {
        return NULL;
    }
    hcn *c = entry->connection;
    hpl_remove(entry);
    hcn_expire(c, 0);
    return c;
}

/* Keep an idle connection for `keep_us`; one that is not fit is closed. */
void
hpl_put(hpl *p, hcn *c, int64_t keep_us)
{
    guint64 key = hpl_key(hcn_peer(c));
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(p->queues, g_memdup2(&key, sizeof(key)), queue);
    }
    if (!hcn_reusable(c) || keep_us <= 0 || queue->length >= HPL_IDLE_MAX) {
        hcn_close(c);
        return;
    }
    hpl_entry *entry = g_new0(hpl_entry, 1);
    entry->pool = p;
    entry->connection = c;
    entry->queue = queue;
    entry->since_us = p->l->now_us;
    g_queue_push_head(queue, entry);
    entry->link = queue->head;
    hcn_pause(c, false);
    hcn_own(c, &hpl_idle, entry);
    hcn_expire(c, p->l->now_us + keep_us);
}

/* Keep at most `most` idle connections to an address, those last used. */
void
hpl_trim(hpl *p, const struct sockaddr_in *to, int most)
{
    guint64 key = hpl_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue != NULL) {
        hpl_shrink(queue, (guint)MAX(most, 0));
    }
}

/* Close the idle connections to an address. */
void
hpl_drop(hpl *p, const struct sockaddr_in *to)
{
    hpl_trim(p, to, 0);
}
