/* Emulation files: parsing and error messages. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "emu_file.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

/* Folder of the example emulations, set by the build. */
#ifndef EMU_FILE_EXAMPLES
#define EMU_FILE_EXAMPLES "examples/emulations"
#endif

Test(emu_file, an_example_is_loaded_and_run)
{
    static emu_file f;
    err e = ERR_INIT;
    cr_assert_eq(emu_file_load(&f, EMU_FILE_EXAMPLES "/burst.toml", &e), 0,
                 "%s", e.message);
    cr_expect_str_eq(f.name, "burst");
    cr_expect_eq(f.opts.service_count, 4);
    cr_expect_eq(f.opts.kind_count, 7);
    int calls = 0;
    for (int i = 0; i < f.opts.kind_count; i++) {
        for (int j = 0; j < EMU_CALLS_MAX; j++) {
            calls += f.kinds[i].calls[j].times;
        }
    }
    cr_expect_eq(calls, 1 + 2 + 1 + 4);
    cr_expect_float_eq(f.opts.disruption.load, 3, 1e-9);
    cr_expect_eq(f.opts.disruption.slow_service, EMU_NONE);
    emu_result once;
    emu_result again;
    cr_assert_eq(emu_run(&once, &f.opts), 0);
    cr_assert_eq(emu_run(&again, &f.opts), 0);
    cr_expect_eq(memcmp(&once, &again, sizeof(once)), 0);
}

typedef struct error_case {
    const char *from; /* text in the example */
    const char *to;
    const char *reported; /* substring of the error message */
} error_case;

static const error_case error_cases[] = {
    {"slots = 58", "slots = 0", "slots"},
    {"slots = 58", "slott = 58", "slott"},
    {"service = \"shop\"", "service = \"shed\"", "no such service"},
    {"\"order_read 1\"", "\"order_reed 1\"", "no such kind"},
    {"\"order_read 1\"", "\"order_read\"", "KIND TIMES"},
    {"\"order_read 1\"", "\"order_read 0\"", "KIND TIMES"},
    {"\"0.7\", \"0.7\"", "\"0.7\", \"-1\"", "not above 0"},
    {"load = 3", "slow_service = \"shed\"", "no such service"},
    {"[trouble]", "[troubles]", "troubles"},
    {"length = \"25s\"", "length = 25", "length"},
};

/* Write the example file with one text replaced. */
static void
write_changed(const char *path, const error_case *c)
{
    static char text[8192];
    FILE *in = fopen(EMU_FILE_EXAMPLES "/burst.toml", "r");
    cr_assert_not_null(in);
    text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
    fclose(in);
    char *at = strstr(text, c->from);
    cr_assert_not_null(at, "%s", c->from);
    FILE *out = fopen(path, "w");
    cr_assert_not_null(out);
    fprintf(out, "%.*s%s%s", (int)(at - text), text, c->to,
            at + strlen(c->from));
    fclose(out);
}

Test(emu_file, errors_are_reported)
{
    char path[] = "/tmp/lav-emu-file-XXXXXX";
    int fd = mkstemp(path);
    cr_assert_neq(fd, -1);
    close(fd);
    for (size_t i = 0; i < COUNT(error_cases); i++) {
        const error_case *c = &error_cases[i];
        static emu_file f;
        err e = ERR_INIT;
        write_changed(path, c);
        cr_expect_lt(emu_file_load(&f, path, &e), 0, "%s", c->to);
        cr_expect_not_null(strstr(e.message, c->reported), "%s: %s", c->to,
                           e.message);
    }
    unlink(path);
}
