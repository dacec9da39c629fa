#include "tool.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/nodecfg.h"
#include "lav/version.h"

/* Parse the arguments; false if the program is to exit with TOOL_USAGE.
 * --version prints the version and exits at once. */
bool
tool_parse(int *argc, char ***argv, const GOptionEntry *entries,
           const char *summary, const char *description, const char *name)
{
    gboolean show_version = FALSE;
    GError *error = NULL;
    const GOptionEntry common[] = {
        {"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
         "Print the version and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new(summary);
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_add_main_entries(context, common, NULL);
    g_option_context_set_description(context, description);
    bool parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "%s: %s\n", name, error->message);
        g_error_free(error);
        return false;
    }
    if (show_version) {
        printf("%s %s\n", name, LAV_VERSION);
        exit(TOOL_OK);
    }
    return sodium_init() >= 0;
}

/* Read and parse service files; release them with tool_free_files(), also
 * after a failure.  ERR_FULL for more than TOOL_FILES_MAX files. */
int
tool_read_files(tool_file *out, size_t *out_count, char **paths, err *e)
{
    *out_count = 0;
    for (char **path = paths; path != NULL && *path != NULL; path++) {
        if (*out_count == TOOL_FILES_MAX) {
            return ERR_SET(e, ERR_FULL, "more than %d files", TOOL_FILES_MAX);
        }
        tool_file *file = &out[*out_count];
        *file = (tool_file){0};
        (*out_count)++;
        int result =
            nodecfg_read_text_file(&file->text, *path, SVC_FILE_SIZE_MAX, e);
        if (result == 0) {
            result = svc_parse(&file->parsed, file->text, *path, e);
        }
        if (result < 0) {
            return result;
        }
        manifest_hash_text(file->hash, file->text);
    }
    return 0;
}

/* Release the files of tool_read_files(). */
void
tool_free_files(tool_file *files, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free(files[i].text);
        svc_free(files[i].parsed);
    }
}

/* Print an error as "file:line: reason", or "program: reason". */
void
tool_print_error(const char *name, const err *e)
{
    if (e->where[0] != '\0') {
        fprintf(stderr, "%s:%d: %s\n", e->where, e->line, e->message);
    }
    else {
        fprintf(stderr, "%s: %s\n", name, e->message);
    }
}
