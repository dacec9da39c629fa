#include "thread_pool.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>

#define THREAD_POOL_SPARE 16 /* threads kept for jobs to come */

typedef struct thread_pool_job {
    thread_pool_cb run;
    void *payload;
} thread_pool_job;

struct thread_pool {
    pthread_mutex_t lock;
    pthread_cond_t job_added; /* or the pool is closed */
    pthread_cond_t thread_ended;
    GQueue jobs; /* that no thread runs yet */
    guint threads;
    guint free_threads; /* start, or wait for a job */
    bool closed;
};

/* Waits for a job and takes it; NULL when the pool is closed. */
static thread_pool_job *
thread_pool_take(thread_pool *p)
{
    pthread_mutex_lock(&p->lock);
    while (g_queue_is_empty(&p->jobs) && !p->closed) {
        pthread_cond_wait(&p->job_added, &p->lock);
    }
    p->free_threads--;
    thread_pool_job *job = g_queue_pop_head(&p->jobs);
    pthread_mutex_unlock(&p->lock);
    return job;
}

/* Thread that runs jobs, one after the other, until the pool is closed. */
static void *
thread_pool_main(void *payload)
{
    thread_pool *p = payload;
    thread_pool_job *job;
    while ((job = thread_pool_take(p)) != NULL) {
        job->run(job->payload);
        free(job);
        pthread_mutex_lock(&p->lock);
        p->free_threads++;
        pthread_mutex_unlock(&p->lock);
    }
    pthread_mutex_lock(&p->lock);
    p->threads--;
    pthread_cond_signal(&p->thread_ended);
    pthread_mutex_unlock(&p->lock);
    return NULL;
}

/* Starts threads until the spare ones suffice for the jobs that wait.  The
 * lock is held.  Returns 0 or ERR_FULL. */
static int
thread_pool_grow(thread_pool *p, err *e)
{
    while (p->free_threads < p->jobs.length + THREAD_POOL_SPARE) {
        pthread_t thread;
        if (pthread_create(&thread, NULL, thread_pool_main, p) != 0) {
            return ERR_SET(e, ERR_FULL, "cannot start a thread");
        }
        pthread_detach(thread);
        p->threads++;
        p->free_threads++;
    }
    return 0;
}

/* Creates a pool and starts its spare threads.  Returns 0, ERR_NO_MEMORY or
 * ERR_FULL. */
int
thread_pool_new(thread_pool **out, err *e)
{
    thread_pool *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for a pool of threads");
    }
    pthread_mutex_init(&p->lock, NULL);
    pthread_cond_init(&p->job_added, NULL);
    pthread_cond_init(&p->thread_ended, NULL);
    g_queue_init(&p->jobs);
    pthread_mutex_lock(&p->lock);
    int result = thread_pool_grow(p, e);
    pthread_mutex_unlock(&p->lock);
    if (result < 0) {
        thread_pool_free(p);
        return result;
    }
    *out = p;
    return 0;
}

/* Waits until all jobs have been run and frees the pool; NULL is ignored. */
void
thread_pool_free(thread_pool *p)
{
    if (p == NULL) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    p->closed = true;
    pthread_cond_broadcast(&p->job_added);
    while (p->threads > 0) {
        pthread_cond_wait(&p->thread_ended, &p->lock);
    }
    pthread_mutex_unlock(&p->lock);
    pthread_cond_destroy(&p->thread_ended);
    pthread_cond_destroy(&p->job_added);
    pthread_mutex_destroy(&p->lock);
    free(p);
}

/* Has a job run by the first thread that is free.  Returns 0, ERR_NO_MEMORY
 * (the job is not run) or ERR_FULL (it is, but later jobs may have to wait for
 * each other). */
int
thread_pool_run(thread_pool *p, thread_pool_cb job, void *payload, err *e)
{
    thread_pool_job *added = malloc(sizeof(*added));
    if (added == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for a job");
    }
    *added = (thread_pool_job){job, payload};
    pthread_mutex_lock(&p->lock);
    g_queue_push_tail(&p->jobs, added);
    pthread_cond_signal(&p->job_added);
    int result = thread_pool_grow(p, e);
    pthread_mutex_unlock(&p->lock);
    return result;
}
