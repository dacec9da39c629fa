#include "lod.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/http_sync.h"

#define LOD_REQUESTS_MAX 2000000
#define LOD_STACK_SIZE (128 * 1024)
#define LOD_TIMEOUT_S 8
#define LOD_ANSWER_MAX (1024 * 1024)
#define LOD_PATH_SIZE 128
#define LOD_WORKERS_MAX 1024

typedef struct lod_run {
    lod *owner;
    atomic_size_t next; /* request to be sent next */
    int worker_count;
    pthread_t workers[LOD_WORKERS_MAX];
} lod_run;

static const char *const lod_outcome_texts[LOD_OUTCOME_COUNT] = {
    "done", "late", "failed", "not-run", "unknown", "no-answer"};

/* Text of an outcome. */
const char *
lod_outcome_text(enum lod_outcome outcome)
{
    return lod_outcome_texts[outcome];
}

/* xorshift64* (Marsaglia, 2003; Vigna, 2016). */
static uint64_t
lod_random(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return *state * 2685821657736338717ULL;
}

static double
lod_uniform(uint64_t *state)
{
    return ((double)(lod_random(state) >> 11) + 1) / 9007199254740993.0;
}

static double
lod_total_rate(const lod_options *options)
{
    double rate = 0;
    for (size_t i = 0; i < options->stream_count; i++) {
        rate += options->streams[i].rate;
    }
    return rate;
}

static int
lod_pick_stream(const lod_options *options, double total, uint64_t *random)
{
    double at = lod_uniform(random) * total;
    for (size_t i = 0; i < options->stream_count; i++) {
        at -= options->streams[i].rate;
        if (at <= 0) {
            return (int)i;
        }
    }
    return (int)options->stream_count - 1;
}

static void
lod_draw_phase(lod *l, const lod_phase *phase, double begin_s,
               uint64_t *random)
{
    double total = lod_total_rate(&l->options);
    double rate = total * phase->factor;
    double at_s = 0;
    while (rate > 0 && l->count < LOD_REQUESTS_MAX) {
        at_s += -log(lod_uniform(random)) / rate;
        if (at_s >= phase->seconds) {
            return;
        }
        lod_request *request = &l->requests[l->count++];
        memset(request, 0, sizeof(*request));
        request->due_us = (int64_t)((begin_s + at_s) * CLOCK_US_PER_S);
        request->stream = lod_pick_stream(&l->options, total, random);
    }
}

static size_t
lod_bound(const lod_options *options)
{
    double requests = 0;
    for (size_t i = 0; i < options->phase_count; i++) {
        requests += lod_total_rate(options) * options->phases[i].factor *
                    options->phases[i].seconds;
    }
    requests = requests * 1.2 + 1000;
    return requests > LOD_REQUESTS_MAX ? LOD_REQUESTS_MAX : (size_t)requests;
}

/* Draw the requests of a load on a deployment that runs. */
int
lod_new(lod **out, const fld *field, const lod_options *options, err *e)
{
    lod *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "load");
    }
    l->options = *options;
    l->field = field;
    l->requests = calloc(lod_bound(options), sizeof(*l->requests));
    if (l->requests == NULL) {
        free(l);
        return ERR_SET(e, ERR_NO_MEMORY, "load");
    }
    uint64_t random = options->seed * 2654435769ULL + 1;
    double begin_s = 0;
    for (size_t i = 0; i < options->phase_count; i++) {
        lod_draw_phase(l, &options->phases[i], begin_s, &random);
        begin_s += options->phases[i].seconds;
    }
    *out = l;
    return 0;
}

/* Release a load that is not under way; takes NULL. */
void
lod_free(lod *l)
{
    if (l != NULL) {
        free(l->requests);
        free(l);
    }
}

/* The final answer of a request that was sent, or NULL. */
const lod_answer *
lod_final(const lod_request *request)
{
    return request->attempts == 0 ? NULL
                                  : &request->answers[request->attempts - 1];
}

static enum lod_outcome
lod_classify(int result, const http_sync_response *answer)
{
    if (result < 0) {
        return LOD_NO_ANSWER;
    }
    if (strcmp(answer->outcome, "not-run") == 0) {
        return LOD_NOT_RUN;
    }
    if (strcmp(answer->outcome, "done") == 0) {
        return answer->status == 200 ? LOD_DONE : LOD_FAILED;
    }
    return LOD_UNKNOWN;
}

/* A random instance of the service, other than the one tried last. */
static int
lod_pick_entry(const lod *l, const char *service, int last, uint64_t *random)
{
    int candidates[FLD_INSTANCES_MAX];
    int count = 0;
    for (size_t i = 0; i < l->field->count; i++) {
        const fld_instance *instance = &l->field->instances[i];
        if (strcmp(instance->service->name, service) == 0 && (int)i != last) {
            candidates[count++] = (int)i;
        }
    }
    return count == 0 ? last : candidates[lod_random(random) % (size_t)count];
}

static http_sync_client *
lod_client(http_sync_client **clients, const lod *l, int entry)
{
    char url[64];
    if (clients[entry] == NULL) {
        snprintf(url, sizeof(url), "http://127.0.0.1:%d",
                 l->field->instances[entry].callers_port);
        if (http_sync_new(&clients[entry], url, NULL) < 0) {
            return NULL;
        }
    }
    return clients[entry];
}

static bool
lod_answer_is_own(const lod_request *request, const http_sync_response *answer)
{
    return answer->outcome[0] == '\0' || answer->request[0] == '\0' ||
           (strcmp(answer->request, request->request.text) == 0 &&
            (answer->status != 200 ||
             strstr(answer->body, request->request.text) != NULL));
}

/* Whether all answers so far said "not run". */
static bool
lod_none_ran(const lod_request *request)
{
    for (int i = 0; i < request->attempts; i++) {
        if (request->answers[i].outcome != LOD_NOT_RUN) {
            return false;
        }
    }
    return true;
}

static void
lod_attempt(lod *l, lod_request *request, http_sync_client *client)
{
    const lod_stream *stream = &l->options.streams[request->stream];
    char path[LOD_PATH_SIZE];
    char attempt[16];
    http_sync_response answer;
    bool none_ran = lod_none_ran(request);
    lod_answer *kept = &request->answers[request->attempts++];
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
        .timeout_s = LOD_TIMEOUT_S,
        .response_body_bytes_max = LOD_ANSWER_MAX};
    if (none_ran) {
        sent.headers[2] = (http_sync_header){"Lav-Earlier", "not-run"};
    }
    int result = http_sync_perform(&answer, client, &sent, NULL);
    kept->outcome = lod_classify(result, &answer);
    kept->ms = clock_wall_ms();
    snprintf(kept->reason, sizeof(kept->reason), "%.23s",
             lod_answer_is_own(request, &answer) || result < 0
                 ? answer.reason
                 : "WRONG ANSWER");
    http_sync_response_clear(&answer);
}

static void
lod_send(lod *l, lod_request *request, http_sync_client **clients,
         uint64_t *random)
{
    const lod_stream *stream = &l->options.streams[request->stream];
    int entry = -1;
    id_mint(&request->request, clock_wall_ms());
    do {
        entry = lod_pick_entry(l, stream->service, entry, random);
        http_sync_client *client = lod_client(clients, l, entry);
        if (client == NULL) {
            return;
        }
        lod_attempt(l, request, client);
        enum lod_outcome outcome = lod_final(request)->outcome;
        if (outcome == LOD_DONE || outcome == LOD_FAILED) {
            break;
        }
    } while (request->attempts <= stream->retries &&
             request->attempts < LOD_ATTEMPTS_MAX);
    request->end_us = clock_now_us() - l->start_us;
    lod_answer *final = &request->answers[request->attempts - 1];
    double took_s =
        (double)(request->end_us - request->due_us) / CLOCK_US_PER_S;
    if (final->outcome == LOD_DONE && stream->patience_s > 0 &&
        took_s > stream->patience_s) {
        final->outcome = LOD_LATE;
    }
}

static void *
lod_work(void *payload)
{
    lod_run *run = payload;
    lod *l = run->owner;
    http_sync_client **clients =
        calloc(l->field->count, sizeof(http_sync_client *));
    uint64_t random = id_random() | 1;
    for (;;) {
        size_t index = atomic_fetch_add(&run->next, 1);
        if (index >= l->count || clients == NULL) {
            break;
        }
        lod_request *request = &l->requests[index];
        clock_sleep_us(request->due_us - (clock_now_us() - l->start_us));
        lod_send(l, request, clients, &random);
    }
    for (size_t i = 0; clients != NULL && i < l->field->count; i++) {
        http_sync_free(clients[i]);
    }
    free(clients);
    return NULL;
}

/* Begin to send; lod_finish() waits for the end. */
int
lod_begin(lod *l, err *e)
{
    pthread_attr_t attr;
    l->run = calloc(1, sizeof(*l->run));
    if (l->run == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "load");
    }
    l->run->owner = l;
    l->start_us = clock_now_us();
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, LOD_STACK_SIZE);
    int wanted = l->options.workers < LOD_WORKERS_MAX ? l->options.workers
                                                      : LOD_WORKERS_MAX;
    while (l->run->worker_count < wanted &&
           pthread_create(&l->run->workers[l->run->worker_count], &attr,
                          lod_work, l->run) == 0) {
        l->run->worker_count++;
    }
    pthread_attr_destroy(&attr);
    return l->run->worker_count > 0 ? 0 : ERR_SET(e, ERR_FULL, "no thread");
}

/* Wait until every request has its final answer. */
void
lod_finish(lod *l)
{
    for (int i = 0; i < l->run->worker_count; i++) {
        pthread_join(l->run->workers[i], NULL);
    }
    free(l->run);
    l->run = NULL;
}
