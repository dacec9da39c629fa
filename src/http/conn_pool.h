/*
 * conn_pool: idle client connections by address, the last used first.  A
 * connection that closes, or on which bytes arrive while it is idle, is
 * dropped.
 */
#ifndef LAV_CONN_POOL_H
#define LAV_CONN_POOL_H

#include "http_conn.h"

#define CONN_POOL_IDLE_TIMEOUT_US                                             \
    20000000LL /* 20 s; below the idle time of our servers */

typedef struct conn_pool conn_pool;

int conn_pool_new(conn_pool **out, evloop *l);
void conn_pool_free(conn_pool *p);
http_conn *conn_pool_take(conn_pool *p, const struct sockaddr_in *to,
                          int64_t idle_max_us);
void conn_pool_put(conn_pool *p, http_conn *c, int64_t keep_us);
void conn_pool_trim(conn_pool *p, const struct sockaddr_in *to, int most);
void conn_pool_close_idle(conn_pool *p, const struct sockaddr_in *to);

#endif
