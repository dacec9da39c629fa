#include "standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "thread_pool.h"

#define STANDIN_CONNECTIONS_MAX 2048
#define STANDIN_WAIT_STEP_US 10000

#define STANDIN_LATE_US 100000 /* a job that begins so late is logged */

struct standin_http {
    struct MHD_Daemon *daemon;
    standin_cb callback;
    void *payload;
    thread_pool *workers;
    pthread_mutex_t lock;
    pthread_cond_t answered;
    int in_work; /* requests handed to the workers, until their ends */
};

/* One request, from its first line to the end of the response. */
struct standin_state {
    standin_server *server;
    struct MHD_Connection *connection;
    char path[STANDIN_PATH_SIZE];
    bool begun;
    size_t length;
    size_t size;
    char *body;
    char *url;
    char *method;
    int64_t submitted_us; /* when it was handed to the workers; 0: not yet */
    unsigned status;
    struct MHD_Response *response; /* NULL: the connection is closed */
};

static atomic_int standin_signalled;

static void *
standin_begin(void *payload, const char *uri,
              struct MHD_Connection *connection)
{
    standin_state *state = calloc(1, sizeof(*state));
    if (state != NULL) {
        state->server = payload;
        state->connection = connection;
        snprintf(state->path, sizeof(state->path), "%s", uri);
    }
    return state;
}

static void
standin_completed(void *payload, struct MHD_Connection *connection,
                  void **slot, enum MHD_RequestTerminationCode code)
{
    (void)connection;
    (void)code;
    standin_server *s = payload;
    standin_state *state = *slot;
    if (state == NULL) {
        return;
    }
    if (state->submitted_us != 0) {
        pthread_mutex_lock(&s->lock);
        s->in_work--;
        pthread_cond_signal(&s->answered);
        pthread_mutex_unlock(&s->lock);
    }
    if (state->response != NULL) {
        MHD_destroy_response(state->response);
    }
    free(state->url);
    free(state->method);
    free(state->body);
    free(state);
    *slot = NULL;
}

static bool
standin_collect(standin_state *state, const char *bytes, size_t length)
{
    if (state->length + length + 1 > state->size) {
        state->size = 2 * (state->length + length + 1);
        char *larger = realloc(state->body, state->size);
        if (larger == NULL) {
            return false;
        }
        state->body = larger;
    }
    memcpy(state->body + state->length, bytes, length);
    state->length += length;
    state->body[state->length] = '\0';
    return true;
}

/* Job of a worker: handles a request and has its response sent. */
static void
standin_work(void *payload)
{
    standin_state *state = payload;
    standin_server *s = state->server;
    int64_t late_us = clock_now_us() - state->submitted_us;
    if (late_us >= STANDIN_LATE_US) {
        fprintf(stderr, "%s %s: begun %lld ms late\n", state->method,
                state->path, (long long)(late_us / CLOCK_US_PER_MS));
    }
    standin_request request = {state,      state->connection, state->method,
                               "",         state->url,        state->length,
                               state->body};
    memcpy(request.path, state->path, sizeof(request.path));
    (void)s->callback(&request, s->payload);
    MHD_resume_connection(state->connection);
}

/* Hand a complete request to the workers. */
static enum MHD_Result
standin_submit(standin_server *s, standin_state *state, const char *url,
               const char *method)
{
    err e = ERR_INIT;
    state->url = strdup(url);
    state->method = strdup(method);
    if (state->body == NULL) {
        state->body = calloc(1, 1);
    }
    if (state->url == NULL || state->method == NULL || state->body == NULL) {
        return MHD_NO;
    }
    pthread_mutex_lock(&s->lock);
    s->in_work++;
    pthread_mutex_unlock(&s->lock);
    state->submitted_us = clock_now_us();
    MHD_suspend_connection(state->connection);
    if (thread_pool_run(s->workers, standin_work, state, &e) < 0) {
        fprintf(stderr, "standin: %s\n", e.message);
        abort();
    }
    return MHD_YES;
}

static enum MHD_Result
standin_handle(void *payload, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload, size_t *upload_size, void **slot)
{
    (void)version;
    standin_server *s = payload;
    standin_state *state = *slot;
    if (state == NULL) {
        return MHD_NO;
    }
    if (!state->begun) {
        state->begun = true;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        size_t length = *upload_size;
        *upload_size = 0;
        return standin_collect(state, upload, length) ? MHD_YES : MHD_NO;
    }
    if (state->submitted_us == 0) {
        return standin_submit(s, state, url, method);
    }
    return state->response == NULL
               ? MHD_NO
               : MHD_queue_response(connection, state->status,
                                    state->response);
}

/* Serve on a loopback port. */
int
standin_new(standin_server **out, int port, standin_cb callback, void *payload,
            err *e)
{
    standin_server *s = calloc(1, sizeof(*s));
    struct sockaddr_in bound = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (s == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "server");
    }
    s->callback = callback;
    s->payload = payload;
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->answered, NULL);
    int result = thread_pool_new(&s->workers, e);
    if (result < 0) {
        free(s);
        return result;
    }
    s->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        (uint16_t)port, NULL, NULL, standin_handle, s, MHD_OPTION_SOCK_ADDR,
        &bound, MHD_OPTION_URI_LOG_CALLBACK, standin_begin, s,
        MHD_OPTION_NOTIFY_COMPLETED, standin_completed, s,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)STANDIN_CONNECTIONS_MAX,
        MHD_OPTION_END);
    if (s->daemon == NULL) {
        thread_pool_free(s->workers);
        free(s);
        return ERR_SET(e, ERR_IO, "can't listen at port %d", port);
    }
    *out = s;
    return 0;
}

/* Close the listening socket, wait until all requests are answered, and stop
 * serving; takes NULL. */
void
standin_free(standin_server *s)
{
    if (s == NULL) {
        return;
    }
    MHD_socket listening = MHD_quiesce_daemon(s->daemon);
    if (listening != MHD_INVALID_SOCKET) {
        close(listening);
    }
    pthread_mutex_lock(&s->lock);
    while (s->in_work > 0) {
        pthread_cond_wait(&s->answered, &s->lock);
    }
    pthread_mutex_unlock(&s->lock);
    MHD_stop_daemon(s->daemon);
    thread_pool_free(s->workers);
    free(s);
}

/* Keep the response to a request until its worker is done. */
static enum MHD_Result
standin_keep(const standin_request *request, unsigned status,
             struct MHD_Response *response)
{
    request->state->status = status;
    request->state->response = response;
    return response == NULL ? MHD_NO : MHD_YES;
}

/* Answer with a text; `etag` may be NULL. */
enum MHD_Result
standin_reply(const standin_request *request, unsigned status,
              const char *text, const char *etag)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    if (etag != NULL) {
        MHD_add_response_header(response, "ETag", etag);
    }
    return standin_keep(request, status, response);
}

static ssize_t
standin_cut_reader(void *payload, uint64_t position, char *out, size_t max)
{
    const char *text = payload;
    size_t half = strlen(text) / 2;
    if (position >= half) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t length = half - position < max ? half - position : max;
    memcpy(out, text + position, length);
    return (ssize_t)length;
}

/* Answer with the first half of a text, then close the connection.  The
 * text must stay valid. */
enum MHD_Result
standin_reply_truncated(const standin_request *request, const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        strlen(text), strlen(text), standin_cut_reader, (void *)text, NULL);
    return standin_keep(request, MHD_HTTP_OK, response);
}

/* Value of a query argument, or NULL. */
const char *
standin_get_query(const standin_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Number of a query argument, or `absent`. */
int
standin_get_query_int(const standin_request *request, const char *name,
                      int absent)
{
    const char *text = standin_get_query(request, name);
    return text == NULL ? absent : atoi(text);
}

/* Value of a header, or NULL. */
const char *
standin_get_header(const standin_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

static void
standin_note_signal(int number)
{
    (void)number;
    atomic_store(&standin_signalled, 1);
}

/* Note SIGTERM and SIGINT, ignore SIGPIPE. */
void
standin_catch_signals(void)
{
    struct sigaction action = {.sa_handler = standin_note_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Wait for a signal up to `timeout_ms` (0: for ever); 1 once it has come. */
int
standin_wait_for_signal(int timeout_ms)
{
    int64_t end_us = clock_now_us() + (int64_t)timeout_ms * CLOCK_US_PER_MS;
    while (atomic_load(&standin_signalled) == 0) {
        if (timeout_ms > 0 && clock_now_us() >= end_us) {
            return 0;
        }
        clock_sleep_us(STANDIN_WAIT_STEP_US);
    }
    return 1;
}
