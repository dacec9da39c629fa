/*
 * clock: monotonic time in microseconds, for every duration and deadline, and
 * wall-clock time in milliseconds, for timestamps that other processes read
 * (request ids, messages, lease objects, log lines).  Tests can pause the
 * clock and advance it by hand.
 */
#ifndef LAV_CLOCK_H
#define LAV_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CLOCK_US_PER_MS 1000
#define CLOCK_US_PER_S 1000000
#define CLOCK_MS_PER_S 1000

int64_t clock_now_us(void);
int64_t clock_wall_ms(void);
int64_t clock_suspended_us(void);
void clock_pause(int64_t now_us, int64_t wall_ms);
void clock_advance_us(int64_t delta_us);
void clock_resume(void);
void clock_sleep_us(int64_t duration_us);

#ifdef __cplusplus
}
#endif

#endif
