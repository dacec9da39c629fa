/*
 * correlation_table: which caller an answer belongs to.  Each attempt gets a random nonce
 * that the reply must carry; a reply for an attempt that is over, of
 * another call, or whose body is not the one that was sent, is dropped.
 *
 * Promise: every caller receives the complete answer to its own request.
 */
#ifndef LAV_CORRELATION_H
#define LAV_CORRELATION_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CORRELATION_NONE (-1)

typedef struct correlation_table correlation_table;

int correlation_new(correlation_table **out, size_t attempts_max);
void correlation_free(correlation_table *a);
int correlation_add(correlation_table *a, uint64_t nonce, int call,
                    int attempt);
int correlation_take(int *out_attempt, correlation_table *a, uint64_t nonce);
void correlation_remove(correlation_table *a, uint64_t nonce);
void correlation_remove_call(correlation_table *a, int call);
size_t correlation_count(const correlation_table *a);
uint64_t correlation_checksum(const char *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
