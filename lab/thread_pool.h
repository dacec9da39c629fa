/*
 * thread_pool: runs jobs at the same time as all others, each on a thread that
 * was started before.  On a busy machine a new thread may wait for seconds for
 * a processor; a job does not, since threads are kept to spare.
 */
#ifndef LAB_THREAD_POOL_H
#define LAB_THREAD_POOL_H

#include "lav/err.h"

typedef void (*thread_pool_cb)(void *payload);

typedef struct thread_pool thread_pool;

int thread_pool_new(thread_pool **out, err *e);
void thread_pool_free(thread_pool *p);
int thread_pool_run(thread_pool *p, thread_pool_cb job, void *payload, err *e);

#endif
