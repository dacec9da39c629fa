/* Validation of service files, service catalogs and node settings: what is
 * rejected, with the line and the reason. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "lav/catalog.h"
#include "lav/nodecfg.h"

#define SERVICE "[service]\nname = \"a\"\n"
#define OPERATION                                                             \
    "[operations.x]\nclass = \"critical\"\nidempotent = false\n"              \
    "caller_wait = \"2s\"\n"

typedef struct file_case {
    const char *text;
    int line; /* of the error; 0: the file is valid, or any line */
    const char *reason;
} file_case;

static const file_case file_cases[] = {
    {SERVICE OPERATION, 0, ""},
    {SERVICE "colour = \"blue\"\n" OPERATION, 3, "unknown key"},
    {SERVICE OPERATION "[extra]\n", 7, "unknown key"},
    {SERVICE OPERATION "wait = \"1s\"\n", 7, "unknown key"},
    {"[service]\nname = 3\n" OPERATION, 2, "must be a short string"},
    {"[service]\n" OPERATION, 1, "missing key"},
    {"[service]\nname = \"A b\"\n" OPERATION, 2, "lower-case"},
    {"[service]\nname = \"a\n", 2, ""},
    {"", 0, NULL}, /* no service table; the line is not checked */
    {SERVICE, 1, "no operations"},
    {SERVICE "[operations.x]\nclass = \"urgent\"\nidempotent = true\n"
             "caller_wait = \"1s\"\n",
     4, "must be one of critical, normal, browse"},
    {SERVICE "[operations.x]\nclass = \"browse\"\nidempotent = \"no\"\n"
             "caller_wait = \"1s\"\n",
     5, "must be true or false"},
    {SERVICE "[operations.x]\nclass = \"browse\"\nidempotent = true\n"
             "caller_wait = 1\n",
     6, "must be a duration"},
    {SERVICE "[operations.x]\nclass = \"browse\"\nidempotent = true\n"
             "caller_wait = \"1h\"\n",
     6, "must be a duration"},
    {SERVICE "[operations.x]\nclass = \"browse\"\nidempotent = true\n"
             "caller_wait = \"2m\"\n",
     6, "out of range"},
    {SERVICE "[operations.x]\nclass = \"browse\"\nidempotent = true\n", 3,
     "missing key"},
    {SERVICE "[policy]\nretry_budget = 99\n" OPERATION, 4, "out of range"},
    {SERVICE "[policy]\nrank = 1\n" OPERATION, 4, "must be true or false"},
    {SERVICE OPERATION "calls = \"b.y\"\n", 7, "must be a list"},
};

Test(config, service_files)
{
    size_t count = sizeof(file_cases) / sizeof(file_cases[0]);
    for (size_t i = 0; i < count; i++) {
        const file_case *c = &file_cases[i];
        svc_file *file = NULL;
        err e = ERR_INIT;
        int result = svc_parse(&file, c->text, "a.toml", &e);
        if (c->reason == NULL) {
            cr_expect_eq(result, ERR_INVALID, "case %zu", i);
            continue;
        }
        if (c->line == 0) {
            cr_expect_eq(result, 0, "case %zu: %s", i, e.message);
            svc_free(file);
            continue;
        }
        cr_expect_eq(result, ERR_INVALID, "case %zu", i);
        cr_expect_str_eq(e.where, "a.toml");
        cr_expect_eq(e.line, c->line, "case %zu: line %d, %s", i, e.line,
                     e.message);
        cr_expect(strstr(e.message, c->reason) != NULL, "case %zu: %s", i,
                  e.message);
    }
}

/* A service with one operation, as part of a catalog. */
typedef struct catalog_line {
    const char *service;
    const char *wait;
    const char *calls;
} catalog_line;

typedef struct catalog_case {
    catalog_line lines[10];
    const char *reason; /* NULL: valid */
    const char *file;
} catalog_case;

static const catalog_case catalog_cases[] = {
    {{{"a", "2s", "\"b.x\""}, {"b", "1s", ""}}, NULL, ""},
    {{{"a", "2s", "\"c.x\""}, {"b", "1s", ""}}, "which no file", "a.toml"},
    {{{"a", "2s", "\"b.x\""}, {"b", "3s", ""}}, "shorter", "a.toml"},
    {{{"a", "2s", "\"b.x\""}, {"b", "2s", "\"a.x\""}}, "cycle", "a.toml"},
    {{{"a", "2s", "\"a.x\""}}, "cycle", "a.toml"},
    {{{"a", "2s", ""}, {"a", "2s", ""}}, "two files", "a.toml"},
    {{{"a", "1s", "\"b.x\""},
      {"b", "1s", "\"c.x\""},
      {"c", "1s", "\"d.x\""},
      {"d", "1s", "\"e.x\""},
      {"e", "1s", "\"f.x\""},
      {"f", "1s", "\"g.x\""},
      {"g", "1s", ""}},
     NULL,
     ""},
    {{{"a", "1s", "\"b.x\""},
      {"b", "1s", "\"c.x\""},
      {"c", "1s", "\"d.x\""},
      {"d", "1s", "\"e.x\""},
      {"e", "1s", "\"f.x\""},
      {"f", "1s", "\"g.x\""},
      {"g", "1s", "\"h.x\""},
      {"h", "1s", ""}},
     "deeper",
     "a.toml"},
};

/* Parse a service file with one operation. */
static svc_file *
make_file(const catalog_line *line)
{
    char text[512];
    char path[64];
    svc_file *file = NULL;
    snprintf(path, sizeof(path), "%s.toml", line->service);
    snprintf(text, sizeof(text),
             "[service]\nname = \"%s\"\n[operations.x]\nclass = \"normal\"\n"
             "idempotent = true\ncaller_wait = \"%s\"\ncalls = [%s]\n",
             line->service, line->wait, line->calls);
    cr_assert_eq(svc_parse(&file, text, path, NULL), 0);
    return file;
}

Test(config, catalogs)
{
    size_t count = sizeof(catalog_cases) / sizeof(catalog_cases[0]);
    for (size_t i = 0; i < count; i++) {
        const catalog_case *c = &catalog_cases[i];
        svc_file *files[10];
        size_t lines = 0;
        catalog *services = NULL;
        err e = ERR_INIT;
        for (; lines < 10 && c->lines[lines].service != NULL; lines++) {
            files[lines] = make_file(&c->lines[lines]);
        }
        int result = catalog_new(&services, files, lines, &e);
        if (c->reason == NULL) {
            cr_expect_eq(result, 0, "case %zu: %s", i, e.message);
            catalog_free(services);
            continue;
        }
        cr_expect_eq(result, ERR_INVALID, "case %zu", i);
        cr_expect(strstr(e.message, c->reason) != NULL, "case %zu: %s", i,
                  e.message);
        cr_expect_str_eq(e.where, c->file, "case %zu", i);
    }
}

#define NODE                                                                  \
    "[node]\nname = \"n\"\nservice = \"a\"\navailability_zone = \"z\"\n"      \
    "address = \"127.0.0.1\"\ncallers_port = 1\ntarget_port = 2\n"            \
    "peer_port = 3\ncontrol_port = 4\n"
#define PLATFORM "[platform]\nurl = \"http://127.0.0.1:5\"\n"

static const file_case node_cases[] = {
    {NODE PLATFORM, 0, ""},
    {NODE, 0, NULL},
    {NODE "zone = \"z\"\n" PLATFORM, 10, "unknown key"},
    {NODE PLATFORM "[limits]\ncalls = 0\n", 13, "out of range"},
    {NODE PLATFORM "[limits]\nlinger = \"5\"\n", 13, "must be a duration"},
    {NODE PLATFORM "[peers]\nseeds = \"x\"\n", 13, "must be a list"},
};

Test(config, node_settings)
{
    size_t count = sizeof(node_cases) / sizeof(node_cases[0]);
    for (size_t i = 0; i < count; i++) {
        const file_case *c = &node_cases[i];
        nodecfg settings;
        err e = ERR_INIT;
        int result = nodecfg_parse(&settings, c->text, "n.toml", &e);
        if (c->reason != NULL && c->line == 0) {
            cr_expect_eq(result, 0, "case %zu: %s", i, e.message);
            cr_expect_eq(settings.advertised_peer_port, 3);
            continue;
        }
        cr_expect_eq(result, ERR_INVALID, "case %zu", i);
        if (c->reason != NULL) {
            cr_expect_eq(e.line, c->line, "case %zu: line %d", i, e.line);
            cr_expect(strstr(e.message, c->reason) != NULL, "case %zu: %s", i,
                      e.message);
        }
    }
}
