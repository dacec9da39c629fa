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
#define INGRESS_ANNOUNCEMENT_MAX 4096 /* bytes */

typedef struct ingress_side {
    struct ingress *owner;
    struct MHD_Daemon *daemon;
    bool target; /* the side of the local target */
} ingress_side;

struct ingress {
    node *node;
    pending_table *calls;
    ingress_side callers;
    ingress_side target;
};

/* State of one HTTP request while it is read and answered. */
typedef struct ingress_request {
    struct ingress *owner;
    int handle;     /* of the call, or PENDING_NONE */
    bool begun;     /* the headers have been read */
    bool submitted; /* the router has it */
    bool too_large;
    char url[INGRESS_URL_SIZE];
    size_t length;
    size_t size;
    char *body;
} ingress_request;

static int
ingress_outcome_status(const pending_answer *answer)
{
    if (answer->outcome == OUTCOME_DONE) {
        return answer->status;
    }
    if (answer->outcome == OUTCOME_UNKNOWN) {
        return MHD_HTTP_GATEWAY_TIMEOUT;
    }
    switch (answer->reason) {
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

static enum MHD_Result
ingress_respond(struct MHD_Connection *connection,
                const pending_answer *answer, const char *request_id)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        answer->body.length, answer->body.bytes, MHD_RESPMEM_MUST_COPY);
    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Lav-Outcome",
                            outcome_name(answer->outcome));
    MHD_add_response_header(response, "Lav-Reason",
                            reason_name(answer->reason));
    if (request_id[0] != '\0') {
        MHD_add_response_header(response, "Lav-Request-Id", request_id);
    }
    if (answer->content_type[0] != '\0') {
        MHD_add_response_header(response, "Content-Type",
                                answer->content_type);
    }
    if (answer->outcome == OUTCOME_NOT_RUN) {
        MHD_add_response_header(response, "Retry-After", "1");
    }
    enum MHD_Result queued = MHD_queue_response(
        connection, (unsigned)ingress_outcome_status(answer), response);
    MHD_destroy_response(response);
    return queued;
}

static const char *
ingress_header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* What may be said of a request that the router has not seen: a caller that
 * names it may have sent it before, here or elsewhere. */
static enum outcome
ingress_unseen_outcome(struct MHD_Connection *connection)
{
    bool named = ingress_header(connection, "Lav-Request-Id") != NULL ||
                 ingress_header(connection, "Lav-Context") != NULL;
    counter_add(named ? COUNTER_UNKNOWN : COUNTER_NOT_RUN, 1);
    return named ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* Refuse a request that never became a call. */
static enum MHD_Result
ingress_refuse(struct MHD_Connection *connection, enum reason reason)
{
    pending_answer answer = {.outcome = ingress_unseen_outcome(connection),
                             .reason = reason};
    counter_add_reason(reason);
    return ingress_respond(connection, &answer, "");
}

/* Refuse a request that no node would ever take, whoever sends it. */
static enum MHD_Result
ingress_refuse_for_ever(struct MHD_Connection *connection, enum reason reason)
{
    pending_answer answer = {.outcome = OUTCOME_NOT_RUN, .reason = reason};
    counter_add_reason(reason);
    counter_add(COUNTER_NOT_RUN, 1);
    return ingress_respond(connection, &answer, "");
}

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

static int
ingress_connection_socket(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == NULL ? -1 : info->connect_fd;
}

/* Make a call of a whole request and hand it to the router. */
static enum MHD_Result
ingress_submit(ingress_side *side, struct MHD_Connection *connection,
               ingress_request *request, const char *method)
{
    ingress *i = side->owner;
    if (request->too_large) {
        return ingress_refuse_for_ever(connection, REASON_BODY_TOO_LARGE);
    }
    int handle = pending_acquire(i->calls);
    if (handle == PENDING_NONE) {
        return ingress_refuse(connection, REASON_TABLE_FULL);
    }
    pending_call *call = pending_get(i->calls, handle);
    call->connection = connection;
    call->socket = ingress_connection_socket(connection);
    call->from_target = side->target;
    if (strlen(method) >= sizeof(call->method) ||
        ingress_parse_path(call, request->url) < 0) {
        pending_release(i->calls, handle);
        return ingress_refuse_for_ever(connection, REASON_UNKNOWN_OPERATION);
    }
    snprintf(call->method, sizeof(call->method), "%s", method);
    ingress_read_headers(call, connection);
    call->body = (msg_body){request->length, request->body};
    request->body = NULL;
    request->handle = handle;
    request->submitted = true;
    MHD_suspend_connection(connection);
    if (router_submit(i->node->router, handle) < 0) {
        call->answer =
            (pending_answer){.outcome = ingress_unseen_outcome(connection),
                             .reason = REASON_RING_FULL};
        counter_add_reason(REASON_RING_FULL);
        MHD_resume_connection(connection);
    }
    return MHD_YES;
}

static enum MHD_Result
ingress_announce(ingress *i, struct MHD_Connection *connection,
                 const ingress_request *request)
{
    target_info announcement;
    err e = ERR_INIT;
    const char *text = request->body == NULL ? "" : request->body;
    if (request->length > INGRESS_ANNOUNCEMENT_MAX ||
        target_info_parse(&announcement, text, &e) < 0) {
        return ingress_refuse_for_ever(connection, REASON_BAD_REQUEST);
    }
    admitter_submit_target_info(i->node->admitter, &announcement);
    return ingress_send_text(connection, MHD_HTTP_OK,
                             node_status_format_target(i->node));
}

static enum MHD_Result
ingress_dispatch(ingress_side *side, struct MHD_Connection *connection,
                 ingress_request *request, const char *method)
{
    ingress *i = side->owner;
    if (side->target && strcmp(request->url, INGRESS_TARGET_PATH) == 0) {
        return ingress_announce(i, connection, request);
    }
    if (!side->target && strcmp(request->url, "/lav/status") == 0) {
        return ingress_send_text(connection, MHD_HTTP_OK,
                                 node_status_format(i->node));
    }
    if (!side->target &&
        strncmp(request->url, "/lav/explain?", strlen("/lav/explain?")) == 0) {
        const char *id_text = MHD_lookup_connection_value(
            connection, MHD_GET_ARGUMENT_KIND, "id");
        return ingress_send_text(connection, MHD_HTTP_OK,
                                 node_status_format_decisions(
                                     i->node, id_text == NULL ? "" : id_text));
    }
    return ingress_submit(side, connection, request, method);
}

/* Keep a part of the body; a body over the limit is read and dropped. */
static void
ingress_collect(ingress_request *request, const char *bytes, size_t length)
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

static enum MHD_Result
ingress_finish(ingress_request *request, struct MHD_Connection *connection)
{
    ingress *i = request->owner;
    pending_call *call = pending_get(i->calls, request->handle);
    return ingress_respond(connection, &call->answer, call->request.text);
}

/* Called by libmicrohttpd: once for the headers, for each part of the body,
 * at the end of the body, and again after the connection is resumed. */
static enum MHD_Result
ingress_handle(void *payload, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload, size_t *upload_size, void **state)
{
    (void)url;
    (void)version;
    ingress_side *side = payload;
    ingress_request *request = *state;
    if (request == NULL || request->owner == NULL) {
        return MHD_NO;
    }
    if (!request->begun) {
        request->begun = true;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        ingress_collect(request, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (request->submitted) {
        return ingress_finish(request, connection);
    }
    return ingress_dispatch(side, connection, request, method);
}

/* Called with the raw URI of a new request; its result is the state. */
static void *
ingress_begin(void *payload, const char *uri,
              struct MHD_Connection *connection)
{
    (void)connection;
    ingress_side *side = payload;
    ingress_request *request = calloc(1, sizeof(*request));
    if (request != NULL) {
        request->owner = side->owner;
        request->handle = PENDING_NONE;
        snprintf(request->url, sizeof(request->url), "%s", uri);
    }
    return request;
}

static void
ingress_completed(void *payload, struct MHD_Connection *connection,
                  void **state, enum MHD_RequestTerminationCode code)
{
    (void)payload;
    (void)connection;
    (void)code;
    ingress_request *request = *state;
    if (request == NULL) {
        return;
    }
    if (request->handle != PENDING_NONE) {
        pending_release(request->owner->calls, request->handle);
    }
    free(request->body);
    free(request);
    *state = NULL;
}

static int
ingress_start(ingress_side *side, const char *address, int64_t port, err *e)
{
    struct sockaddr_in bound = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    if (inet_pton(AF_INET, address, &bound.sin_addr) != 1) {
        return ERR_SET(e, ERR_INVALID, "not an address: %s", address);
    }
    side->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        (uint16_t)port, NULL, NULL, ingress_handle, side, MHD_OPTION_SOCK_ADDR,
        &bound, MHD_OPTION_URI_LOG_CALLBACK, ingress_begin, side,
        MHD_OPTION_NOTIFY_COMPLETED, ingress_completed, side,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)INGRESS_CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)INGRESS_IDLE_TIMEOUT_S,
        MHD_OPTION_END);
    if (side->daemon == NULL) {
        return ERR_SET(e, ERR_IO, "can't listen at %s:%lld", address,
                       (long long)port);
    }
    return 0;
}

/* Listen at both addresses. */
int
ingress_new(ingress **out, node *n, pending_table *calls, err *e)
{
    ingress *i = calloc(1, sizeof(*i));
    if (i == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "inbound");
    }
    i->node = n;
    i->calls = calls;
    i->callers = (ingress_side){i, NULL, false};
    i->target = (ingress_side){i, NULL, true};
    int result = ingress_start(&i->callers, n->settings.address,
                               n->settings.callers_port, e);
    if (result == 0) {
        result = ingress_start(&i->target, n->settings.address,
                               n->settings.target_port, e);
    }
    if (result < 0) {
        ingress_free(i);
        return result;
    }
    *out = i;
    return 0;
}

/* Stop listening for callers; requests in flight go on. */
void
ingress_stop_accepting(ingress *i)
{
    MHD_socket listening = MHD_quiesce_daemon(i->callers.daemon);
    if (listening != MHD_INVALID_SOCKET) {
        close(listening);
    }
}

/* Close both sides once no call is suspended; takes NULL. */
void
ingress_free(ingress *i)
{
    if (i == NULL) {
        return;
    }
    if (i->callers.daemon != NULL) {
        MHD_stop_daemon(i->callers.daemon);
    }
    if (i->target.daemon != NULL) {
        MHD_stop_daemon(i->target.daemon);
    }
    free(i);
}

/* The router has put the answer into a call: let it be sent. */
void
ingress_send_answer(ingress *i, int handle)
{
    MHD_resume_connection(pending_get(i->calls, handle)->connection);
}
