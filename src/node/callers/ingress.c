#include "ingress.h"

#include <microhttpd.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "target_info.h"
#include "admitter.h"
#include "ingress_parse.h"
#include "lav/counter.h"
#include "router.h"
#include "node_status.h"

#define INGRESS_CONNECTIONS_MAX 4096
#define INGRESS_IDLE_TIMEOUT_S 120
#define INGRESS_URL_SIZE 512 /* bytes of path and query, with the NUL */
#define INGRESS_TARGET_PATH "/lav/target"
#define INGRESS_TARGET_INFO_MAX 4096 /* bytes */

typedef struct ingress_listener {
    struct ingress *ingress;
    struct MHD_Daemon *daemon;
    bool is_target; /* listener of the local target */
} ingress_listener;

struct ingress {
    node *node;
    pending_table *calls;
    ingress_listener callers;
    ingress_listener target;
};

/* State of one HTTP request while it is read and answered. */
typedef struct ingress_request {
    struct ingress *ingress;
    int handle; /* of the call, or PENDING_NONE */
    bool headers_read;
    bool submitted; /* handed to the router */
    bool too_large; /* the body is over the limit, or out of memory */
    char url[INGRESS_URL_SIZE];
    size_t length; /* of the body */
    size_t size;   /* allocated for the body */
    char *body;
} ingress_request;

/* HTTP status of a response, from its outcome and reason. */
static int
ingress_outcome_status(const pending_response *result)
{
    if (result->outcome == OUTCOME_DONE) {
        return result->status;
    }
    if (result->outcome == OUTCOME_UNKNOWN) {
        return MHD_HTTP_GATEWAY_TIMEOUT;
    }
    switch (result->reason) {
    case REASON_BAD_REQUEST:
    case REASON_BAD_REQUEST_ID:
        return MHD_HTTP_BAD_REQUEST;
    case REASON_BODY_TOO_LARGE:
        return MHD_HTTP_CONTENT_TOO_LARGE;
    case REASON_UNKNOWN_OPERATION:
        return MHD_HTTP_NOT_FOUND;
    case REASON_CALL_NOT_ALLOWED:
        return MHD_HTTP_FORBIDDEN;
    default:
        return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
}

/* Queue the response of a call; `request_id` may be empty. */
static enum MHD_Result
ingress_queue_response(struct MHD_Connection *connection,
                       const pending_response *result, const char *request_id)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        result->body.length, result->body.bytes, MHD_RESPMEM_MUST_COPY);
    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Lav-Outcome",
                            outcome_name(result->outcome));
    MHD_add_response_header(response, "Lav-Reason",
                            reason_name(result->reason));
    if (request_id[0] != '\0') {
        MHD_add_response_header(response, "Lav-Request-Id", request_id);
    }
    if (result->content_type[0] != '\0') {
        MHD_add_response_header(response, "Content-Type",
                                result->content_type);
    }
    if (result->outcome == OUTCOME_NOT_RUN) {
        MHD_add_response_header(response, "Retry-After", "1");
    }
    enum MHD_Result queued = MHD_queue_response(
        connection, (unsigned)ingress_outcome_status(result), response);
    MHD_destroy_response(response);
    return queued;
}

/* Value of a request header, or NULL. */
static const char *
ingress_header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* Outcome of a request that never reached the router. If the request carries
 * an id or a context, an earlier attempt may have run, here or through
 * another node, so the outcome is unknown. */
static enum outcome
ingress_unrouted_outcome(struct MHD_Connection *connection)
{
    bool may_have_run = ingress_header(connection, "Lav-Request-Id") != NULL ||
                        ingress_header(connection, "Lav-Context") != NULL;
    counter_add(may_have_run ? COUNTER_UNKNOWN : COUNTER_NOT_RUN, 1);
    return may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* Reject a request that another attempt may get through. */
static enum MHD_Result
ingress_reject(struct MHD_Connection *connection, enum reason reason)
{
    pending_response result = {.outcome = ingress_unrouted_outcome(connection),
                               .reason = reason};
    counter_add_reason(reason);
    return ingress_queue_response(connection, &result, "");
}

/* Reject a request that every node would reject: no attempt of it can have
 * run. */
static enum MHD_Result
ingress_reject_permanently(struct MHD_Connection *connection,
                           enum reason reason)
{
    pending_response result = {.outcome = OUTCOME_NOT_RUN, .reason = reason};
    counter_add_reason(reason);
    counter_add(COUNTER_NOT_RUN, 1);
    return ingress_queue_response(connection, &result, "");
}

/* Queue a JSON response and take ownership of `text`. */
static enum MHD_Result
ingress_send_text(struct MHD_Connection *connection, unsigned status,
                  char *text)
{
    if (text == NULL) {
        return MHD_NO;
    }
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    enum MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

/* Store the request headers in the call. */
static void
ingress_read_headers(pending_call *call, struct MHD_Connection *connection)
{
    ingress_headers headers = {
        .request_id = ingress_header(connection, "Lav-Request-Id"),
        .attempt = ingress_header(connection, "Lav-Attempt"),
        .earlier = ingress_header(connection, "Lav-Earlier"),
        .context = ingress_header(connection, "Lav-Context"),
        .key = ingress_header(connection, "Lav-Call-Key"),
        .content_type = ingress_header(connection, "Content-Type"),
    };
    ingress_parse_headers(call, &headers);
}

/* Socket of a connection, or -1. */
static int
ingress_connection_socket(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *connection_info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return connection_info == NULL ? -1 : connection_info->connect_fd;
}

/* Create a call from a complete request, suspend its connection and hand the
 * call to the router. */
static enum MHD_Result
ingress_submit(ingress_listener *listener, struct MHD_Connection *connection,
               ingress_request *request, const char *method)
{
    ingress *server = listener->ingress;
    if (request->too_large) {
        return ingress_reject_permanently(connection, REASON_BODY_TOO_LARGE);
    }
    int handle = pending_acquire(server->calls);
    if (handle == PENDING_NONE) {
        return ingress_reject(connection, REASON_TABLE_FULL);
    }
    pending_call *call = pending_get(server->calls, handle);
    call->connection = connection;
    call->socket = ingress_connection_socket(connection);
    call->from_target = listener->is_target;
    if (strlen(method) >= sizeof(call->method) ||
        ingress_parse_path(call, request->url) < 0) {
        pending_release(server->calls, handle);
        return ingress_reject_permanently(connection,
                                          REASON_UNKNOWN_OPERATION);
    }
    snprintf(call->method, sizeof(call->method), "%s", method);
    ingress_read_headers(call, connection);
    call->body = (msg_body){request->length, request->body};
    request->body = NULL;
    request->handle = handle;
    request->submitted = true;
    MHD_suspend_connection(connection);
    if (router_submit(server->node->router, handle) < 0) {
        call->response =
            (pending_response){.outcome = ingress_unrouted_outcome(connection),
                               .reason = REASON_RING_FULL};
        counter_add_reason(REASON_RING_FULL);
        MHD_resume_connection(connection);
    }
    return MHD_YES;
}

/* Handle a report of the local target (POST /lav/target). */
static enum MHD_Result
ingress_handle_target_report(ingress *server,
                             struct MHD_Connection *connection,
                             const ingress_request *request)
{
    target_info info;
    err e = ERR_INIT;
    const char *text = request->body == NULL ? "" : request->body;
    if (request->length > INGRESS_TARGET_INFO_MAX ||
        target_info_parse(&info, text, &e) < 0) {
        return ingress_reject_permanently(connection, REASON_BAD_REQUEST);
    }
    admitter_submit_target_info(server->node->admitter, &info);
    return ingress_send_text(connection, MHD_HTTP_OK,
                             node_status_format_target(server->node));
}

/* Handle a complete request by its path. */
static enum MHD_Result
ingress_dispatch(ingress_listener *listener, struct MHD_Connection *connection,
                 ingress_request *request, const char *method)
{
    ingress *server = listener->ingress;
    if (listener->is_target &&
        strcmp(request->url, INGRESS_TARGET_PATH) == 0) {
        return ingress_handle_target_report(server, connection, request);
    }
    if (!listener->is_target && strcmp(request->url, "/lav/status") == 0) {
        return ingress_send_text(connection, MHD_HTTP_OK,
                                 node_status_format(server->node));
    }
    if (!listener->is_target &&
        strncmp(request->url, "/lav/explain?", strlen("/lav/explain?")) == 0) {
        const char *id_text = MHD_lookup_connection_value(
            connection, MHD_GET_ARGUMENT_KIND, "id");
        return ingress_send_text(
            connection, MHD_HTTP_OK,
            node_status_format_decisions(server->node,
                                         id_text == NULL ? "" : id_text));
    }
    return ingress_submit(listener, connection, request, method);
}

/* Append a part of the body; once the body is too large, the rest is
 * discarded. */
static void
ingress_append_body(ingress_request *request, const char *bytes, size_t length)
{
    if (request->too_large || request->length + length > MSG_BODY_BYTES_MAX) {
        request->too_large = true;
        return;
    }
    if (request->length + length + 1 > request->size) {
        size_t size = 2 * (request->length + length + 1);
        char *larger = realloc(request->body, size);
        if (larger == NULL) {
            request->too_large = true;
            return;
        }
        request->body = larger;
        request->size = size;
    }
    memcpy(request->body + request->length, bytes, length);
    request->length += length;
    request->body[request->length] = '\0';
}

/* Send the response that the router has stored in the call. */
static enum MHD_Result
ingress_send_result(ingress_request *request,
                    struct MHD_Connection *connection)
{
    ingress *server = request->ingress;
    pending_call *call = pending_get(server->calls, request->handle);
    return ingress_queue_response(connection, &call->response,
                                  call->request.text);
}

/* Request callback of libmicrohttpd, called once for the headers, for each
 * part of the body, at the end of the body, and again after the connection is
 * resumed. */
static enum MHD_Result
ingress_on_request(void *payload, struct MHD_Connection *connection,
                   const char *url, const char *method, const char *version,
                   const char *upload, size_t *upload_size, void **state)
{
    (void)url;
    (void)version;
    ingress_listener *listener = payload;
    ingress_request *request = *state;
    if (request == NULL || request->ingress == NULL) {
        return MHD_NO;
    }
    if (!request->headers_read) {
        request->headers_read = true;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        ingress_append_body(request, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (request->submitted) {
        return ingress_send_result(request, connection);
    }
    return ingress_dispatch(listener, connection, request, method);
}

/* Called by libmicrohttpd with the raw URI of a new request; returns its
 * state. */
static void *
ingress_on_request_start(void *payload, const char *uri,
                         struct MHD_Connection *connection)
{
    (void)connection;
    ingress_listener *listener = payload;
    ingress_request *request = calloc(1, sizeof(*request));
    if (request != NULL) {
        request->ingress = listener->ingress;
        request->handle = PENDING_NONE;
        snprintf(request->url, sizeof(request->url), "%s", uri);
    }
    return request;
}

/* Called by libmicrohttpd when a request is over: release its state. */
static void
ingress_on_request_completed(void *payload, struct MHD_Connection *connection,
                             void **state,
                             enum MHD_RequestTerminationCode code)
{
    (void)payload;
    (void)connection;
    (void)code;
    ingress_request *request = *state;
    if (request == NULL) {
        return;
    }
    if (request->handle != PENDING_NONE) {
        pending_release(request->ingress->calls, request->handle);
    }
    free(request->body);
    free(request);
    *state = NULL;
}

/* Start one listener. */
static int
ingress_listen(ingress_listener *listener, const char *address, int64_t port,
               err *e)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET,
                                         .sin_port = htons((uint16_t)port)};
    if (inet_pton(AF_INET, address, &socket_address.sin_addr) != 1) {
        return ERR_SET(e, ERR_INVALID, "not an IPv4 address: %s", address);
    }
    listener->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        (uint16_t)port, NULL, NULL, ingress_on_request, listener,
        MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_URI_LOG_CALLBACK,
        ingress_on_request_start, listener, MHD_OPTION_NOTIFY_COMPLETED,
        ingress_on_request_completed, listener, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)INGRESS_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)INGRESS_IDLE_TIMEOUT_S, MHD_OPTION_END);
    if (listener->daemon == NULL) {
        return ERR_SET(e, ERR_IO, "cannot listen on %s:%lld", address,
                       (long long)port);
    }
    return 0;
}

/* Start both listeners. */
int
ingress_new(ingress **out, node *n, pending_table *calls, err *e)
{
    ingress *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the HTTP server");
    }
    server->node = n;
    server->calls = calls;
    server->callers = (ingress_listener){server, NULL, false};
    server->target = (ingress_listener){server, NULL, true};
    int result = ingress_listen(&server->callers, n->settings.address,
                                n->settings.callers_port, e);
    if (result == 0) {
        result = ingress_listen(&server->target, n->settings.address,
                                n->settings.target_port, e);
    }
    if (result < 0) {
        ingress_free(server);
        return result;
    }
    *out = server;
    return 0;
}

/* Stop accepting callers' connections; requests in flight continue. */
void
ingress_stop_accepting(ingress *server)
{
    MHD_socket listening = MHD_quiesce_daemon(server->callers.daemon);
    if (listening != MHD_INVALID_SOCKET) {
        close(listening);
    }
}

/* Stop both listeners. No call may be suspended any more. NULL is allowed. */
void
ingress_free(ingress *server)
{
    if (server == NULL) {
        return;
    }
    if (server->callers.daemon != NULL) {
        MHD_stop_daemon(server->callers.daemon);
    }
    if (server->target.daemon != NULL) {
        MHD_stop_daemon(server->target.daemon);
    }
    free(server);
}

/* The router has stored the response of a call: resume its connection. */
void
ingress_send_response(ingress *server, int handle)
{
    MHD_resume_connection(pending_get(server->calls, handle)->connection);
}
