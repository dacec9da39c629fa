#include "lav/clk.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <time.h>

static atomic_bool clk_paused;
static atomic_llong clk_paused_us;
static atomic_llong clk_paused_wall_us;

static int64_t
clk_read_us(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * CLK_US_PER_S + ts.tv_nsec / 1000;
}

/* Monotonic time in microseconds; its zero has no meaning. */
int64_t
clk_now_us(void)
{
    if (atomic_load(&clk_paused)) {
        return atomic_load(&clk_paused_us);
    }
    return clk_read_us(CLOCK_MONOTONIC);
}

/* Wall time in milliseconds since the Unix epoch. */
int64_t
clk_wall_ms(void)
{
    if (atomic_load(&clk_paused)) {
        return atomic_load(&clk_paused_wall_us) / CLK_US_PER_MS;
    }
    return clk_read_us(CLOCK_REALTIME) / CLK_US_PER_MS;
}

/* Stop the clock at the given readings (tests only). */
void
clk_pause(int64_t now_us, int64_t wall_ms)
{
    atomic_store(&clk_paused_us, now_us);
    atomic_store(&clk_paused_wall_us, wall_ms * CLK_US_PER_MS);
    atomic_store(&clk_paused, true);
}

/* Move a paused clock forward by `delta_us` microseconds. */
void
clk_advance_us(int64_t delta_us)
{
    atomic_fetch_add(&clk_paused_us, delta_us);
    atomic_fetch_add(&clk_paused_wall_us, delta_us);
}

/* Let a paused clock run again. */
void
clk_resume(void)
{
    atomic_store(&clk_paused, false);
}

/* Sleep for real time, whether or not the clock is paused. */
void
clk_sleep_us(int64_t duration_us)
{
    if (duration_us <= 0) {
        return;
    }
    struct timespec ts = {duration_us / CLK_US_PER_S,
                          (duration_us % CLK_US_PER_S) * 1000};
    nanosleep(&ts, NULL);
}
