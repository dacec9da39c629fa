#include "lav/http_sync.h"

#include <glib.h>
#include <netdb.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bytebuf.h"
#include "conn_pool.h"
#include "evloop.h"
#include "http_async.h"
#include "lav/clock.h"

#define HTTP_SYNC_PORT_SIZE 6 /* bytes of a port number, with the NUL */
#define HTTP_SYNC_CONNECT_TIMEOUT_US 1000000 /* 1 s */
#define HTTP_SYNC_STATUS_OK 200

/* Response fields that callers get, by their index in http_async_options. */
enum http_sync_field {
    HTTP_SYNC_CONTENT_TYPE,
    HTTP_SYNC_ETAG,
    HTTP_SYNC_OUTCOME,
    HTTP_SYNC_REASON,
    HTTP_SYNC_REQUEST,
    HTTP_SYNC_FIELD_COUNT
};

static const char *const http_sync_fields[HTTP_SYNC_FIELD_COUNT] = {
    "Content-Type", "ETag", "Lav-Outcome", "Lav-Reason", "Lav-Request-Id"};

struct http_sync_client {
    evloop *l;
    conn_pool *pool;
    char *host;
    char port[HTTP_SYNC_PORT_SIZE];
};

/* A request that is being waited for. */
typedef struct http_sync_exchange {
    evloop *l;
    http_sync_response *out;
    bool ended;
    bool dropped; /* the server closed a kept connection, see http_async */
    enum http_async_result result;
} http_sync_exchange;

/* Create a client for the server at "http://address:port".  ERR_INVALID: not
 * such a URL.  ERR_NO_MEMORY, ERR_IO: it could not be created. */
int
http_sync_new(http_sync_client **out, const char *url, err *e)
{
    int result = 0;
    int port = 0;
    char *scheme = NULL;
    http_sync_client *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "HTTP client");
    }
    if (!g_uri_split(url, G_URI_FLAGS_NONE, &scheme, NULL, &client->host,
                     &port, NULL, NULL, NULL, NULL) ||
        scheme == NULL || strcmp(scheme, "http") != 0 ||
        client->host == NULL || port <= 0 || port > UINT16_MAX) {
        result = ERR_SET(e, ERR_INVALID, "invalid server URL: %s", url);
        goto done;
    }
    snprintf(client->port, sizeof(client->port), "%d", port);
    result = evloop_new(&client->l);
    if (result == 0) {
        result = conn_pool_new(&client->pool, client->l);
    }
    if (result < 0) {
        result =
            ERR_SET(e, result, "cannot create an HTTP client for %s", url);
        goto done;
    }
    *out = client;
    client = NULL;
done:
    g_free(scheme);
    http_sync_free(client);
    return result;
}

/* Close the connections and free the client; NULL is ignored. */
void
http_sync_free(http_sync_client *client)
{
    if (client != NULL) {
        conn_pool_free(client->pool);
        evloop_free(client->l);
        g_free(client->host);
        free(client);
    }
}

/* Look up the IPv4 address of the server.  ERR_UNAVAILABLE: it has none. */
static int
http_sync_resolve(struct sockaddr_in *out, const http_sync_client *client,
                  err *e)
{
    struct addrinfo hints = {.ai_family = AF_INET,
                             .ai_socktype = SOCK_STREAM,
                             .ai_flags = AI_NUMERICSERV};
    struct addrinfo *found = NULL;
    int error = getaddrinfo(client->host, client->port, &hints, &found);
    if (error != 0) {
        return ERR_SET(e, ERR_UNAVAILABLE, "%s: %s", client->host,
                       gai_strerror(error));
    }
    memcpy(out, found->ai_addr, sizeof(*out));
    freeaddrinfo(found);
    return 0;
}

/* Keep a response for the caller. */
static void
http_sync_on_done(const http_async_response *response, void *payload)
{
    http_sync_exchange *x = payload;
    http_sync_response *out = x->out;
    const char(*values)[HTTP_ASYNC_FIELD_VALUE_SIZE] = response->values;
    x->ended = true;
    x->dropped = response->dropped;
    x->result = response->result;
    out->status = response->status;
    out->length = response->length;
    out->body = malloc(response->length + 1);
    if (out->body != NULL) {
        memcpy(out->body, response->body, response->length + 1);
    }
    snprintf(out->content_type, sizeof(out->content_type), "%s",
             values[HTTP_SYNC_CONTENT_TYPE]);
    snprintf(out->etag, sizeof(out->etag), "%s", values[HTTP_SYNC_ETAG]);
    snprintf(out->outcome, sizeof(out->outcome), "%s",
             values[HTTP_SYNC_OUTCOME]);
    snprintf(out->reason, sizeof(out->reason), "%s", values[HTTP_SYNC_REASON]);
    snprintf(out->request, sizeof(out->request), "%s",
             values[HTTP_SYNC_REQUEST]);
    ev_break(x->l->loop, EVBREAK_ALL);
}

/* Send the request once and wait until it has ended. */
static void
http_sync_exchange_once(http_sync_exchange *x, http_sync_client *client,
                        const struct sockaddr_in *to,
                        const http_async_options *opts)
{
    x->ended = false;
    evloop_update_now(client->l);
    if (http_async_start(NULL, client->pool, client->l, to, opts,
                         http_sync_on_done, x) < 0) {
        x->result = HTTP_ASYNC_NOT_SENT;
        return;
    }
    while (!x->ended) {
        ev_run(client->l->loop, 0);
    }
}

/* Return the result of an exchange that has ended. */
static int
http_sync_result(const http_sync_exchange *x, err *e)
{
    switch (x->result) {
    case HTTP_ASYNC_COMPLETE:
        return x->out->body == NULL
                   ? ERR_SET(e, ERR_NO_MEMORY, "HTTP response")
                   : 0;
    case HTTP_ASYNC_NOT_SENT:
        return x->out->resent
                   ? ERR_SET(e, ERR_UNKNOWN, "no response, and no connection")
                   : ERR_SET(e, ERR_UNAVAILABLE, "no connection");
    case HTTP_ASYNC_NO_RESPONSE:
        return ERR_SET(e, ERR_UNKNOWN, "no complete response");
    case HTTP_ASYNC_TOO_LARGE:
        return ERR_SET(e, ERR_FULL, "the response is too large");
    }
    return ERR_UNKNOWN;
}

/* Append a header line. */
static void
http_sync_write_header(bytebuf *out, const char *name, const char *value)
{
    bytebuf_append_text(out, name);
    bytebuf_append_text(out, ": ");
    bytebuf_append_text(out, value);
    bytebuf_append_text(out, "\r\n");
}

/* Write the header lines of a request, with a NUL. */
static void
http_sync_write_headers(bytebuf *out, const http_sync_request *request)
{
    if (request->content_type != NULL && request->content_type[0] != '\0') {
        http_sync_write_header(out, "Content-Type", request->content_type);
    }
    for (size_t i = 0;
         i < HTTP_SYNC_HEADERS_MAX && request->headers[i].name != NULL; i++) {
        http_sync_write_header(out, request->headers[i].name,
                               request->headers[i].value);
    }
    bytebuf_append(out, "", 1);
}

/*
 * Send a request and read the whole response.  Unless it may be resent, it
 * goes over a new connection: a server may close a kept one just as the
 * request is sent.  ERR_UNAVAILABLE: it was never sent.  ERR_UNKNOWN: it may
 * have been sent, and there is no complete response.  ERR_FULL: the response
 * is too large.  Whatever the result, the caller passes `out` to
 * http_sync_response_clear().
 */
int
http_sync_perform(http_sync_response *out, http_sync_client *client,
                  const http_sync_request *request, err *e)
{
    struct sockaddr_in to;
    bytebuf headers = {0};
    http_sync_exchange x = {.l = client->l, .out = out};
    memset(out, 0, sizeof(*out));
    int result = http_sync_resolve(&to, client, e);
    if (result < 0) {
        return result;
    }
    http_sync_write_headers(&headers, request);
    http_async_options opts = {
        .method = request->method,
        .path = request->path,
        .body = request->length > 0 ? request->body : NULL,
        .length = request->length,
        .header_lines = bytebuf_data(&headers),
        .timeout_us = request->timeout_s * CLOCK_US_PER_S,
        .connect_timeout_us = HTTP_SYNC_CONNECT_TIMEOUT_US,
        .response_body_bytes_max = request->response_body_bytes_max};
    memcpy(opts.fields, http_sync_fields, sizeof(http_sync_fields));
    if (!request->may_resend) {
        conn_pool_close_idle(client->pool, &to);
    }
    http_sync_exchange_once(&x, client, &to, &opts);
    if (x.dropped && request->may_resend) {
        http_sync_response_clear(out);
        out->resent = true;
        http_sync_exchange_once(&x, client, &to, &opts);
    }
    bytebuf_clear(&headers);
    return http_sync_result(&x, e);
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
