/* The log: rate limits, non-blocking output and the documented fields. */
#include <criterion/criterion.h>
#include <fcntl.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

#include "frontend_log.h"
#include "lav/clock.h"
#include "lav/log.h"

#define READ_MAX 65536

/* Redirect standard output to a pipe; returns the non-blocking read end. */
static int
pipe_stdout(void)
{
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    cr_assert_neq(dup2(ends[1], STDOUT_FILENO), -1);
    close(ends[1]);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log_init("tested", LOG_INFO);
    return ends[0];
}

/* Read the lines written so far as JSON; returns their number. */
static size_t
read_lines(json_t **out, size_t most, int fd)
{
    static char text[READ_MAX];
    size_t count = 0;
    ssize_t length = read(fd, text, sizeof(text) - 1);
    text[length > 0 ? length : 0] = '\0';
    for (char *line = strtok(text, "\n"); line != NULL && count < most;
         line = strtok(NULL, "\n")) {
        json_t *json = json_loads(line, 0, NULL);
        cr_assert_not_null(json, "%s", line);
        out[count++] = json;
    }
    return count;
}

/* Messages about input that is not UTF-8, or cut within a character, lost
 * their text. */
Test(log, text_that_is_not_utf8)
{
    json_t *lines[4];
    char cut[2048];
    int fd = pipe_stdout();
    memset(cut, 'a', sizeof(cut));
    for (size_t i = 1; i + 2 < sizeof(cut); i += 2) {
        memcpy(cut + i, "\xc3\xa4", 2);
    }
    cut[sizeof(cut) - 1] = '\0';
    log_write(LOG_WARN, "id-\xff", "rejected \xff\xfe");
    log_write(LOG_WARN, NULL, "%s", cut);
    log_write(LOG_WARN, NULL, "a%s", cut);
    log_event(LOG_WARN, "odd", NULL, "{s:s}", "name", "\xff");
    cr_assert_eq(read_lines(lines, 4, fd), 4);
    for (size_t i = 0; i < 3; i++) {
        const char *message =
            json_string_value(json_object_get(lines[i], "message"));
        cr_expect(message != NULL && strlen(message) > 0, "line %zu", i);
    }
    cr_expect_not_null(json_object_get(lines[0], "request"));
    cr_expect(json_is_true(json_object_get(lines[3], "fields_lost")));
}

Test(log, lines_carry_their_fields)
{
    static const char *const fields[] = {"ms",    "level",   "process",
                                         "event", "request", "status"};
    json_t *lines[4];
    int fd = pipe_stdout();
    log_event(LOG_INFO, "answer", "id-1", "{s:i,s:i}", "status", 503, "level",
              7); /* a field can't override a standard one */
    cr_assert_eq(read_lines(lines, 4, fd), 1);
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        cr_expect_not_null(json_object_get(lines[0], fields[i]), "%s",
                           fields[i]);
    }
    cr_expect_str_eq(json_string_value(json_object_get(lines[0], "level")),
                     "info");
}

typedef struct level_case {
    enum log_level level;
    size_t lines;
} level_case;

static const level_case level_cases[] = {
    {LOG_DEBUG, 0}, {LOG_INFO, 1}, {LOG_WARN, 1}, {LOG_ERROR, 1}};

Test(log, lower_levels_are_omitted)
{
    json_t *lines[4];
    int fd = pipe_stdout();
    for (size_t i = 0; i < sizeof(level_cases) / sizeof(level_cases[0]); i++) {
        log_write(level_cases[i].level, NULL, "text");
        cr_expect_eq(read_lines(lines, 4, fd), level_cases[i].lines,
                     "case %zu", i);
    }
}

Test(log, an_event_is_rate_limited_per_second)
{
    json_t *lines[64];
    int fd = pipe_stdout();
    clock_pause(CLOCK_US_PER_S, 0);
    int allowed = 0;
    for (int i = 0; i < 1000; i++) {
        allowed += log_allow_line("often", LOG_LINES_PER_S);
    }
    cr_expect_eq(allowed, LOG_LINES_PER_S);
    cr_expect(log_allow_line("seldom", LOG_LINES_PER_S));
    clock_advance_us(CLOCK_US_PER_S);
    cr_expect(log_allow_line("often", LOG_LINES_PER_S));
    cr_assert_eq(read_lines(lines, 64, fd), 1);
    cr_expect_str_eq(json_string_value(json_object_get(lines[0], "event")),
                     "left_out");
    cr_expect_eq(json_integer_value(json_object_get(lines[0], "lines")),
                 1000 - LOG_LINES_PER_S);
    clock_resume();
}

/* Ten thousand lines a second are sampled evenly after the first burst, and
 * not only at the beginning of each second. */
Test(log, a_flood_is_sampled_all_the_time)
{
    int tenths[20] = {0};
    pipe_stdout();
    clock_pause(CLOCK_US_PER_S, 0);
    for (int i = 0; i < 20000; i++) {
        tenths[i / 1000] += log_allow_line("flood", LOG_LINES_PER_S);
        clock_advance_us(100);
    }
    clock_resume();
    cr_expect_geq(tenths[0], LOG_LINES_PER_S);
    for (int i = 1; i < 20; i++) {
        cr_expect_geq(tenths[i], LOG_LINES_PER_S / 10 - 1, "%d: %d", i,
                      tenths[i]);
        cr_expect_leq(tenths[i], LOG_LINES_PER_S / 10 + 1, "%d: %d", i,
                      tenths[i]);
    }
}

Test(log, a_blocked_reader_drops_lines, .timeout = 30)
{
    pipe_stdout();
    for (int i = 0; i < 20000; i++) {
        log_event(LOG_INFO, "answer", "id", "{s:i}", "status", i);
    }
    cr_expect_gt(log_count_dropped(), 10000);
}

typedef struct group_case {
    enum reason reason;
    int status;
    int depth; /* 1: a call made by a target */
} group_case;

static const group_case group_cases[] = {
    {REASON_EARLY_REFUSAL, 503, 0}, {REASON_QUEUE_TIMEOUT, 503, 0},
    {REASON_LEVEL_REFUSAL, 503, 1}, {REASON_REPLY_LOST, 502, 0},
    {REASON_TIMEOUT, 504, 1},
};

#define GROUPS (sizeof(group_cases) / sizeof(group_cases[0]))

/* The rate limit of one kind of responses does not suppress lines about other
 * kinds. */
Test(log, responses_of_one_kind_dont_suppress_others)
{
    for (size_t flood = 0; flood < GROUPS; flood++) {
        const group_case *f = &group_cases[flood];
        clock_pause(CLOCK_US_PER_S * (int64_t)(flood + 1), 0);
        for (int i = 0; i < LOG_LINES_PER_S + 1; i++) {
            log_allow_line(
                frontend_log_rate_group(f->reason, f->status, f->depth),
                LOG_LINES_PER_S);
        }
        for (size_t i = 0; i < GROUPS; i++) {
            const group_case *c = &group_cases[i];
            bool allowed = log_allow_line(
                frontend_log_rate_group(c->reason, c->status, c->depth),
                LOG_LINES_PER_S);
            cr_expect_eq(allowed, i != flood, "%zu after a flood of %zu", i,
                         flood);
        }
    }
    clock_resume();
}
