/* Load shedding by class under overload, and complete responses that belong to
 * their requests. */
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/msg.h"
#include "rig.h"

#define ORDER_RATE 40.0
#define BROWSE_RATE 4000.0
#define SECONDS 5.0

/* A target that begins no call for so long stands still; its share of the load
 * is 400 calls a second.  A call may wait 50 ms longer in its node's queue. */
#define STILL_MS 250
#define STILL_SPAN_MS 600 /* before a refusal */

/* The wall clock time of a moment of the load, in ms. */
static int64_t
load_wall_ms(const loadgen *l, int64_t at_us)
{
    int64_t ago_us = clock_now_us() - l->start_us - at_us;
    return clock_wall_ms() - ago_us / CLOCK_US_PER_MS;
}

/* Whether a target of "front" stood still during the load, shortly before a
 * time of it. */
static bool
front_stood_still(const rig *r, const loadgen *l, int64_t at_us)
{
    int64_t at_ms = load_wall_ms(l, at_us);
    int64_t start_ms = load_wall_ms(l, 0);
    int64_t from_ms = at_ms - STILL_SPAN_MS;
    if (from_ms < start_ms) {
        from_ms = start_ms;
    }
    for (size_t i = 0; i < r->cluster.count; i++) {
        const cluster_instance *instance = &r->cluster.instances[i];
        if (strcmp(instance->service->name, "front") == 0 &&
            exec_log_longest_pause_ms(&r->cluster, instance, from_ms, at_ms) >=
                STILL_MS) {
            return true;
        }
    }
    return false;
}

/* Orders arrive at a third of the capacity of payments, and browsing at over
 * twice the capacity of the targets that both share: only browsing is shed.
 * What is printed with a refused order tells whether a target stood still. */
Test(order, browsing_is_refused_first)
{
    static rig r;
    rig_start(&r, "pair", "");
    loadgen_options options = rig_order_load(ORDER_RATE, SECONDS, 0);
    loadgen_stream *browse = &options.streams[options.stream_count++];
    *browse = options.streams[0];
    snprintf(browse->operation, sizeof(browse->operation), "browse");
    snprintf(browse->klass, sizeof(browse->klass), "browse");
    browse->unrepeatable = false;
    browse->rate = BROWSE_RATE;
    options.workers = 256;
    loadgen *l = rig_start_load(&r, &options);
    loadgen_wait(l);
    int refused[2] = {0, 0};
    int done[2] = {0, 0};
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_response *last = loadgen_final_response(&l->requests[i]);
        refused[l->requests[i].stream] += last->outcome == LOADGEN_NOT_RUN;
        if (l->requests[i].stream == 0 && last->outcome == LOADGEN_NOT_RUN) {
            int64_t at_us = l->requests[i].end_us;
            printf("order refused at %.3f s: %s%s\n",
                   (double)at_us / CLOCK_US_PER_S, last->reason,
                   front_stood_still(&r, l, at_us) ? ", a target stood still"
                                                   : "");
        }
        done[l->requests[i].stream] += last->outcome == LOADGEN_DONE;
    }
    printf("orders: %d done, %d refused; browsing: %d done, %d refused\n",
           done[0], refused[0], done[1], refused[1]);
    fflush(stdout);
    cr_expect_eq(refused[0], 0, "%d orders were refused", refused[0]);
    cr_expect_gt(refused[1], 0);
    cr_expect_gt(done[0], 0);
    loadgen_free(l);
    rig_stop(&r);
}

/* Lets queued calls wait as long as their callers do.  With the default of
 * 300 ms a stalled test machine causes correct refusals, which these tests
 * don't check.  A slot that is never released still causes refusals. */
#define PATIENT_POLICY "queue_wait = \"5s\"\n"

#define BODY_SENDERS 8
#define BODY_ROUNDS 10

typedef struct body_sender {
    int port;
    char letter;
    int wrong;
} body_sender;

/* Send a body of one repeated letter to front.echo.  Returns whether the same
 * body came back; `out_status` is the HTTP status, or -1 when there is no
 * response. */
static bool
echo(int port, size_t length, char letter, int *out_status)
{
    char url[64];
    char *body = malloc(length + 1);
    http_sync_client *client = NULL;
    http_sync_response response;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
    memset(body, letter, length);
    body[length] = '\0';
    cr_assert_eq(http_sync_new(&client, url, NULL), 0);
    http_sync_request request = {.method = "POST",
                                 .path = "/call/front/echo",
                                 .body = body,
                                 .length = length,
                                 .timeout_s = 10,
                                 .response_body_bytes_max =
                                     MSG_BODY_BYTES_MAX};
    int result = http_sync_perform(&response, client, &request, NULL);
    bool equal = result == 0 && response.length == length &&
                 memcmp(response.body, body, length) == 0;
    *out_status = result < 0 ? -1 : response.status;
    if (!equal && length <= MSG_BODY_BYTES_MAX) {
        printf("echo of %zu bytes: result %d, status %d, %zu bytes, outcome "
               "\"%s\", reason \"%s\"\n",
               length, result, result < 0 ? -1 : response.status,
               response.length, response.outcome, response.reason);
        fflush(stdout);
    }
    http_sync_response_clear(&response);
    http_sync_free(client);
    free(body);
    return equal;
}

static void *
send_bodies(void *payload)
{
    body_sender *sender = payload;
    for (int i = 0; i < BODY_ROUNDS; i++) {
        int status = 0;
        size_t length = 1 + (size_t)i * 100000;
        if (!echo(sender->port, length, sender->letter, &status)) {
            sender->wrong++;
        }
    }
    return NULL;
}

Test(answers, bodies_are_complete_and_not_mixed_up)
{
    static rig r;
    int status = 0;
    body_sender senders[BODY_SENDERS];
    pthread_t threads[BODY_SENDERS];
    rig_start(&r, "pair", PATIENT_POLICY);
    for (int i = 0; i < BODY_SENDERS; i++) {
        senders[i] = (body_sender){
            cluster_find_instance(&r.cluster, "front", i % 3)->callers_port,
            (char)('a' + i), 0};
        pthread_create(&threads[i], NULL, send_bodies, &senders[i]);
    }
    for (int i = 0; i < BODY_SENDERS; i++) {
        pthread_join(threads[i], NULL);
        cr_expect_eq(senders[i].wrong, 0);
    }
    int port = senders[0].port;
    cr_expect(echo(port, MSG_BODY_BYTES_MAX, 'x', &status), "at the limit");
    cr_expect_not(echo(port, MSG_BODY_BYTES_MAX + 1, 'x', &status), "over it");
    cr_expect_eq(status, 413);
    rig_stop(&r);
}

/* Send a call and close the connection after a while. */
static void
send_and_disconnect(int port, int after_ms)
{
    static const char text[] = "POST /call/front/order HTTP/1.1\r\n"
                               "Host: x\r\nContent-Length: 2\r\n\r\n{}";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int caller = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(caller, (struct sockaddr *)&address, sizeof(address)),
                 0);
    send(caller, text, sizeof(text) - 1, MSG_NOSIGNAL);
    rig_sleep_ms(after_ms);
    close(caller);
}

/* Callers that disconnect while their calls wait or run: the calls of others
 * succeed, and no slot is leaked. */
Test(answers, callers_that_hang_up_do_no_harm)
{
    static rig r;
    rig_result result;
    rig_start(&r, "pair", PATIENT_POLICY);
    loadgen_options options = rig_order_load(40, 3, 0);
    loadgen *l = rig_start_load(&r, &options);
    for (int i = 0; i < 60; i++) {
        send_and_disconnect(
            cluster_find_instance(&r.cluster, "front", i % 3)->callers_port,
            i % 30);
    }
    rig_finish_load(&result, &r, l);
    rig_expect_guarantees(&result, "callers hang up");
    cr_expect_eq(result.by_outcome[LOADGEN_DONE], result.sent);
    rig_sleep_ms(1500);
    for (int i = 0; i < 3; i++) {
        cluster_instance *front =
            cluster_find_instance(&r.cluster, "front", i);
        cr_expect_eq(cluster_get_status_int(front, "load", "callers"), 0);
        cr_expect_eq(cluster_get_status_int(front, "load", "serving"), 0);
    }
    rig_stop(&r);
}

typedef struct bad_case {
    const char *path;
    const char *id_text;
    int status;
    const char *reason;
} bad_case;

static const bad_case bad_cases[] = {
    {"/call/front/order", "not an id", 400, "bad_request_id"},
    {"/call/front/order", "1-", 400, "bad_request_id"},
    {"/call/front/none", NULL, 404, "unknown_operation"},
    {"/call/none/order", NULL, 404, "unknown_operation"},
    {"/call/front", NULL, 404, "unknown_operation"},
    {"/call//", NULL, 404, "unknown_operation"},
    {"/", NULL, 404, "unknown_operation"},
    {"/call/front/order", "1-abcdefgh", 503, "id_too_old"},
    {"/call/front/order", "fffffffffff-abcdefgh", 503, "id_in_future"},
};

Test(answers, bad_requests_are_refused_by_name)
{
    static rig r;
    rig_start(&r, "pair", "");
    int port = cluster_find_instance(&r.cluster, "front", 0)->callers_port;
    for (size_t i = 0; i < sizeof(bad_cases) / sizeof(bad_cases[0]); i++) {
        const bad_case *c = &bad_cases[i];
        char outcome[HTTP_SYNC_HEADER_SIZE];
        char reason[HTTP_SYNC_HEADER_SIZE];
        int status =
            rig_post(port, c->path, c->id_text, 1, "{}", outcome, reason);
        cr_expect_eq(status, c->status, "case %zu: %d", i, status);
        cr_expect_str_eq(reason, c->reason, "case %zu: %s", i, reason);
        cr_expect_str_eq(outcome, "not-run", "case %zu", i);
    }
    cr_expect_eq(exec_log_count_operation_runs(&r.cluster, "order"), 0);
    rig_stop(&r);
}
