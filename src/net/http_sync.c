#include "lav/http_sync.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_uri.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_SYNC_BLOCK_SIZE 8192 /* bytes read at a time */
#define HTTP_SYNC_CONNECT_TIMEOUT_S 1
#define HTTP_SYNC_STATUS_OK 200

struct http_sync_client {
    ne_session *session;
    bool connected; /* a persistent connection may be open */
    int connects;   /* connections opened by this request */
};

/* Count the connections that neon opens; an ne_notify_status. */
static void
http_sync_notify(void *payload, ne_session_status status,
                 const ne_session_status_info *info)
{
    (void)info;
    http_sync_client *client = payload;
    if (status == ne_status_connected) {
        client->connects++;
    }
}

/* Create a client for the server at "http://address:port".  ERR_INVALID: not
 * such a URL, or no memory. */
int
http_sync_new(http_sync_client **out, const char *url, err *e)
{
    ne_uri uri = {0};
    http_sync_client *client = calloc(1, sizeof(*client));
    if (client == NULL || ne_uri_parse(url, &uri) != 0 || uri.host == NULL ||
        uri.port == 0 || uri.scheme == NULL ||
        strcmp(uri.scheme, "http") != 0) {
        ne_uri_free(&uri);
        free(client);
        return ERR_SET(e, ERR_INVALID, "invalid server URL: %s", url);
    }
    client->session = ne_session_create(uri.scheme, uri.host, uri.port);
    ne_set_connect_timeout(client->session, HTTP_SYNC_CONNECT_TIMEOUT_S);
    ne_set_notifier(client->session, http_sync_notify, client);
    ne_uri_free(&uri);
    *out = client;
    return 0;
}

/* Close the connection and free the client; NULL is ignored. */
void
http_sync_free(http_sync_client *client)
{
    if (client != NULL) {
        ne_session_destroy(client->session);
        free(client);
    }
}

/* Copy a response header, truncated to `size` bytes; empty if absent. */
static void
http_sync_copy_header(char *out, size_t size, ne_request *request,
                      const char *name)
{
    const char *value = ne_get_response_header(request, name);
    snprintf(out, size, "%s", value == NULL ? "" : value);
}

/* Read the response body and terminate it with a NUL.  ERR_UNKNOWN: the
 * connection failed before its end.  ERR_FULL: it is too large. */
static int
http_sync_read_body(http_sync_response *out, ne_request *request,
                    size_t response_body_bytes_max, err *e)
{
    size_t capacity = HTTP_SYNC_BLOCK_SIZE;
    out->body = malloc(capacity + 1);
    if (out->body == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "HTTP response");
    }
    for (;;) {
        if (capacity - out->length < HTTP_SYNC_BLOCK_SIZE) {
            capacity *= 2;
            char *grown = realloc(out->body, capacity + 1);
            if (grown == NULL) {
                return ERR_SET(e, ERR_NO_MEMORY, "HTTP response");
            }
            out->body = grown;
        }
        ssize_t count = ne_read_response_block(
            request, out->body + out->length, HTTP_SYNC_BLOCK_SIZE);
        if (count < 0) {
            return ERR_SET(e, ERR_UNKNOWN, "the response was truncated");
        }
        if (count == 0) {
            break;
        }
        out->length += (size_t)count;
        if (out->length > response_body_bytes_max) {
            return ERR_SET(e, ERR_FULL,
                           "the response is larger than %zu bytes",
                           response_body_bytes_max);
        }
    }
    out->body[out->length] = '\0';
    return 0;
}

/* Set the body, headers and flags of a request. */
static void
http_sync_prepare(ne_request *request, const http_sync_request *source)
{
    ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, source->may_resend);
    if (source->length > 0) {
        ne_set_request_body_buffer(request, source->body, source->length);
    }
    if (source->content_type != NULL && source->content_type[0] != '\0') {
        ne_add_request_header(request, "Content-Type", source->content_type);
    }
    for (size_t i = 0;
         i < HTTP_SYNC_HEADERS_MAX && source->headers[i].name != NULL; i++) {
        ne_add_request_header(request, source->headers[i].name,
                              source->headers[i].value);
    }
}

/* Send a prepared request and read the response; errors as those of
 * http_sync_perform(). */
static int
http_sync_exchange(http_sync_response *out, http_sync_client *client,
                   ne_request *request, const http_sync_request *source,
                   err *e)
{
    bool was_connected = client->connected;
    int begin_result = ne_begin_request(request);
    if (begin_result != NE_OK) {
        client->connected = false;
        bool never_sent = begin_result == NE_CONNECT && !was_connected;
        return ERR_SET(e, never_sent ? ERR_UNAVAILABLE : ERR_UNKNOWN, "%s",
                       ne_get_error(client->session));
    }
    out->resent = was_connected && client->connects > 0;
    out->status = ne_get_status(request)->code;
    http_sync_copy_header(out->content_type, sizeof(out->content_type),
                          request, "Content-Type");
    http_sync_copy_header(out->etag, sizeof(out->etag), request, "ETag");
    http_sync_copy_header(out->outcome, sizeof(out->outcome), request,
                          "Lav-Outcome");
    http_sync_copy_header(out->reason, sizeof(out->reason), request,
                          "Lav-Reason");
    http_sync_copy_header(out->request, sizeof(out->request), request,
                          "Lav-Request-Id");
    int result =
        http_sync_read_body(out, request, source->response_body_bytes_max, e);
    if (result == 0 && ne_end_request(request) != NE_OK) {
        result = ERR_SET(e, ERR_UNKNOWN, "%s", ne_get_error(client->session));
    }
    client->connected = result == 0;
    return result;
}

/*
 * Send a request and read the whole response.  Unless it may be resent, it
 * goes over a new connection, so that neon doesn't send it twice.
 * ERR_UNAVAILABLE: it was never sent.  ERR_UNKNOWN: it may have been sent,
 * and there is no complete response.  ERR_FULL: the response is too large.
 * Whatever the result, the caller passes `out` to http_sync_response_clear().
 */
int
http_sync_perform(http_sync_response *out, http_sync_client *client,
                  const http_sync_request *request, err *e)
{
    memset(out, 0, sizeof(*out));
    client->connects = 0;
    if (!request->may_resend) {
        ne_close_connection(client->session);
        client->connected = false;
    }
    ne_set_read_timeout(client->session, request->timeout_s);
    ne_request *sent =
        ne_request_create(client->session, request->method, request->path);
    http_sync_prepare(sent, request);
    int result = http_sync_exchange(out, client, sent, request, e);
    ne_request_destroy(sent);
    if (result < 0) {
        ne_close_connection(client->session);
        client->connected = false;
    }
    return result;
}

/* Free the body of a response. */
void
http_sync_response_clear(http_sync_response *response)
{
    free(response->body);
    response->body = NULL;
    response->length = 0;
}

/* Get a text over a connection of its own; the caller frees *out.  Errors as
 * those of http_sync_perform(), and ERR_NOT_FOUND for any status but 200. */
int
http_sync_get_text(char **out, const char *url, const char *path,
                   int timeout_s, size_t response_body_bytes_max)
{
    http_sync_client *client = NULL;
    http_sync_response response;
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = timeout_s,
                                 .response_body_bytes_max =
                                     response_body_bytes_max};
    int result = http_sync_new(&client, url, NULL);
    if (result < 0) {
        return result;
    }
    result = http_sync_perform(&response, client, &request, NULL);
    if (result == 0 && response.status != HTTP_SYNC_STATUS_OK) {
        result = ERR_NOT_FOUND;
    }
    if (result == 0) {
        *out = response.body;
        response.body = NULL;
    }
    http_sync_response_clear(&response);
    http_sync_free(client);
    return result;
}
