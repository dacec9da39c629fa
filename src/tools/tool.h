/*
 * tool: what the operator's programs share: exit codes, options and the
 * reading of service files.
 */
#ifndef LAV_TOOL_H
#define LAV_TOOL_H

#include <glib.h>
#include <stdbool.h>

#include "lav/manifest.h"
#include "lav/err.h"
#include "lav/catalog.h"

enum tool_exit {
    TOOL_OK = 0,
    TOOL_INVALID = 1,     /* a file breaks a rule; nothing was changed */
    TOOL_USAGE = 2,       /* bad arguments */
    TOOL_UNAVAILABLE = 3, /* the platform or a node can't be reached */
    TOOL_CONFLICT = 4,    /* somebody else changed the same file */
    TOOL_UNKNOWN = 5,     /* it can't be told whether it was accepted */
    TOOL_NOT_IN_FORCE = 6 /* accepted, not yet in force everywhere */
};

#define TOOL_FILES_MAX CATALOG_SERVICES_MAX

typedef struct tool_file {
    char *text;
    svc_file *parsed;
    char hash[MANIFEST_HASH_SIZE];
} tool_file;

bool tool_parse(int *argc, char ***argv, const GOptionEntry *entries,
                const char *summary, const char *description,
                const char *name);
int tool_read_files(tool_file *out, size_t *out_count, char **paths, err *e);
void tool_free_files(tool_file *files, size_t count);
void tool_print_error(const char *name, const err *e);

#endif
