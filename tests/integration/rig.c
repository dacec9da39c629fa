#include "rig.h"

#include <criterion/criterion.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "proc.h"

#define RIG_SETTLE_MS 3500 /* until every node's owner map is complete */
#define RIG_PRINTED_REQUESTS_MAX 5 /* unsuccessful ones in a test's output */
#define RIG_RESPONSE_BYTES_MAX (2 * 1024 * 1024)

/* Directories of the built programs and of the source, set by the build. */
#ifndef RIG_PROGRAMS
#define RIG_PROGRAMS "build"
#endif
#ifndef RIG_SOURCE
#define RIG_SOURCE "."
#endif

void
rig_sleep_ms(int ms)
{
    clock_sleep_us((int64_t)ms * CLOCK_US_PER_MS);
}

/* Start the proxies and make the processes advertise the proxies' ports. */
static void
rig_start_proxies(rig *r)
{
    cluster_env *f = &r->cluster;
    f->platform_advertised_port = proc_reserve_port();
    r->platform_proxy =
        fault_proxy_start(f->platform_advertised_port, f->platform_port);
    for (size_t i = 0; i < f->count && i < RIG_INSTANCES_MAX; i++) {
        cluster_instance *instance = &f->instances[i];
        instance->advertised_peer_port = proc_reserve_port();
        instance->advertised_control_port = proc_reserve_port();
        r->peer_proxies[i] = fault_proxy_start(instance->advertised_peer_port,
                                               instance->peer_port);
        r->control_proxies[i] = fault_proxy_start(
            instance->advertised_control_port, instance->control_port);
    }
}

/* Start a deployment of tests/integration/deployments with proxies and wait
 * until it is ready.  `policy` holds TOML lines for the [policy] table of
 * every service, or is ""; `calls_max` 0 stands for the default. */
static void
rig_start_with(rig *r, const char *deployment, const char *policy,
               int calls_max)
{
    char path[512];
    err e = ERR_INIT;
    memset(r, 0, sizeof(*r));
    cr_assert_geq(sodium_init(), 0);
    snprintf(path, sizeof(path),
             RIG_SOURCE "/tests/integration/deployments/%s/deployment.toml",
             deployment);
    cr_assert_eq(deploy_load(&r->deployment, path, &e), 0, "%s", e.message);

    cr_assert_eq(cluster_init(&r->cluster, RIG_PROGRAMS, &r->deployment, &e),
                 0);
    snprintf(r->cluster.policy, sizeof(r->cluster.policy), "%s", policy);
    if (calls_max > 0) {
        r->cluster.calls_max = calls_max;
    }
    rig_start_proxies(r);
    if (cluster_start(&r->cluster, &e) < 0) {
        cluster_stop(&r->cluster);
        cr_assert_fail("%s", e.message);
    }
    rig_sleep_ms(RIG_SETTLE_MS);
}

/* Start a deployment with a policy; see rig_start_with(). */
void
rig_start(rig *r, const char *deployment, const char *policy)
{
    rig_start_with(r, deployment, policy, 0);
}

/* Start a deployment whose nodes admit at most `calls_max` concurrent calls of
 * callers. */
void
rig_start_with_call_limit(rig *r, const char *deployment, int calls_max)
{
    rig_start_with(r, deployment, "", calls_max);
}

/* Stop the processes and the proxies. */
void
rig_stop(rig *r)
{
    cluster_stop(&r->cluster);
    fault_proxy_stop(r->platform_proxy);
    for (size_t i = 0; i < RIG_INSTANCES_MAX; i++) {
        fault_proxy_stop(r->peer_proxies[i]);
        fault_proxy_stop(r->control_proxies[i]);
    }
}

/* Load of "front.order" at `rate` requests a second for `seconds`; callers
 * retry a failed request up to `retries` times at another node. */
loadgen_options
rig_order_load(double rate, double seconds, int retries)
{
    loadgen_options options = {
        .seed = 7, .workers = 64, .stream_count = 1, .phase_count = 1};
    loadgen_stream *stream = &options.streams[0];
    snprintf(stream->service, sizeof(stream->service), "front");
    snprintf(stream->operation, sizeof(stream->operation), "order");
    snprintf(stream->klass, sizeof(stream->klass), "critical");
    stream->unrepeatable = true;
    stream->rate = rate;
    stream->retries = retries;
    options.phases[0] = (loadgen_phase){seconds, 1};
    return options;
}

/* Start a load; rig_finish_load() waits for its end. */
loadgen *
rig_start_load(rig *r, const loadgen_options *options)
{
    loadgen *l = NULL;
    err e = ERR_INIT;
    cr_assert_eq(loadgen_new(&l, &r->cluster, options, &e), 0, "%s",
                 e.message);
    cr_assert_eq(loadgen_start(l, &e), 0, "%s", e.message);
    return l;
}

/* Print what the nodes that run have logged of their decisions on a request. */
static void
rig_print_decisions(const rig *r, const char *request)
{
    char path[ID_SIZE + 32];
    snprintf(path, sizeof(path), "/lav/explain?id=%s", request);
    for (size_t i = 0; i < r->cluster.count; i++) {
        char *text =
            cluster_http_get(r->cluster.instances[i].callers_port, path);
        if (text != NULL && strstr(text, "\"ms\"") != NULL) {
            printf("  %s\n", text);
        }
        free(text);
    }
}

/* Print the last outcome and the times of a request that did not succeed, and
 * the decisions on it. */
static void
rig_print_unsuccessful(const rig *r, const loadgen_request *request,
                       const loadgen_response *last)
{

    printf("%s: %s, \"%s\", due %.3f s, ended %.3f s, %d attempts\n",
           request->request.text, loadgen_outcome_text(last->outcome),
           last->reason, (double)request->due_us / CLOCK_US_PER_S,
           (double)request->end_us / CLOCK_US_PER_S, request->attempts);
    rig_print_decisions(r, request->request.text);
}

/* Wait for the end of a load and check the responses against the execution
 * logs.  The first few unsuccessful requests are printed, so that the reason
 * of a failure is known even when it can't be reproduced. */
void
rig_finish_load(rig_result *out, rig *r, loadgen *l)
{
    err e = ERR_INIT;
    memset(out, 0, sizeof(*out));
    loadgen_wait(l);
    cr_assert_eq(exec_log_check(&out->check, &r->cluster, l, &e), 0, "%s",
                 e.message);
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_response *last = loadgen_final_response(&l->requests[i]);
        if (last != NULL) {
            out->sent++;
            out->by_outcome[last->outcome]++;
            if (last->outcome != LOADGEN_DONE &&
                out->sent - out->by_outcome[LOADGEN_DONE] <=
                    RIG_PRINTED_REQUESTS_MAX) {
                rig_print_unsuccessful(r, &l->requests[i], last);
            }
        }
    }
    loadgen_free(l);
}

/* Check what must hold under any fault: no request was executed twice, no
 * request that ran was reported as not run, and every response belongs to its
 * request. */
void
rig_expect_guarantees(const rig_result *result, const char *what)
{
    printf("%s: %d sent, %d done, %d failed, %d not-run, %d unknown, %d "
           "no-answer; %d run twice, %d false refusals\n",
           what, result->sent, result->by_outcome[LOADGEN_DONE],
           result->by_outcome[LOADGEN_FAILED],
           result->by_outcome[LOADGEN_NOT_RUN],
           result->by_outcome[LOADGEN_UNKNOWN],
           result->by_outcome[LOADGEN_NO_RESPONSE], result->check.run_twice,
           result->check.false_refusals);
    fflush(stdout);
    cr_expect_eq(result->check.run_twice, 0, "%s: %s ran twice", what,
                 result->check.example);
    cr_expect_eq(result->check.false_refusals, 0, "%s: %s was refused falsely",
                 what, result->check.example);
    cr_expect_eq(result->check.wrong_answers, 0, "%s: a wrong answer", what);
    cr_expect_gt(result->by_outcome[LOADGEN_DONE], 0, "%s: nothing done",
                 what);
}

/* Send a POST request to a loopback port, with a request id unless `id_text`
 * is NULL.  Returns the HTTP status, or -1 without a response; `out_outcome`
 * and `out_reason` hold HTTP_SYNC_HEADER_SIZE bytes. */
int
rig_post(int port, const char *path, const char *id_text, int attempt,
         const char *body, char *out_outcome, char *out_reason)
{
    char url[64];
    char count[16];
    http_sync_client *client = NULL;
    http_sync_response response;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
    snprintf(count, sizeof(count), "%d", attempt);
    cr_assert_eq(http_sync_new(&client, url, NULL), 0);
    http_sync_request request = {.method = "POST",
                                 .path = path,
                                 .body = body,
                                 .length = strlen(body),
                                 .timeout_s = 40,
                                 .response_body_bytes_max =
                                     RIG_RESPONSE_BYTES_MAX};
    if (id_text != NULL) {
        request.headers[0] = (http_sync_header){"Lav-Request-Id", id_text};
        request.headers[1] = (http_sync_header){"Lav-Attempt", count};
    }
    int result = http_sync_perform(&response, client, &request, NULL);
    int status = result < 0 ? -1 : response.status;
    memcpy(out_outcome, response.outcome, sizeof(response.outcome));
    memcpy(out_reason, response.reason, sizeof(response.reason));
    http_sync_response_clear(&response);
    http_sync_free(client);
    return status;
}
