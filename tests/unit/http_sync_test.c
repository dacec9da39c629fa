/* The blocking HTTP client of lav-node and the tools against a server whose
 * responses are not valid HTTP/1.1. */
#include <criterion/criterion.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "lav/http_sync.h"
#include "response_server.h"

typedef struct table_case {
    const broken_response_table *table;
    bool valid;
} table_case;

static const table_case table_cases[] = {
    {&valid_responses, true}, {&broken_status_lines, false},
    {&broken_fields, false},  {&broken_framing, false},
    {&broken_chunks, false},
};

/* Sends a request to a server that answers with `response`. */
static int
request_once(http_sync_response *out, const broken_response *response)
{
    response_server server;
    char url[64];
    http_sync_client *client = NULL;
    http_sync_request request = {.method = "GET",
                                 .path = "/",
                                 .timeout_s = 5,
                                 .response_body_bytes_max = 100};
    response_server_start(&server, response);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d",
             ntohs(server.address.sin_port));
    cr_assert_eq(http_sync_new(&client, url, NULL), 0);
    int result = http_sync_perform(out, client, &request, NULL);
    http_sync_free(client);
    response_server_stop(&server);
    return result;
}

Test(http_sync, only_valid_responses_are_complete)
{
    for (size_t i = 0; i < sizeof(table_cases) / sizeof(table_cases[0]); i++) {
        const table_case *t = &table_cases[i];
        for (size_t j = 0; j < t->table->count; j++) {
            const char *name = t->table->cases[j].name;
            http_sync_response response;
            int result = request_once(&response, &t->table->cases[j]);
            cr_expect_eq(result, t->valid ? 0 : ERR_UNKNOWN,
                         "%s: result %d, status %d", name, result,
                         response.status);
            if (t->valid && result == 0) {
                cr_expect_eq(response.status, 200, "%s", name);
                cr_expect_str_eq(response.body, BROKEN_RESPONSE_BODY, "%s",
                                 name);
            }
            http_sync_response_clear(&response);
        }
    }
}
