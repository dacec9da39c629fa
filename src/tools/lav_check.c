/* lav-check: validates service files, each alone and all together. */
#include <jansson.h>
#include <stdio.h>

#include "tool.h"

static char **check_paths;
static gboolean check_json;

static const GOptionEntry check_entries[] = {
    {"json", 0, 0, G_OPTION_ARG_NONE, &check_json, "Print JSON", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &check_paths, "",
     "FILE..."},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* Validate the files together; the parsed files are consumed. */
static int
check_catalog(tool_file *files, size_t count, err *e)
{
    svc_file *parsed[TOOL_FILES_MAX];
    catalog *services = NULL;
    for (size_t i = 0; i < count; i++) {
        parsed[i] = files[i].parsed;
        files[i].parsed = NULL; /* the catalog takes ownership */
    }
    int result = catalog_new(&services, parsed, count, e);
    if (result == 0) {
        catalog_free(services);
    }
    return result;
}

/* Print the result as text, or as JSON with --json. */
static void
check_report(int result, size_t count, const err *e)
{
    if (check_json) {
        json_t *json = json_pack("{s:b,s:i,s:s,s:i,s:s}", "valid", result == 0,
                                 "files", (int)count, "file", e->where, "line",
                                 e->line, "reason", e->message);
        json_dumpf(json, stdout, JSON_COMPACT);
        printf("\n");
        json_decref(json);
    }
    else if (result == 0) {
        printf("%zu files are valid together\n", count);
    }
    else {
        tool_print_error("lav-check", e);
    }
}

int
main(int argc, char **argv)
{
    static tool_file files[TOOL_FILES_MAX];
    size_t count = 0;
    err e = ERR_INIT;
    if (!tool_parse(&argc, &argv, check_entries, "- validate service files",
                    "Exit status: 0 valid, 1 invalid, 2 bad arguments.",
                    "lav-check") ||
        check_paths == NULL) {
        return TOOL_USAGE;
    }
    int result = tool_read_files(files, &count, check_paths, &e);
    if (result == 0) {
        result = check_catalog(files, count, &e);
    }
    check_report(result, count, &e);
    tool_free_files(files, count);
    g_strfreev(check_paths);
    return result == 0 ? TOOL_OK : TOOL_INVALID;
}
