/* The blocking HTTP client of lav-node and the tools against a server whose
 * responses are not valid HTTP/1.1. */
#include <criterion/criterion.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "lav/http_sync.h"
#include "response_server.h"

/* Sends a request to a server that answers with `response` and goes on with
 * `repeated`, which may be NULL. */
static int
request_once(http_sync_response *out, const broken_response *response,
             const char *repeated)
{
    response_server server;
    char url[64];
    http_sync_client *client = NULL;
    http_sync_request request = {.method = "GET",
                                 .path = "/",
                                 .timeout_s = 5,
                                 .response_body_bytes_max = 100};
    response_server_start(&server, response, repeated);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d",
             ntohs(server.address.sin_port));
    cr_assert_eq(http_sync_new(&client, url, NULL), 0);
    int result = http_sync_perform(out, client, &request, NULL);
    http_sync_free(client);
    response_server_stop(&server);
    cr_expect(repeated == NULL || server.was_closed, "%s: not closed",
              response->name);
    return result;
}

static void
check_table(const broken_response_table *table, bool valid)
{
    for (size_t i = 0; i < table->count; i++) {
        const char *name = table->cases[i].name;
        http_sync_response response;
        int result = request_once(&response, &table->cases[i], NULL);
        cr_expect_eq(result, valid ? 0 : ERR_UNKNOWN,
                     "%s: result %d, status %d", name, result,
                     response.status);
        if (valid && result == 0) {
            cr_expect_eq(response.status, 200, "%s", name);
            cr_expect_str_eq(response.body, BROKEN_RESPONSE_BODY, "%s", name);
        }
        http_sync_response_clear(&response);
    }
}

Test(http_sync, only_valid_responses_are_complete)
{
    check_table(&valid_responses, true);
    for (size_t i = 0; i < BROKEN_RESPONSE_TABLE_COUNT; i++) {
        check_table(broken_response_tables[i], false);
    }
}

#define PEAK_GROWTH_MAX_KB (16 * 1024)

#define OK "HTTP/1.1 200 OK\r\n"
#define FLOOD(name, start, repeated, result)                                  \
    {                                                                         \
        {name, {start, sizeof(start) - 1}, {"", 0}}, repeated, result         \
    }

typedef struct flood_case {
    broken_response response;
    const char *repeated;
    int result;
} flood_case;

static const flood_case flood_cases[] = {
    FLOOD("bytes", "", "\1\2\3", ERR_UNKNOWN),
    FLOOD("empty lines", "", "\r\n", ERR_UNKNOWN),
    FLOOD("reason", "HTTP/1.1 200 ", "a", ERR_UNKNOWN),
    FLOOD("name", OK, "a", ERR_UNKNOWN),
    FLOOD("value", OK "X-Filler: ", "a", ERR_UNKNOWN),
    FLOOD("fields", OK, "X-Filler: a\r\n", ERR_UNKNOWN),
    FLOOD("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n",
          ERR_UNKNOWN),
    FLOOD("fields of an interim response", "HTTP/1.1 103 Early Hints\r\n",
          "X-Filler: a\r\n", ERR_UNKNOWN),
    FLOOD("body", OK "Content-Length: 900000000000\r\n\r\n", "a", ERR_FULL),
    FLOOD("body without a length", OK "\r\n", "a", ERR_FULL),
    FLOOD("chunks", OK "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n",
          ERR_FULL),
    FLOOD("size of a chunk", OK "Transfer-Encoding: chunked\r\n\r\n", "0",
          ERR_UNKNOWN),
    FLOOD("extension of a chunk",
          OK "Transfer-Encoding: chunked\r\n\r\n5;x=", "a", ERR_UNKNOWN),
    FLOOD("trailer", OK "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", "a",
          ERR_UNKNOWN),
    FLOOD("trailer fields", OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
          "X-T: a\r\n", ERR_UNKNOWN),
};

static long
peak_kb(void)
{
    struct rusage usage;
    cr_assert_eq(getrusage(RUSAGE_SELF, &usage), 0);
    return usage.ru_maxrss;
}

/* Bytes without end: the client closes the connection and keeps little. */
Test(http_sync, bytes_without_end, .timeout = 300)
{
    long before_kb = peak_kb();
    for (size_t i = 0; i < sizeof(flood_cases) / sizeof(flood_cases[0]); i++) {
        const flood_case *f = &flood_cases[i];
        http_sync_response response;
        int result = request_once(&response, &f->response, f->repeated);
        cr_expect_eq(result, f->result, "%s: result %d", f->response.name,
                     result);
        cr_expect_lt(peak_kb() - before_kb, PEAK_GROWTH_MAX_KB, "%s: %ld KiB",
                     f->response.name, peak_kb() - before_kb);
        http_sync_response_clear(&response);
    }
}
