#include "loadgen.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"

#define LOADGEN_REQUESTS_MAX 2000000
#define LOADGEN_STACK_SIZE (128 * 1024)
#define LOADGEN_TIMEOUT_S 8
#define LOADGEN_RESPONSE_SIZE_MAX (1024 * 1024)
#define LOADGEN_PATH_SIZE 128
#define LOADGEN_WORKERS_MAX 1024

typedef struct loadgen_run {
    loadgen *loadgen;
    atomic_size_t next; /* index of the request to send next */
    int worker_count;
    pthread_t workers[LOADGEN_WORKERS_MAX];
} loadgen_run;

static const char *const loadgen_outcome_texts[LOADGEN_OUTCOME_COUNT] = {
    "done", "late", "failed", "not-run", "unknown", "no-answer"};

/* Returns the name of an outcome. */
const char *
loadgen_outcome_text(enum loadgen_outcome outcome)
{
    return loadgen_outcome_texts[outcome];
}

/* xorshift64* (Marsaglia, 2003; Vigna, 2016). */
static uint64_t
loadgen_random(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return *state * 2685821657736338717ULL;
}

/* Returns a uniform number in (0, 1). */
static double
loadgen_uniform(uint64_t *state)
{
    return ((double)(loadgen_random(state) >> 11) + 1) / 9007199254740993.0;
}

/* Returns the rate of all streams together, in requests/s at factor 1. */
static double
loadgen_total_rate(const loadgen_options *options)
{
    double rate = 0;
    for (size_t i = 0; i < options->stream_count; i++) {
        rate += options->streams[i].rate;
    }
    return rate;
}

/* Picks a stream at random in proportion to the rates. */
static int
loadgen_pick_stream(const loadgen_options *options, double total,
                    uint64_t *random)
{
    double at = loadgen_uniform(random) * total;
    for (size_t i = 0; i < options->stream_count; i++) {
        at -= options->streams[i].rate;
        if (at <= 0) {
            return (int)i;
        }
    }
    return (int)options->stream_count - 1;
}

/* Draws the requests of a phase, with exponential intervals. */
static void
loadgen_draw_phase(loadgen *l, const loadgen_phase *phase, double begin_s,
                   uint64_t *random)
{
    double total = loadgen_total_rate(&l->options);
    double rate = total * phase->factor;
    double at_s = 0;
    while (rate > 0 && l->count < LOADGEN_REQUESTS_MAX) {
        at_s += -log(loadgen_uniform(random)) / rate;
        if (at_s >= phase->seconds) {
            return;
        }
        loadgen_request *request = &l->requests[l->count++];
        memset(request, 0, sizeof(*request));
        request->due_us = (int64_t)((begin_s + at_s) * CLOCK_US_PER_S);
        request->stream = loadgen_pick_stream(&l->options, total, random);
    }
}

/* Returns how many requests to allocate: 20% and 1000 above the mean. */
static size_t
loadgen_max_requests(const loadgen_options *options)
{
    double requests = 0;
    for (size_t i = 0; i < options->phase_count; i++) {
        requests += loadgen_total_rate(options) * options->phases[i].factor *
                    options->phases[i].seconds;
    }
    requests = requests * 1.2 + 1000;
    return requests > LOADGEN_REQUESTS_MAX ? LOADGEN_REQUESTS_MAX
                                           : (size_t)requests;
}

/* Creates a load on a running deployment and draws its requests.  Returns 0 or
 * ERR_NO_MEMORY. */
int
loadgen_new(loadgen **out, const cluster_env *cluster,
            const loadgen_options *options, err *e)
{
    loadgen *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the load generator");
    }
    l->options = *options;
    l->cluster = cluster;
    l->requests = calloc(loadgen_max_requests(options), sizeof(*l->requests));
    if (l->requests == NULL) {
        free(l);
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the load generator");
    }
    uint64_t random = options->seed * 2654435769ULL + 1;
    double begin_s = 0;
    for (size_t i = 0; i < options->phase_count; i++) {
        loadgen_draw_phase(l, &options->phases[i], begin_s, &random);
        begin_s += options->phases[i].seconds;
    }
    *out = l;
    return 0;
}

/* Frees a load that is not running; NULL is ignored. */
void
loadgen_free(loadgen *l)
{
    if (l != NULL) {
        free(l->requests);
        free(l);
    }
}

/* Returns the final response to a request, or NULL if it was never sent. */
const loadgen_response *
loadgen_final_response(const loadgen_request *request)
{
    return request->attempts == 0 ? NULL
                                  : &request->answers[request->attempts - 1];
}

/* Returns the outcome of an attempt. */
static enum loadgen_outcome
loadgen_classify(int result, const http_sync_response *response)
{
    if (result < 0) {
        return LOADGEN_NO_RESPONSE;
    }
    if (strcmp(response->outcome, "not-run") == 0) {
        return LOADGEN_NOT_RUN;
    }
    if (strcmp(response->outcome, "done") == 0) {
        return response->status == 200 ? LOADGEN_DONE : LOADGEN_FAILED;
    }
    return LOADGEN_UNKNOWN;
}

/* Picks a random instance of the service, other than the last one if there are
 * several. */
static int
loadgen_pick_entry(const loadgen *l, const char *service, int last,
                   uint64_t *random)
{
    int candidates[CLUSTER_INSTANCES_MAX];
    int count = 0;
    for (size_t i = 0; i < l->cluster->count; i++) {
        const cluster_instance *instance = &l->cluster->instances[i];
        if (strcmp(instance->service->name, service) == 0 && (int)i != last) {
            candidates[count++] = (int)i;
        }
    }
    return count == 0 ? last
                      : candidates[loadgen_random(random) % (size_t)count];
}

/* Returns the worker's client of an instance, connected on first use, or
 * NULL. */
static http_sync_client *
loadgen_client(http_sync_client **clients, const loadgen *l, int entry)
{
    char url[64];
    if (clients[entry] == NULL) {
        snprintf(url, sizeof(url), "http://127.0.0.1:%d",
                 l->cluster->instances[entry].callers_port);
        if (http_sync_new(&clients[entry], url, NULL) < 0) {
            return NULL;
        }
    }
    return clients[entry];
}

/* Returns whether a response belongs to the request: the stand-ins for targets
 * echo its id in the body. */
static bool
loadgen_response_matches(const loadgen_request *request,
                         const http_sync_response *response)
{
    return response->outcome[0] == '\0' || response->request[0] == '\0' ||
           (strcmp(response->request, request->request.text) == 0 &&
            (response->status != 200 ||
             strstr(response->body, request->request.text) != NULL));
}

/* Returns whether all responses so far said "not run". */
static bool
loadgen_no_attempt_ran(const loadgen_request *request)
{
    for (int i = 0; i < request->attempts; i++) {
        if (request->answers[i].outcome != LOADGEN_NOT_RUN) {
            return false;
        }
    }
    return true;
}

/* Sends a request once and records the response. */
static void
loadgen_attempt(loadgen *l, loadgen_request *request, http_sync_client *client)
{
    const loadgen_stream *stream = &l->options.streams[request->stream];
    char path[LOADGEN_PATH_SIZE];
    char attempt[16];
    http_sync_response response;
    bool none_ran = loadgen_no_attempt_ran(request);
    loadgen_response *recorded = &request->answers[request->attempts++];
    snprintf(path, sizeof(path), "/call/%.47s/%.47s", stream->service,
             stream->operation);
    snprintf(attempt, sizeof(attempt), "%d", request->attempts);
    http_sync_request sent = {
        .method = "POST",
        .path = path,
        .body = request->request.text,
        .length = strlen(request->request.text),
        .headers = {{"Lav-Request-Id", request->request.text},
                    {"Lav-Attempt", attempt}},
        .may_resend = !stream->unrepeatable,
        .timeout_s = LOADGEN_TIMEOUT_S,
        .response_body_bytes_max = LOADGEN_RESPONSE_SIZE_MAX};
    if (none_ran) {
        sent.headers[2] = (http_sync_header){"Lav-Earlier", "not-run"};
    }
    int result = http_sync_perform(&response, client, &sent, NULL);
    recorded->outcome = loadgen_classify(result, &response);
    recorded->ms = clock_wall_ms();
    snprintf(recorded->reason, sizeof(recorded->reason), "%.23s",
             loadgen_response_matches(request, &response) || result < 0
                 ? response.reason
                 : "WRONG ANSWER");
    http_sync_response_clear(&response);
}

/* Sends a request with its retries, each to another instance. */
static void
loadgen_send(loadgen *l, loadgen_request *request, http_sync_client **clients,
             uint64_t *random)
{
    const loadgen_stream *stream = &l->options.streams[request->stream];
    int entry = -1;
    id_generate(&request->request, clock_wall_ms());
    do {
        entry = loadgen_pick_entry(l, stream->service, entry, random);
        http_sync_client *client = loadgen_client(clients, l, entry);
        if (client == NULL) {
            return;
        }
        loadgen_attempt(l, request, client);
        enum loadgen_outcome outcome =
            loadgen_final_response(request)->outcome;
        if (outcome == LOADGEN_DONE || outcome == LOADGEN_FAILED) {
            break;
        }
    } while (request->attempts <= stream->retries &&
             request->attempts < LOADGEN_ATTEMPTS_MAX);
    request->end_us = clock_now_us() - l->start_us;
    loadgen_response *final = &request->answers[request->attempts - 1];
    double took_s =
        (double)(request->end_us - request->due_us) / CLOCK_US_PER_S;
    if (final->outcome == LOADGEN_DONE && stream->caller_timeout_s > 0 &&
        took_s > stream->caller_timeout_s) {
        final->outcome = LOADGEN_LATE;
    }
}

/* Worker thread: sends requests as they come due until none is left. */
static void *
loadgen_run_worker(void *payload)
{
    loadgen_run *run = payload;
    loadgen *l = run->loadgen;
    http_sync_client **clients =
        calloc(l->cluster->count, sizeof(http_sync_client *));
    uint64_t random = id_random() | 1;
    for (;;) {
        size_t index = atomic_fetch_add(&run->next, 1);
        if (index >= l->count || clients == NULL) {
            break;
        }
        loadgen_request *request = &l->requests[index];
        clock_sleep_us(request->due_us - (clock_now_us() - l->start_us));
        loadgen_send(l, request, clients, &random);
    }
    for (size_t i = 0; clients != NULL && i < l->cluster->count; i++) {
        http_sync_free(clients[i]);
    }
    free(clients);
    return NULL;
}

/* Starts sending; loadgen_wait() waits for the end.  Returns 0, ERR_NO_MEMORY,
 * or ERR_FULL if no worker thread could be started. */
int
loadgen_start(loadgen *l, err *e)
{
    pthread_attr_t attr;
    l->run = calloc(1, sizeof(*l->run));
    if (l->run == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the load generator");
    }
    l->run->loadgen = l;
    l->start_us = clock_now_us();
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, LOADGEN_STACK_SIZE);
    int wanted = l->options.workers < LOADGEN_WORKERS_MAX
                     ? l->options.workers
                     : LOADGEN_WORKERS_MAX;
    while (l->run->worker_count < wanted &&
           pthread_create(&l->run->workers[l->run->worker_count], &attr,
                          loadgen_run_worker, l->run) == 0) {
        l->run->worker_count++;
    }
    pthread_attr_destroy(&attr);
    return l->run->worker_count > 0
               ? 0
               : ERR_SET(e, ERR_FULL, "cannot start a worker thread");
}

/* Waits until every request has its final response. */
void
loadgen_wait(loadgen *l)
{
    for (int i = 0; i < l->run->worker_count; i++) {
        pthread_join(l->run->workers[i], NULL);
    }
    free(l->run);
    l->run = NULL;
}
