/*
 * tool: code shared by the command-line tools: exit codes, option parsing and
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
    TOOL_INVALID = 1,     /* invalid input or not found; nothing was changed */
    TOOL_USAGE = 2,       /* bad arguments */
    TOOL_UNAVAILABLE = 3, /* platform, node or log can't be reached */
    TOOL_CONFLICT = 4,    /* somebody else changed the same file */
    TOOL_UNKNOWN = 5,     /* unknown whether it was accepted */
    TOOL_NOT_ACTIVE = 6   /* accepted, not yet active on all nodes */
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
