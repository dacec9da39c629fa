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
    bool connected; /* a kept connection may be open */
    int connects;   /* made during this exchange */
};

static void
http_sync_notify(void *payload, ne_session_status status,
                 const ne_session_status_info *info)
{
    (void)info;
    http_sync_client *h = payload;
    if (status == ne_status_connected) {
        h->connects++;
    }
}

/* Make a client of one server, named by "http://address:port". */
int
http_sync_new(http_sync_client **out, const char *url, err *e)
{
    ne_uri uri = {0};
    http_sync_client *h = calloc(1, sizeof(*h));
    if (h == NULL || ne_uri_parse(url, &uri) != 0 || uri.host == NULL ||
        uri.port == 0 || uri.scheme == NULL ||
        strcmp(uri.scheme, "http") != 0) {
        ne_uri_free(&uri);
        free(h);
        return ERR_SET(e, ERR_INVALID, "not an address of a server: %s", url);
    }
    h->session = ne_session_create(uri.scheme, uri.host, uri.port);
    ne_set_connect_timeout(h->session, HTTP_SYNC_CONNECT_TIMEOUT_S);
    ne_set_notifier(h->session, http_sync_notify, h);
    ne_uri_free(&uri);
    *out = h;
    return 0;
}

/* Release the client and its connection; takes NULL. */
void
http_sync_free(http_sync_client *h)
{
    if (h != NULL) {
        ne_session_destroy(h->session);
        free(h);
    }
}

static void
http_sync_copy_header(char *out, size_t size, ne_request *request,
                      const char *name)
{
    const char *value = ne_get_response_header(request, name);
    snprintf(out, size, "%s", value == NULL ? "" : value);
}

static int
http_sync_read_body(http_sync_response *out, ne_request *request,
                    size_t response_body_bytes_max, err *e)
{
    size_t room = HTTP_SYNC_BLOCK_SIZE;
    out->body = malloc(room + 1);
    if (out->body == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "answer");
    }
    for (;;) {
        if (room - out->length < HTTP_SYNC_BLOCK_SIZE) {
            room *= 2;
            char *larger = realloc(out->body, room + 1);
            if (larger == NULL) {
                return ERR_SET(e, ERR_NO_MEMORY, "answer");
            }
            out->body = larger;
        }
        ssize_t count = ne_read_response_block(
            request, out->body + out->length, HTTP_SYNC_BLOCK_SIZE);
        if (count < 0) {
            return ERR_SET(e, ERR_UNKNOWN, "the answer was cut off");
        }
        if (count == 0) {
            break;
        }
        out->length += (size_t)count;
        if (out->length > response_body_bytes_max) {
            return ERR_SET(e, ERR_FULL, "the answer is over %zu bytes",
                           response_body_bytes_max);
        }
    }
    out->body[out->length] = '\0';
    return 0;
}

static void
http_sync_fill(ne_request *request, const http_sync_request *source)
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

static int
http_sync_run(http_sync_response *out, http_sync_client *h,
              ne_request *request, const http_sync_request *source, err *e)
{
    bool was_connected = h->connected;
    int begun = ne_begin_request(request);
    if (begun != NE_OK) {
        h->connected = false;
        bool never_sent = begun == NE_CONNECT && !was_connected;
        return ERR_SET(e, never_sent ? ERR_UNAVAILABLE : ERR_UNKNOWN, "%s",
                       ne_get_error(h->session));
    }
    out->resent = was_connected && h->connects > 0;
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
        result = ERR_SET(e, ERR_UNKNOWN, "%s", ne_get_error(h->session));
    }
    h->connected = result == 0;
    return result;
}

/*
 * Send one request and read the whole answer.  ERR_UNAVAILABLE: it was
 * never sent.  ERR_UNKNOWN: it may have been sent, and there is no whole
 * answer.  ERR_FULL: answered, but too large.  http_sync_response_clear() after,
 * whatever the result.
 */
int
http_sync_perform(http_sync_response *out, http_sync_client *h,
                  const http_sync_request *request, err *e)
{
    memset(out, 0, sizeof(*out));
    h->connects = 0;
    if (!request->may_resend) {
        ne_close_connection(h->session);
        h->connected = false;
    }
    ne_set_read_timeout(h->session, request->timeout_s);
    ne_request *sent =
        ne_request_create(h->session, request->method, request->path);
    http_sync_fill(sent, request);
    int result = http_sync_run(out, h, sent, request, e);
    ne_request_destroy(sent);
    if (result < 0) {
        ne_close_connection(h->session);
        h->connected = false;
    }
    return result;
}

/* Release an answer's body. */
void
http_sync_response_clear(http_sync_response *answer)
{
    free(answer->body);
    answer->body = NULL;
    answer->length = 0;
}

/* Get one text from a server and close the connection; free(*out) after. */
int
http_sync_get_text(char **out, const char *url, const char *path,
                   int timeout_s, size_t response_body_bytes_max)
{
    http_sync_client *h = NULL;
    http_sync_response answer;
    http_sync_request request = {.method = "GET",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = timeout_s,
                                 .response_body_bytes_max =
                                     response_body_bytes_max};
    int result = http_sync_new(&h, url, NULL);
    if (result < 0) {
        return result;
    }
    result = http_sync_perform(&answer, h, &request, NULL);
    if (result == 0 && answer.status != HTTP_SYNC_STATUS_OK) {
        result = ERR_NOT_FOUND;
    }
    if (result == 0) {
        *out = answer.body;
        answer.body = NULL;
    }
    http_sync_response_clear(&answer);
    http_sync_free(h);
    return result;
}
