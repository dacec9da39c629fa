/*
 * toml: reads TOML tables into structs as described by field descriptors.
 * Unknown keys, missing required keys, and values of the wrong type or out of
 * range are errors; the first one found is reported with its file and line.
 */
#ifndef LAV_TOML_H
#define LAV_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TOML_ITEM_SIZE 96 /* bytes of one string in a list, with the NUL */
#define TOML_ITEMS_MAX 12 /* strings in a list */

enum toml_kind {
    TOML_STRING,   /* char[max] */
    TOML_BOOL,     /* bool */
    TOML_INT,      /* int64_t, min to max */
    TOML_REAL,     /* double, min to max; integers are accepted */
    TOML_DURATION, /* int64_t in ms, min to max; "250ms", "2.5s", "2m" */
    TOML_ENUM,     /* int, index into the NULL-terminated list `names` */
    TOML_STRINGS   /* toml_strings */
};

typedef struct toml_strings {
    size_t count;
    char items[TOML_ITEMS_MAX][TOML_ITEM_SIZE];
} toml_strings;

typedef struct toml_field {
    const char *key;
    enum toml_kind kind;
    size_t offset; /* of the member in the struct that is read into */
    bool required;
    int64_t min; /* TOML_INT, TOML_REAL, and TOML_DURATION in ms */
    int64_t max; /* the same; TOML_STRING: size of the array in bytes */
    const char *const *names; /* TOML_ENUM: the allowed strings */
} toml_field;

typedef struct toml_doc toml_doc;

/* Called for each sub-table; a negative return value stops the iteration. */
typedef int (*toml_each_table_cb)(const char *name, int line, err *e,
                                  void *payload);

int toml_parse(toml_doc **out, const char *text, const char *path, err *e);
void toml_free(toml_doc *doc);
int toml_check_tables(toml_doc *doc, const char *const *tables, err *e);
int toml_read_table(void *out, toml_doc *doc, const char *table,
                    const toml_field *fields, size_t count, err *e);
int toml_each_table(toml_doc *doc, const char *table,
                    toml_each_table_cb callback, err *e, void *payload);
int toml_find_line(toml_doc *doc, const char *table, const char *key);

#ifdef __cplusplus
}
#endif

#endif
