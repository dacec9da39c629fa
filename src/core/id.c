#include "lav/id.h"

#include <ctype.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "lav/err.h"

#define ID_TIME_DIGITS_MAX 12    /* hexadecimal digits, up to the year 10889 */
#define ID_DIGEST_SIZE 16        /* bytes of the hash in a derived id */
#define ID_DIGEST_INPUT_SIZE 256 /* bytes hashed for a derived id */
#define ID_RANDOM_BATCH 256      /* random numbers per call into the system */

/* Value of a lower-case hexadecimal digit, or -1. */
static int
id_hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

/* Parse and check an id; ERR_INVALID if the text is not an id. */
int
id_parse(id *out, const char *text)
{
    int64_t time_ms = 0;
    size_t digits = 0;
    while (id_hex_value(text[digits]) >= 0) {
        if (++digits > ID_TIME_DIGITS_MAX) {
            return ERR_INVALID;
        }
        time_ms = time_ms * 16 + id_hex_value(text[digits - 1]);
    }
    if (digits == 0 || text[digits] != '-') {
        return ERR_INVALID;
    }
    const char *suffix = text + digits + 1;
    size_t length = strlen(suffix);
    if (length < ID_SUFFIX_MIN || length > ID_SUFFIX_MAX) {
        return ERR_INVALID;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)suffix[i])) {
            return ERR_INVALID;
        }
    }
    out->time_ms = time_ms;
    snprintf(out->text, sizeof(out->text), "%s", text);
    return 0;
}

/* Generate an id for a root request that arrived at wall time `wall_ms`. */
void
id_generate(id *out, int64_t wall_ms)
{
    out->time_ms = wall_ms;
    snprintf(out->text, sizeof(out->text), "%" PRIx64 "-%016" PRIx64,
             (uint64_t)wall_ms, id_random());
}

/*
 * Derive the id of the call of `operation` ("service.operation") made for a
 * root request.  The key, which may be empty, distinguishes several calls of
 * one operation for one root.  Uses BLAKE2b of the three texts (RFC 7693, by
 * libsodium).
 */
void
id_derive(id *out, const id *root, const char *operation, const char *key)
{
    char input[ID_DIGEST_INPUT_SIZE];
    unsigned char digest[ID_DIGEST_SIZE];
    char hex[2 * ID_DIGEST_SIZE + 1];
    int length = snprintf(input, sizeof(input), "%s\n%s\n%s", root->text,
                          operation, key);
    if (length >= (int)sizeof(input)) {
        length = sizeof(input) - 1;
    }
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)input,
                       (unsigned long long)length, NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    out->time_ms = root->time_ms;
    snprintf(out->text, sizeof(out->text), "%" PRIx64 "-%s",
             (uint64_t)root->time_ms, hex);
}

/* 64-bit hash of the text of an id (XXH3). */
uint64_t
id_hash(const char *text)
{
    return XXH3_64bits(text, strlen(text));
}

/* Stable rank of a root request, from 0 (shed last) to ID_RANKS - 1. */
int
id_rank(const char *root_text)
{
    return (int)(id_hash(root_text) % ID_RANKS);
}

/* 64 random bits.  Thread-safe: each thread takes them from a batch of its
 * own, to save calls into the system. */
uint64_t
id_random(void)
{
    static _Thread_local uint64_t batch[ID_RANDOM_BATCH];
    static _Thread_local size_t left;
    if (left == 0) {
        randombytes_buf(batch, sizeof(batch));
        left = ID_RANDOM_BATCH;
    }
    return batch[--left];
}
