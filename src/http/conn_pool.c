#include "conn_pool.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define CONN_POOL_IDLE_MAX 256 /* connections kept for one address */

typedef struct conn_pool_entry {
    conn_pool *pool;
    http_conn *connection;
    GQueue *queue;
    GList *link; /* in the queue */
    int64_t since_us;
} conn_pool_entry;

struct conn_pool {
    evloop *l;
    GHashTable *queues; /* address -> GQueue of conn_pool_entry */
};

static void
conn_pool_remove(conn_pool_entry *entry)
{
    g_queue_delete_link(entry->queue, entry->link);
    g_free(entry);
}

static enum http_conn_head_result
conn_pool_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)head;
    (void)payload;
    http_conn_close(c);
    return HTTP_CONN_CLOSED;
}

static void
conn_pool_on_body(http_conn *c, const char *bytes, size_t length,
                  void *payload)
{
    (void)c;
    (void)bytes;
    (void)length;
    (void)payload;
}

static void
conn_pool_on_nothing(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

static void
conn_pool_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    (void)c;
    (void)end;
    conn_pool_remove(payload);
}

static const http_conn_handlers conn_pool_idle_handlers = {
    conn_pool_on_head, conn_pool_on_body, conn_pool_on_nothing,
    conn_pool_on_nothing, conn_pool_on_end};

static guint64
conn_pool_key(const struct sockaddr_in *to)
{
    return ((guint64)to->sin_addr.s_addr << 16) | to->sin_port;
}

/* Make an empty pool. */
int
conn_pool_new(conn_pool **out, evloop *l)
{
    conn_pool *p = calloc(1, sizeof(*p));
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
conn_pool_shrink(GQueue *queue, guint most)
{
    while (queue->length > most) {
        conn_pool_entry *entry = g_queue_pop_tail(queue);
        http_conn_close(entry->connection);
        g_free(entry);
    }
}

/* Close all connections in it and release it; takes NULL. */
void
conn_pool_free(conn_pool *p)
{
    if (p == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer queue = NULL;
    g_hash_table_iter_init(&iter, p->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        conn_pool_shrink(queue, 0);
    }
    g_hash_table_destroy(p->queues);
    free(p);
}

/* Take a connection that has been idle for at most `idle_max_us`; NULL where
 * there is none. */
http_conn *
conn_pool_take(conn_pool *p, const struct sockaddr_in *to, int64_t idle_max_us)
{
    guint64 key = conn_pool_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL || queue->head == NULL) {
        return NULL;
    }
    conn_pool_entry *entry = queue->head->data;
    if (p->l->now_us - entry->since_us > idle_max_us) {
        return NULL;
    }
    http_conn *c = entry->connection;
    conn_pool_remove(entry);
    http_conn_set_deadline(c, 0);
    return c;
}

/* Keep an idle connection for `keep_us`; one that is not fit is closed. */
void
conn_pool_put(conn_pool *p, http_conn *c, int64_t keep_us)
{
    guint64 key = conn_pool_key(http_conn_peer(c));
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(p->queues, g_memdup2(&key, sizeof(key)), queue);
    }
    if (!http_conn_is_reusable(c) || keep_us <= 0 ||
        queue->length >= CONN_POOL_IDLE_MAX) {
        http_conn_close(c);
        return;
    }
    conn_pool_entry *entry = g_new0(conn_pool_entry, 1);
    entry->pool = p;
    entry->connection = c;
    entry->queue = queue;
    entry->since_us = p->l->now_us;
    g_queue_push_head(queue, entry);
    entry->link = queue->head;
    http_conn_set_paused(c, false);
    http_conn_set_handlers(c, &conn_pool_idle_handlers, entry);
    http_conn_set_deadline(c, p->l->now_us + keep_us);
}

/* Keep at most `most` idle connections to an address, those last used. */
void
conn_pool_trim(conn_pool *p, const struct sockaddr_in *to, int most)
{
    guint64 key = conn_pool_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue != NULL) {
        conn_pool_shrink(queue, (guint)MAX(most, 0));
    }
}

/* Close the idle connections to an address. */
void
conn_pool_close_idle(conn_pool *p, const struct sockaddr_in *to)
{
    conn_pool_trim(p, to, 0);
}
