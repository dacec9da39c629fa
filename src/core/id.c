#include "lav/id.h"

#include <ctype.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "lav/err.h"

#define ID_TIME_DIGITS_MAX 12 /* hexadecimal digits, up to the year 10889 */
#define ID_DIGEST_SIZE 16     /* bytes of a derived id's hash */
#define ID_MATERIAL_SIZE 256  /* bytes hashed for a derived id */
#define ID_RANDOM_KEPT 256 /* random numbers got from the system at a time */

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

/* Parse and check an id; ERR_INVALID where the text is not one. */
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
    const char *rest = text + digits + 1;
    size_t length = strlen(rest);
    if (length < ID_REST_MIN || length > ID_REST_MAX) {
        return ERR_INVALID;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)rest[i])) {
            return ERR_INVALID;
        }
    }
    out->time_ms = time_ms;
    snprintf(out->text, sizeof(out->text), "%s", text);
    return 0;
}

/* Make a new id for a root request that arrived at `wall_ms`. */
void
id_mint(id *out, int64_t wall_ms)
{
    out->time_ms = wall_ms;
    snprintf(out->text, sizeof(out->text), "%" PRIx64 "-%016" PRIx64,
             (uint64_t)wall_ms, id_random());
}

/*
 * Id of the call of `operation` ("service.operation") made for a root.  The
 * key tells several calls of one operation for one root apart; it may be
 * empty.  BLAKE2b of the three texts (RFC 7693, by libsodium).
 */
void
id_derive(id *out, const id *root, const char *operation, const char *key)
{
    char material[ID_MATERIAL_SIZE];
    unsigned char digest[ID_DIGEST_SIZE];
    char hex[2 * ID_DIGEST_SIZE + 1];
    int length = snprintf(material, sizeof(material), "%s\n%s\n%s", root->text,
                          operation, key);
    if (length >= (int)sizeof(material)) {
        length = sizeof(material) - 1;
    }
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)material,
                       (unsigned long long)length, NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    out->time_ms = root->time_ms;
    snprintf(out->text, sizeof(out->text), "%" PRIx64 "-%s",
             (uint64_t)root->time_ms, hex);
}

/* 64-bit hash of an id's text (XXH3). */
uint64_t
id_hash(const char *text)
{
    return XXH3_64bits(text, strlen(text));
}

/* Stable rank of a root request, 0 (kept longest) to ID_RANKS - 1. */
int
id_rank(const char *root_text)
{
    return (int)(id_hash(root_text) % ID_RANKS);
}

/* 64 random bits. */
uint64_t
id_random(void)
{
    static _Thread_local uint64_t kept[ID_RANDOM_KEPT];
    static _Thread_local size_t left;
    if (left == 0) {
        randombytes_buf(kept, sizeof(kept));
        left = ID_RANDOM_KEPT;
    }
    return kept[--left];
}
