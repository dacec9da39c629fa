#include "conn_pool.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define CONN_POOL_IDLE_MAX 256 /* idle connections per address */

typedef struct conn_pool_entry {
    conn_pool *pool;
    http_conn *connection;
    GQueue *queue;
    GList *link; /* of this entry in the queue */
    int64_t idle_since_us;
} conn_pool_entry;

struct conn_pool {
    evloop *l;
    /* address -> GQueue of conn_pool_entry, most recently used first */
    GHashTable *queues;
};

/* Remove an entry from its queue and free it; the connection stays open. */
static void
conn_pool_remove(conn_pool_entry *entry)
{
    g_queue_delete_link(entry->queue, entry->link);
    g_free(entry);
}

/* A response on an idle connection belongs to no request: close it. */
static enum http_conn_head_result
conn_pool_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)head;
    (void)payload;
    http_conn_close(c);
    return HTTP_CONN_CLOSED;
}

/* Handler for events that need no action. */
static void
conn_pool_on_body(http_conn *c, const char *bytes, size_t length,
                  void *payload)
{
    (void)c;
    (void)bytes;
    (void)length;
    (void)payload;
}

/* Handler for events that need no action. */
static void
conn_pool_ignore_event(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

/* An idle connection was closed or timed out. */
static void
conn_pool_on_close(http_conn *c, enum http_conn_close_reason reason,
                   void *payload)
{
    (void)c;
    (void)reason;
    conn_pool_remove(payload);
}

static const http_conn_handlers conn_pool_handlers = {
    conn_pool_on_head, conn_pool_on_body, conn_pool_ignore_event,
    conn_pool_ignore_event, conn_pool_on_close};

/* Return the hash key of an address: IPv4 address and port. */
static guint64
conn_pool_address_key(const struct sockaddr_in *to)
{
    return ((guint64)to->sin_addr.s_addr << 16) | to->sin_port;
}

/* Create an empty pool on a loop; returns 0 or ERR_NO_MEMORY. */
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

/* Close the connections that have been idle longest until at most `count_max`
 * are left. */
static void
conn_pool_close_excess(GQueue *queue, guint count_max)
{
    while (queue->length > count_max) {
        conn_pool_entry *entry = g_queue_pop_tail(queue);
        http_conn_close(entry->connection);
        g_free(entry);
    }
}

/* Close all idle connections and free the pool; `p` may be NULL. */
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
        conn_pool_close_excess(queue, 0);
    }
    g_hash_table_destroy(p->queues);
    free(p);
}

/* Take out the most recently used connection to `to` if it has been idle for
 * at most `idle_max_us`; returns NULL if there is none.  The caller must set
 * its handlers. */
http_conn *
conn_pool_take(conn_pool *p, const struct sockaddr_in *to, int64_t idle_max_us)
{
    guint64 key = conn_pool_address_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL || queue->head == NULL) {
        return NULL;
    }
    conn_pool_entry *entry = queue->head->data;
    if (p->l->now_us - entry->idle_since_us > idle_max_us) {
        return NULL;
    }
    http_conn *c = entry->connection;
    conn_pool_remove(entry);
    http_conn_set_deadline(c, 0);
    return c;
}

/* Give an idle connection to the pool, which closes it after
 * `idle_timeout_us`.  It is closed at once if it is not reusable, if the
 * timeout is 0 or less, or if CONN_POOL_IDLE_MAX are kept for its address. */
void
conn_pool_put(conn_pool *p, http_conn *c, int64_t idle_timeout_us)
{
    guint64 key = conn_pool_address_key(http_conn_peer(c));
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(p->queues, g_memdup2(&key, sizeof(key)), queue);
    }
    if (!http_conn_is_reusable(c) || idle_timeout_us <= 0 ||
        queue->length >= CONN_POOL_IDLE_MAX) {
        http_conn_close(c);
        return;
    }
    conn_pool_entry *entry = g_new0(conn_pool_entry, 1);
    entry->pool = p;
    entry->connection = c;
    entry->queue = queue;
    entry->idle_since_us = p->l->now_us;
    g_queue_push_head(queue, entry);
    entry->link = queue->head;
    http_conn_set_paused(c, false);
    http_conn_set_handlers(c, &conn_pool_handlers, entry);
    http_conn_set_deadline(c, p->l->now_us + idle_timeout_us);
}

/* Close idle connections to an address until at most `count_max` are left;
 * the most recently used ones stay. */
void
conn_pool_trim(conn_pool *p, const struct sockaddr_in *to, int count_max)
{
    guint64 key = conn_pool_address_key(to);
    GQueue *queue = g_hash_table_lookup(p->queues, &key);
    if (queue != NULL) {
        conn_pool_close_excess(queue, (guint)MAX(count_max, 0));
    }
}

/* Close all idle connections to an address. */
void
conn_pool_close_idle(conn_pool *p, const struct sockaddr_in *to)
{
    conn_pool_trim(p, to, 0);
}
