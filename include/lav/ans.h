/*
 * ans: which caller an answer belongs to.  Each attempt gets a random nonce
 * that the reply must carry; a reply for an attempt that is over, of
 * another call, or whose body is not the one that was sent, is dropped.
 *
 * Promise: every caller receives the complete answer to its own request.
 */
#ifndef LAV_ANS_H
#define LAV_ANS_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ANS_NONE (-1)

typedef struct ans ans;

int ans_new(ans **out, size_t attempts_max);
void ans_free(ans *a);
int ans_expect(ans *a, uint64_t nonce, int call, int attempt);
int ans_match(int *out_attempt, ans *a, uint64_t nonce);
void ans_forget(ans *a, uint64_t nonce);
void ans_forget_call(ans *a, int call);
size_t ans_count(const ans *a);
uint64_t ans_checksum(const char *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
