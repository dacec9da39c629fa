/*
 * correlation: matches replies to calls.  Each attempt gets a random nonce
 * that its reply must carry.  A reply is dropped if its attempt is over, if it
 * belongs to another call or if the checksum of its body is wrong.
 *
 * Guarantee: every caller receives the complete response to its own request.
 */
#ifndef LAV_CORRELATION_H
#define LAV_CORRELATION_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CORRELATION_NONE (-1) /* no call expects the reply */

typedef struct correlation_table correlation_table;

int correlation_new(correlation_table **out, size_t attempts_max);
void correlation_free(correlation_table *table);
int correlation_add(correlation_table *table, uint64_t nonce, int call,
                    int attempt);
int correlation_find(int *out_attempt, correlation_table *table,
                     uint64_t nonce);
void correlation_remove(correlation_table *table, uint64_t nonce);
void correlation_remove_call(correlation_table *table, int call);
size_t correlation_count(const correlation_table *table);
uint64_t correlation_checksum(const char *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
