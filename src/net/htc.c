#include "lav/htc.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_uri.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTC_BLOCK_SIZE 8192 /* bytes read at a time */
#define HTC_CONNECT_TIMEOUT_S 1
#define HTC_STATUS_OK 200

struct htc {
    ne_session *session;
    bool connected; /* a kept connection may be open */
    int connects;   /* made during this exchange */
};

static void
htc_notify(void *payload, ne_session_status status,
           const ne_session_status_info *info)
{
    (void)info;
    htc *h = payload;
    if (status == ne_status_connected) {
        h->connects++;
    }
}

/* Make a client of one server, named by "http://address:port". */
int
htc_new(htc **out, const char *url, err *e)
{
    ne_uri uri = {0};
    htc *h = calloc(1, sizeof(*h));
    if (h == NULL || ne_uri_parse(url, &uri) != 0 || uri.host == NULL ||
        uri.port == 0 || uri.scheme == NULL ||
        strcmp(uri.scheme, "http") != 0) {
        ne_uri_free(&uri);
        free(h);
        return ERR_SET(e, ERR_INVALID, "not an address of a server: %s", url);
    }
    h->session = ne_session_create(uri.scheme, uri.host, uri.port);
    ne_set_connect_timeout(h->session, HTC_CONNECT_TIMEOUT_S);
    ne_set_notifier(h->session, htc_notify, h);
    ne_uri_free(&uri);
    *out = h;
    return 0;
}

/* Release the client and its connection; takes NULL. */
void
htc_free(htc *h)
{
    if (h != NULL) {
        ne_session_destroy(h->session);
        free(h);
    }
}

static void
htc_copy_header(char *out, size_t size, ne_request *request, const char *name)
{
    const char *value = ne_get_response_header(request, name);
    snprintf(out, size, "%s", value == NULL ? "" : value);
}

static int
htc_read_body(htc_answer *out, ne_request *request, size_t answer_max, err *e)
{
    size_t room = HTC_BLOCK_SIZE;
    out->body = malloc(room + 1);
    if (out->body == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "answer");
    }
    for (;;) {
        if (room - out->length < HTC_BLOCK_SIZE) {
            room *= 2;
            char *larger = realloc(out->body, room + 1);
            if (larger == NULL) {
                return ERR_SET(e, ERR_NO_MEMORY, "answer");
            }
            out->body = larger;
        }
        ssize_t count = ne_read_response_block(
            request, out->body + out->length, HTC_BLOCK_SIZE);
        if (count < 0) {
            return ERR_SET(e, ERR_UNKNOWN, "the answer was cut off");
        }
        if (count == 0) {
            break;
        }
        out->length += (size_t)count;
        if (out->length > answer_max) {
            return ERR_SET(e, ERR_FULL, "the answer is over %zu bytes",
                           answer_max);
        }
    }
    out->body[out->length] = '\0';
    return 0;
}

static void
htc_fill(ne_request *request, const htc_request *source)
{
    ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, source->may_resend);
    if (source->length > 0) {
        ne_set_request_body_buffer(request, source->body, source->length);
    }
    if (source->content_type != NULL && source->content_type[0] != '\0') {
        ne_add_request_header(request, "Content-Type", source->content_type);
    }
    for (size_t i = 0; i < HTC_HEADERS_MAX && source->headers[i].name != NULL;
         i++) {
        ne_add_request_header(request, source->headers[i].name,
                              source->headers[i].value);
    }
}

static int
htc_run(htc_answer *out, htc *h, ne_request *request,
        const htc_request *source, err *e)
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
    htc_copy_header(out->content_type, sizeof(out->content_type), request,
                    "Content-Type");
    htc_copy_header(out->etag, sizeof(out->etag), request, "ETag");
    htc_copy_header(out->outcome, sizeof(out->outcome), request,
                    "Lav-Outcome");
    htc_copy_header(out->reason, sizeof(out->reason), request, "Lav-Reason");
    htc_copy_header(out->request, sizeof(out->request), request,
                    "Lav-Request-Id");
    int result = htc_read_body(out, request, source->answer_max, e);
    if (result == 0 && ne_end_request(request) != NE_OK) {
        result = ERR_SET(e, ERR_UNKNOWN, "%s", ne_get_error(h->session));
    }
    h->connected = result == 0;
    return result;
}

/*
 * Send one request and read the whole answer.  ERR_UNAVAILABLE: it was
 * never sent.  ERR_UNKNOWN: it may have been sent, and there is no whole
 * answer.  ERR_FULL: answered, but too large.  htc_answer_clear() after,
 * whatever the result.
 */
int
htc_exchange(htc_answer *out, htc *h, const htc_request *request, err *e)
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
    htc_fill(sent, request);
    int result = htc_run(out, h, sent, request, e);
    ne_request_destroy(sent);
    if (result < 0) {
        ne_close_connection(h->session);
        h->connected = false;
    }
    return result;
}

/* Release an answer's body. */
void
htc_answer_clear(htc_answer *answer)
{
    free(answer->body);
    answer->body = NULL;
    answer->length = 0;
}

/* Get one text from a server and close the connection; free(*out) after. */
int
htc_get_text(char **out, const char *url, const char *path, int timeout_s,
             size_t answer_max)
{
    htc *h = NULL;
    htc_answer answer;
    htc_request request = {.method = "GET",
                           .path = path,
                           .may_resend = true,
                           .timeout_s = timeout_s,
                           .answer_max = answer_max};
    int result = htc_new(&h, url, NULL);
    if (result < 0) {
        return result;
    }
    result = htc_exchange(&answer, h, &request, NULL);
    if (result == 0 && answer.status != HTC_STATUS_OK) {
        result = ERR_NOT_FOUND;
    }
    if (result == 0) {
        *out = answer.body;
        answer.body = NULL;
    }
    htc_answer_clear(&answer);
    htc_free(h);
    return result;
}
