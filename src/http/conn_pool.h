/*
 * conn_pool: idle client connections by address, reused most recently used
 * first.  A connection that closes or receives bytes while idle is dropped.
 */
#ifndef LAV_CONN_POOL_H
#define LAV_CONN_POOL_H

#include "http_conn.h"

/* 20 s; less than the idle timeout of the servers, so that they do not close
 * a connection just as it is reused. */
#define CONN_POOL_IDLE_TIMEOUT_US 20000000LL

typedef struct conn_pool conn_pool;

int conn_pool_new(conn_pool **out, evloop *l);
void conn_pool_free(conn_pool *p);
http_conn *conn_pool_take(conn_pool *p, const struct sockaddr_in *to,
                          int64_t idle_max_us);
void conn_pool_put(conn_pool *p, http_conn *c, int64_t idle_timeout_us);
void conn_pool_trim(conn_pool *p, const struct sockaddr_in *to, int count_max);
void conn_pool_close_idle(conn_pool *p, const struct sockaddr_in *to);

#endif
