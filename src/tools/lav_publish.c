/* lav-publish: publishes service files and reports on which nodes they are
 * active. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "lav/clock.h"
#include "publisher.h"

#define PUBLISH_WAIT_S 4
#define PUBLISH_POLL_US 100000

static char *publish_platform;
static char *publish_expect;
static int publish_wait_s = PUBLISH_WAIT_S;
static gboolean publish_json;
static char **publish_paths;

static const GOptionEntry publish_entries[] = {
    {"platform", 0, 0, G_OPTION_ARG_STRING, &publish_platform,
     "The platform's object API", "URL"},
    {"expect", 0, 0, G_OPTION_ARG_STRING, &publish_expect,
     "Expected hash of the replaced file; default: its current hash", "HASH"},
    {"wait", 0, 0, G_OPTION_ARG_INT, &publish_wait_s,
     "How long to wait until it is active on all nodes", "SECONDS"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &publish_json, "Print JSON", NULL},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &publish_paths, "",
     "FILE..."},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

static const char publish_help[] =
    "Exit status: 0 accepted and active on all nodes, 1 a file is invalid, "
    "2 bad arguments, 3 the platform is unavailable and nothing was changed, "
    "4 somebody else changed the same file, 5 the response was lost and the "
    "outcome is unknown, 6 accepted but not yet active on all nodes.";

/* Map a result of publisher_publish() to an exit code. */
static int
publish_exit_code(int result)
{
    switch (result) {
    case 0:
        return TOOL_OK;
    case ERR_CONFLICT:
        return TOOL_CONFLICT;
    case ERR_UNAVAILABLE:
        return TOOL_UNAVAILABLE;
    case ERR_UNKNOWN:
        return TOOL_UNKNOWN;
    default:
        return TOOL_INVALID;
    }
}

/* Whether a node runs this version or a newer one. */
static bool
publish_is_active(const fleet_node *node, uint64_t version)
{
    json_t *status = fleet_get_json(node, "/lav/status");
    json_int_t active_version =
        json_integer_value(json_object_get(status, "config_version"));
    json_decref(status);
    return active_version >= (json_int_t)version;
}

/* Wait at most publish_wait_s until every listed node runs the version;
 * returns how many do not and moves them to the front of the list. */
static size_t
publish_wait(fleet *f, uint64_t version, int64_t *out_waited_us)
{
    int64_t start_us = clock_now_us();
    size_t behind = f->count;
    for (;;) {
        size_t kept = 0;
        for (size_t i = 0; i < behind; i++) {
            if (!publish_is_active(&f->nodes[i], version)) {
                f->nodes[kept++] = f->nodes[i];
            }
        }
        behind = kept;
        *out_waited_us = clock_now_us() - start_us;
        if (behind == 0 ||
            *out_waited_us >= (int64_t)publish_wait_s * CLOCK_US_PER_S) {
            return behind;
        }
        clock_sleep_us(PUBLISH_POLL_US);
    }
}

/* Wait for an accepted version and print the result; returns the exit code. */
static int
publish_report(uint64_t version, err *e)
{
    int64_t waited_us = 0;
    fleet *f = calloc(1, sizeof(*f));
    if (f == NULL || fleet_discover(f, publish_platform, NULL, e) < 0) {
        free(f);
        printf("accepted as version %" PRIu64 "; the nodes can't be listed\n",
               version);
        return TOOL_NOT_ACTIVE;
    }
    size_t all = f->count;
    size_t behind = publish_wait(f, version, &waited_us);
    if (publish_json) {
        printf("{\"version\": %" PRIu64 ", \"nodes\": %zu, \"behind\": %zu, "
               "\"waited_ms\": %" PRId64 "}\n",
               version, all, behind, waited_us / CLOCK_US_PER_MS);
    }
    else {
        printf("accepted as version %" PRIu64 "; in force at %zu of %zu "
               "nodes after %" PRId64 " ms\n",
               version, all - behind, all, waited_us / CLOCK_US_PER_MS);
        for (size_t i = 0; i < behind; i++) {
            printf("not yet at %s\n", f->nodes[i].name);
        }
    }
    free(f);
    return behind == 0 ? TOOL_OK : TOOL_NOT_ACTIVE;
}

/* Publish parsed files; returns the exit code. */
static int
publish_run(const tool_file *files, size_t count, err *e)
{
    publisher_options options = PUBLISHER_OPTIONS_INIT;
    objstore *platform = NULL;
    uint64_t version = 0;
    options.expect = publish_expect;
    int result = objstore_new(&platform, publish_platform, e);
    fleet *nodes = calloc(1, sizeof(*nodes));
    err ignored = ERR_INIT;
    if (nodes != NULL &&
        fleet_discover(nodes, publish_platform, NULL, &ignored) == 0) {
        options.nodes = nodes;
    }
    if (result == 0) {
        result =
            publisher_publish(&version, platform, files, count, &options, e);
    }
    objstore_free(platform);
    free(nodes);
    if (result < 0) {
        tool_print_error("lav-publish", e);
        return publish_exit_code(result);
    }
    return publish_report(version, e);
}

int
main(int argc, char **argv)
{
    static tool_file files[TOOL_FILES_MAX];
    size_t count = 0;
    err e = ERR_INIT;
    if (!tool_parse(&argc, &argv, publish_entries, "- publish service files",
                    publish_help, "lav-publish") ||
        publish_platform == NULL || publish_paths == NULL) {
        fprintf(stderr, "lav-publish: name --platform and the files\n");
        return TOOL_USAGE;
    }
    int status = TOOL_INVALID;
    if (tool_read_files(files, &count, publish_paths, &e) == 0) {
        status = publish_run(files, count, &e);
    }
    else {
        tool_print_error("lav-publish", &e);
    }
    tool_free_files(files, count);
    g_strfreev(publish_paths);
    return status;
}
