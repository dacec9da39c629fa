#include "lav/clock.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <time.h>

static atomic_bool clock_paused;
static atomic_llong clock_paused_us;
static atomic_llong clock_paused_wall_us;

/* Read a POSIX clock, in microseconds. */
static int64_t
clock_read_posix_us(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * CLOCK_US_PER_S + ts.tv_nsec / 1000;
}

/* Return the monotonic time in microseconds, since an arbitrary epoch. */
int64_t
clock_now_us(void)
{
    if (atomic_load(&clock_paused)) {
        return atomic_load(&clock_paused_us);
    }
    return clock_read_posix_us(CLOCK_MONOTONIC);
}

/* Return the wall-clock time in milliseconds since the Unix epoch. */
int64_t
clock_wall_ms(void)
{
    if (atomic_load(&clock_paused)) {
        return atomic_load(&clock_paused_wall_us) / CLOCK_US_PER_MS;
    }
    return clock_read_posix_us(CLOCK_REALTIME) / CLOCK_US_PER_MS;
}

/* Freeze both clocks at the given times (tests only). */
void
clock_pause(int64_t now_us, int64_t wall_ms)
{
    atomic_store(&clock_paused_us, now_us);
    atomic_store(&clock_paused_wall_us, wall_ms * CLOCK_US_PER_MS);
    atomic_store(&clock_paused, true);
}

/* Advance the paused clocks by `delta_us` microseconds. */
void
clock_advance_us(int64_t delta_us)
{
    atomic_fetch_add(&clock_paused_us, delta_us);
    atomic_fetch_add(&clock_paused_wall_us, delta_us);
}

/* Return to the clocks of the system after clock_pause(). */
void
clock_resume(void)
{
    atomic_store(&clock_paused, false);
}

/* Sleep for `duration_us` of real time, even while the clock is paused;
 * returns at once for 0 or less. */
void
clock_sleep_us(int64_t duration_us)
{
    if (duration_us <= 0) {
        return;
    }
    struct timespec ts = {duration_us / CLOCK_US_PER_S,
                          (duration_us % CLOCK_US_PER_S) * 1000};
    nanosleep(&ts, NULL);
}

/* Return for how long, in microseconds, the host has stood since it was
 * booted: the monotonic time does not count that. */
int64_t
clock_suspended_us(void)
{
    if (atomic_load(&clock_paused)) {
        return 0;
    }
    return clock_read_posix_us(CLOCK_BOOTTIME) -
           clock_read_posix_us(CLOCK_MONOTONIC);
}
