/*
 * id: request ids.  An id is "<time>-<suffix>": the wall time of the root
 * request in milliseconds, in hexadecimal, and 8 to 32 alphanumeric characters
 * chosen by the caller.  The id of a call made for a root request is derived
 * from the root's id, so that every attempt of the same step has the same id.
 */
#ifndef LAV_ID_H
#define LAV_ID_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ID_SIZE 64       /* bytes of the text, with the terminating NUL */
#define ID_SUFFIX_MIN 8  /* least characters of the suffix */
#define ID_SUFFIX_MAX 32 /* most characters of the suffix */
#define ID_RANKS 128     /* number of ranks within a class */
#define ID_KEY_SIZE 64   /* bytes of a call key, with the terminating NUL */

typedef struct id {
    int64_t time_ms; /* wall time of the root request */
    char text[ID_SIZE];
} id;

int id_parse(id *out, const char *text);
void id_generate(id *out, int64_t wall_ms);
void id_derive(id *out, const id *root, const char *operation,
               const char *key);
uint64_t id_hash(const char *text);
int id_rank(const char *root_text);
uint64_t id_random(void);

#ifdef __cplusplus
}
#endif

#endif
