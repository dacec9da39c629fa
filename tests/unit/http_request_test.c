/* Requests as http_conn reads them: the tables of valid and broken ones, and
 * request_reader beside it.  Whatever http_conn accepts, both must read alike,
 * however the bytes are split. */
#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "broken_request.h"
#include "evloop.h"
#include "http_conn.h"
#include "http_syntax.h"
#include "lav/err.h"
#include "request_reader.h"

TestSuite(http_request);

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define FIELDS "Host: h.example\r\n"
#define ACCEPTED (-1) /* no failure of the connection */

/* What a connection has read: each message as one line of text. */
typedef struct reading {
    GString *messages;
    int failure; /* a http_conn_close_reason, or ACCEPTED */
    bool ended;  /* the connection has been closed */
    bool linger; /* keep the connection for a response then */
} reading;

static enum http_conn_head_result
on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)c;
    reading *r = payload;
    g_string_append(r->messages, head->method);
    request_reader_append(r->messages, http_head_get_target(head));
    for (int i = 0; i < head->count; i++) {
        const char *text = bytebuf_data(&head->text);
        request_reader_append(r->messages,
                              (http_str){text + head->fields[i].name.offset,
                                         head->fields[i].name.length});
        request_reader_append(r->messages,
                              (http_str){text + head->fields[i].value.offset,
                                         head->fields[i].value.length});
    }
    g_string_append(r->messages, head->is_http_1_0 ? " 1.0 " : " 1.1 ");
    return HTTP_CONN_ACCEPT;
}

static void
on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    g_string_append_len(((reading *)payload)->messages, bytes, (gssize)length);
}

static void
on_message(http_conn *c, void *payload)
{
    g_string_append(((reading *)payload)->messages, " end\n");
    http_conn_next_request(c);
}

static void
on_drain(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

static void
on_close(http_conn *c, enum http_conn_close_reason reason, void *payload)
{
    reading *r = payload;
    r->ended = true;
    r->failure = reason == HTTP_CONN_EOF ? ACCEPTED : (int)reason;
    if (r->linger) {
        http_conn_linger(c);
    }
}

static const http_conn_handlers handlers = {on_head, on_body, on_message,
                                            on_drain, on_close};

/* Have a connection read bytes, in parts of `part` bytes. */
static reading
read_bytes(const char *bytes, size_t length, size_t part)
{
    static const struct sockaddr_in from = {.sin_family = AF_INET};
    reading r = {.messages = g_string_new(NULL), .failure = ACCEPTED};
    int fds[2];
    evloop *l = NULL;
    http_conn *c = NULL;
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
    cr_assert_eq(evloop_new(&l), 0);
    cr_assert_eq(http_conn_accept(&c, l, fds[0], &from, 0, &handlers, &r), 0);
    for (size_t at = 0; at < length && !r.ended; at += part) {
        size_t size = MIN(part, length - at);
        cr_assert_eq(send(fds[1], bytes + at, size, MSG_NOSIGNAL), size);
        ev_run(l->loop, EVRUN_NOWAIT);
    }
    close(fds[1]);
    while (!r.ended) {
        ev_run(l->loop, EVRUN_ONCE);
    }
    evloop_free(l);
    return r;
}

/* The whole messages that a connection read. */
static void
truncate_to_whole(GString *messages)
{
    static const char end[] = " end\n";
    gsize length = messages->len;
    while (length >= strlen(end) &&
           memcmp(messages->str + length - strlen(end), end, strlen(end)) !=
               0) {
        length--;
    }
    g_string_truncate(messages, length >= strlen(end) ? length : 0);
}

/* Check that a connection reads the same whole requests as the grammar. */
static bool
check_bytes(const char *name, const GString *bytes, size_t part)
{
    reading r = read_bytes(bytes->str, bytes->len, part);
    GString *expected = request_reader_read(bytes->str, bytes->len);
    truncate_to_whole(r.messages);
    /* What http_conn rejects beyond the grammar, such as an unknown method, is
     * not read further; nothing is read that the grammar doesn't allow. */
    bool alike =
        r.messages->len <= expected->len &&
        memcmp(r.messages->str, expected->str, r.messages->len) == 0 &&
        (r.failure != ACCEPTED || r.messages->len == expected->len);
    cr_expect(alike, "%s, parts of %zu: failure %d, read\n%s\nnot\n%s\nof\n%s",
              name, part, r.failure, r.messages->str, expected->str,
              bytes->str);
    g_string_free(expected, TRUE);
    g_string_free(r.messages, TRUE);
    return alike;
}

static GString *
format_request(const broken_request *request)
{
    GString *text =
        g_string_new_len(request->start.bytes, (gssize)request->start.length);
    g_string_append(text, FIELDS);
    g_string_append_len(text, request->rest.bytes,
                        (gssize)request->rest.length);
    return text;
}

/* The failure that a case of the tables must have. */
static int
expected_failure(const broken_request *request)
{
    return request->status == 0     ? ACCEPTED
           : request->status == 501 ? HTTP_CONN_UNSUPPORTED
                                    : HTTP_CONN_MALFORMED;
}

static void
check_table(const broken_request_table *table)
{
    int failed = 0;
    for (size_t i = 0; i < table->count; i++) {
        const broken_request *request = &table->cases[i];
        GString *text = format_request(request);
        g_string_append(text, "POST /second HTTP/1.1\r\n\r\n");
        reading r = read_bytes(text->str, text->len, text->len);
        bool second = strstr(r.messages->str, "[7:/second]") != NULL;
        bool held = r.failure == expected_failure(request) &&
                    second == (request->status == 0);
        failed += held ? 0 : 1;
        cr_expect(held, "%s: failure %d, second %d", request->name, r.failure,
                  second);
        g_string_free(r.messages, TRUE);
        g_string_free(text, TRUE);
    }
    cr_expect_eq(failed, 0, "%s: %d of %zu", table->name, failed,
                 table->count);
}

Test(http_request, only_valid_requests_are_accepted)
{
    check_table(&valid_requests);
    for (size_t i = 0; i < BROKEN_REQUEST_TABLE_COUNT; i++) {
        check_table(broken_request_tables[i]);
    }
}

/* The checks don't rely on those of http_parser. */
Test(http_request, broken_heads_are_rejected_by_the_grammar)
{
    static const broken_request_table *const tables[] = {
        &broken_request_lines, &broken_request_fields};
    for (size_t t = 0; t < COUNT(tables); t++) {
        for (size_t i = 0; i < tables[t]->count; i++) {
            const broken_request *request = &tables[t]->cases[i];
            GString *text = format_request(request);
            http_syntax syntax;
            size_t out = 0;
            http_syntax_begin_request(&syntax);
            int result =
                http_syntax_check(&out, &syntax, text->str, text->len);
            cr_expect_eq(result, request->status == 501 ? 0 : ERR_INVALID,
                         "%s: %d", request->name, result);
            g_string_free(text, TRUE);
        }
    }
}

Test(http_request, cases_are_read_by_the_grammar)
{
    const broken_request_table *tables[BROKEN_REQUEST_TABLE_COUNT + 1] = {
        &valid_requests};
    memcpy(tables + 1, broken_request_tables, sizeof(broken_request_tables));
    for (size_t t = 0; t < COUNT(tables); t++) {
        for (size_t i = 0; i < tables[t]->count; i++) {
            GString *text = format_request(&tables[t]->cases[i]);
            check_bytes(tables[t]->cases[i].name, text, 1);
            check_bytes(tables[t]->cases[i].name, text, text->len);
            g_string_free(text, TRUE);
        }
    }
}

#define SEED 20261207
#define CHANGED_CASES 20000
#define CHANGES_MAX 3

/* Change a byte, remove it, or put another one before it. */
static void
change_once(GString *text, GRand *random)
{
    static const char odd[] = " \t\r\n\0\1\177\xff:;,0129afxX/HTP.";
    gsize at = (gsize)g_rand_int_range(random, 0, (gint32)text->len);
    char byte = odd[g_rand_int_range(random, 0, sizeof(odd) - 1)];
    switch (g_rand_int_range(random, 0, 3)) {
    case 0:
        text->str[at] = byte;
        break;
    case 1:
        g_string_erase(text, (gssize)at, 1);
        break;
    default:
        g_string_insert_len(text, (gssize)at, &byte, 1);
        break;
    }
}

/* Two requests of the tables, changed at random places. */
Test(http_request, changed_requests_are_read_by_the_grammar, .timeout = 120)
{
    GRand *random = g_rand_new_with_seed(SEED);
    int failed = 0;
    for (int i = 0; i < CHANGED_CASES && failed < 5; i++) {
        GString *text = g_string_new(NULL);
        for (int j = 0; j < 2; j++) {
            guint32 n = g_rand_int(random);
            const broken_request_table *table =
                n % 4 != 0 ? &valid_requests
                           : broken_request_tables[n / 4 %
                                                   BROKEN_REQUEST_TABLE_COUNT];
            GString *one =
                format_request(&table->cases[n / 16 % (guint32)table->count]);
            g_string_append_len(text, one->str, (gssize)one->len);
            g_string_free(one, TRUE);
        }
        int changes = g_rand_int_range(random, 0, CHANGES_MAX + 1);
        for (int j = 0; j < changes; j++) {
            change_once(text, random);
        }
        size_t part = (size_t)g_rand_int_range(random, 0, 3) == 0
                          ? text->len
                          : (size_t)g_rand_int_range(random, 1, 40);
        char name[32];
        g_snprintf(name, sizeof(name), "case %d", i);
        failed += check_bytes(name, text, part) ? 0 : 1;
        g_string_free(text, TRUE);
    }
    g_rand_free(random);
}

#define PIECE_SIZE 32768
#define PIECES_MAX (4 * HTTP_CONN_UNUSED_BYTES_MAX / PIECE_SIZE)

/* A client that goes on sending after its request was rejected is cut off
 * before HTTP_CONN_LINGER_US is over. */
Test(http_request, what_follows_a_rejected_request_is_bounded)
{
    static const struct sockaddr_in from = {.sin_family = AF_INET};
    static char piece[PIECE_SIZE] = "\1";
    reading r = {.failure = ACCEPTED, .linger = true};
    int fds[2];
    evloop *l = NULL;
    http_conn *c = NULL;
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
    cr_assert_eq(evloop_new(&l), 0);
    cr_assert_eq(http_conn_accept(&c, l, fds[0], &from, 0, &handlers, &r), 0);
    int pieces = 0;
    while (l->open > 0 && pieces < PIECES_MAX) {
        ssize_t sent = send(fds[1], piece, sizeof(piece), MSG_NOSIGNAL);
        pieces += sent > 0 ? 1 : 0;
        ev_run(l->loop, EVRUN_NOWAIT);
    }
    cr_expect_eq(r.failure, HTTP_CONN_MALFORMED);
    cr_expect_gt(pieces, 1);
    cr_expect_lt(pieces, PIECES_MAX);
    close(fds[1]);
    evloop_free(l);
}
