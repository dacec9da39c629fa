/*
 * clk: the one clock.  Monotonic microseconds for every duration, wall
 * milliseconds only for the time inside request ids and lease objects.
 * Tests pause it and advance it by hand.
 */
#ifndef LAV_CLK_H
#define LAV_CLK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CLK_US_PER_MS 1000
#define CLK_US_PER_S 1000000
#define CLK_MS_PER_S 1000

int64_t clk_now_us(void);
int64_t clk_wall_ms(void);
void clk_pause(int64_t now_us, int64_t wall_ms);
void clk_advance_us(int64_t delta_us);
void clk_resume(void);
void clk_sleep_us(int64_t duration_us);

#ifdef __cplusplus
}
#endif

#endif
