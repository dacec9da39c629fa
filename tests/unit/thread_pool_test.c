/* The pool of threads that the stand-ins of the integration tests run on. */
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>

#include "thread_pool.h"

#define JOBS_MAX 50

typedef struct meeting {
    pthread_barrier_t all_here;
    atomic_int ended;
} meeting;

/* Wait until all jobs of the meeting run. */
static void
meet(void *payload)
{
    meeting *m = payload;
    pthread_barrier_wait(&m->all_here);
    atomic_fetch_add(&m->ended, 1);
}

/* Fewer jobs than threads are kept to spare, as many, and more. */
static const int counts[] = {1, 16, JOBS_MAX};

/* All jobs run at the same time, twice, and a pool is freed only when they
 * have ended. */
Test(thread_pool, jobs_do_not_wait_for_each_other, .timeout = 60)
{
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        thread_pool *p = NULL;
        meeting m[2] = {0};
        err e = ERR_INIT;
        cr_assert_eq(thread_pool_new(&p, &e), 0, "%s", e.message);
        for (int round = 0; round < 2; round++) {
            pthread_barrier_init(&m[round].all_here, NULL,
                                 (unsigned)counts[i]);
            for (int k = 0; k < counts[i]; k++) {
                cr_assert_eq(thread_pool_run(p, meet, &m[round], &e), 0, "%s",
                             e.message);
            }
        }
        thread_pool_free(p);
        cr_expect_eq(atomic_load(&m[0].ended), counts[i]);
        cr_expect_eq(atomic_load(&m[1].ended), counts[i]);
    }
}
