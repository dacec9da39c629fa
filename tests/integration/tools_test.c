/* The command-line tools: exit statuses and output. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/nodecfg.h"
#include "proc.h"
#include "rig.h"

#define TOOL_TIMEOUT_MS 10000
#define OUTPUT_MAX (1024 * 1024)
#define NO_PLATFORM "http://127.0.0.1:9"

static char platform_url[64];
static char node_url[64];
static char request_text[ID_SIZE];
static char good_file[CLUSTER_PATH_SIZE * 2];
static char bad_file[CLUSTER_PATH_SIZE * 2];

typedef struct tool_case {
    const char *program;
    const char *arguments[5]; /* those after the last are NULL */
    int status;
    const char *printed; /* occurs in the output */
} tool_case;

static const tool_case tool_cases[] = {
    {"lav-check", {"--version"}, 0, "lav-check 0."},
    {"lav-check", {"--help"}, 0, "Exit status"},
    {"lav-check", {NULL}, 2, ""},
    {"lav-check", {"--no-such-option"}, 2, "Unknown option"},
    {"lav-check", {good_file}, 0, "1 files are valid"},
    {"lav-check", {bad_file}, 1, "bad.toml:3: colour: unknown key"},
    {"lav-check", {"--json", bad_file}, 1, "\"line\":3"},
    {"lav-check", {"/no/such/file"}, 1, "can't be opened"},
    {"lav-publish", {"--version"}, 0, "lav-publish 0."},
    {"lav-publish", {good_file}, 2, "name --platform"},
    {"lav-publish", {"--platform", platform_url, bad_file}, 1, "unknown key"},
    {"lav-publish",
     {"--platform", platform_url, "--expect", "0000", good_file},
     4,
     "changed by somebody else"},
    {"lav-publish",
     {"--platform", platform_url, good_file},
     0,
     "in force at 6 of 6 nodes"},
    {"lav-status", {NULL}, 2, "name --platform or --node"},
    {"lav-status", {"--platform", NO_PLATFORM}, 3, ""},
    {"lav-status", {"--platform", platform_url}, 0, "pay-2"},
    {"lav-status", {"--node", node_url}, 0, "ready"},
    {"lav-status", {"--json", "--node", node_url}, 0, "\"counters\""},
    {"lav-status", {"--metrics", NO_PLATFORM}, 3, "no response"},
    {"lav-explain", {"--node", node_url}, 2, "one request id"},
    {"lav-explain", {"--node", node_url, "1-unknownid"}, 1, ""},
    {"lav-explain", {"--node", node_url, request_text}, 0, "answered done"},
    {"lav-explain",
     {"--json", "--platform", platform_url, request_text},
     0,
     "attempt 1 of pay.pay"},
    {"lav-node", {"--version"}, 0, "lav-node 0."},
    {"lav-node", {NULL}, 2, "--settings is missing"},
    {"lav-node", {"--settings", bad_file}, 2, "unknown key"},
};

static void
write_text(char *path, size_t size, const rig *r, const char *name,
           const char *text)
{
    snprintf(path, size, "%s/%s", r->cluster.folder, name);
    FILE *file = fopen(path, "wb");
    cr_assert_not_null(file);
    fputs(text, file);
    fclose(file);
}

/* Write the files and make the call that the cases name. */
static void
prepare(const rig *r)
{
    id request;
    char outcome[HTTP_SYNC_HEADER_SIZE];
    char reason[HTTP_SYNC_HEADER_SIZE];
    int port = r->cluster.instances[0].callers_port;
    snprintf(platform_url, sizeof(platform_url), "http://127.0.0.1:%d",
             r->cluster.platform_port);
    snprintf(node_url, sizeof(node_url), "http://127.0.0.1:%d", port);
    write_text(good_file, sizeof(good_file), r, "good.toml",
               "[service]\nname = \"pay\"\n[operations.pay]\nclass = "
               "\"critical\"\nidempotent = false\ncaller_wait = "
               "\"1400ms\"\n");
    write_text(bad_file, sizeof(bad_file), r, "bad.toml",
               "[service]\nname = \"pay\"\ncolour = 1\n");
    id_generate(&request, clock_wall_ms());
    memcpy(request_text, request.text, sizeof(request_text));
    cr_assert_eq(rig_post(port, "/call/front/order", request_text, 1, "{}",
                          outcome, reason),
                 200);
}

/* Run a tool and check its exit status and output. */
static void
run_case(const rig *r, const tool_case *c, size_t index)
{
    char program[CLUSTER_PATH_SIZE * 2];
    char log[CLUSTER_PATH_SIZE * 2];
    char *argv[8] = {program};
    char *output = NULL;
    pid_t pid = PROC_NONE;
    snprintf(program, sizeof(program), "%s/%s", r->cluster.programs,
             c->program);
    snprintf(log, sizeof(log), "%s/tool-%zu.log", r->cluster.folder, index);
    for (int i = 0; i < 5 && c->arguments[i] != NULL; i++) {
        argv[i + 1] = (char *)c->arguments[i];
    }
    cr_assert_eq(proc_start(&pid, argv, log, NULL), 0);
    int status = proc_wait(&pid, TOOL_TIMEOUT_MS);
    cr_expect_eq(status, c->status, "case %zu, %s: status %d", index,
                 c->program, status);
    cr_assert_eq(nodecfg_read_text_file(&output, log, OUTPUT_MAX, NULL), 0);
    cr_expect(strstr(output, c->printed) != NULL, "case %zu, %s: %s", index,
              c->program, output);
    free(output);
}

Test(tools, exit_codes_and_output)
{
    static rig r;
    rig_start(&r, "pair", "");
    prepare(&r);
    for (size_t i = 0; i < sizeof(tool_cases) / sizeof(tool_cases[0]); i++) {
        run_case(&r, &tool_cases[i], i);
    }
    rig_stop(&r);
}
