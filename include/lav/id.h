/*
 * id: request ids.  An id is "<time>-<rest>": the wall time of the root
 * request in hexadecimal milliseconds, then 8 to 32 characters of the
 * caller's choice.  A call made for a root request has an id derived from
 * the root's, so that the same step of the same request has the same id
 * however often it is attempted.
 */
#ifndef LAV_ID_H
#define LAV_ID_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ID_SIZE 64     /* bytes of the text, with the closing NUL */
#define ID_REST_MIN 8  /* characters after the dash */
#define ID_REST_MAX 32 /* ditto */
#define ID_RANKS 128   /* ranks within a class */
#define ID_KEY_SIZE 64 /* bytes of a call key, with the closing NUL */

typedef struct id {
    int64_t time_ms; /* wall time of the root request */
    char text[ID_SIZE];
} id;

int id_parse(id *out, const char *text);
void id_mint(id *out, int64_t wall_ms);
void id_derive(id *out, const id *root, const char *operation,
               const char *key);
uint64_t id_hash(const char *text);
int id_rank(const char *root_text);
uint64_t id_random(void);

#ifdef __cplusplus
}
#endif

#endif
