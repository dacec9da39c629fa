#include "ingress_parse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/call_context.h"

#define INGRESS_CALL_PREFIX "/call/"
#define INGRESS_ATTEMPT_MAX 1000

/* Copy one path segment and advance `at` past it; ERR_INVALID if it is empty
 * or does not fit. */
static int
ingress_copy_segment(char *out, size_t size, const char **at)
{
    size_t length = strcspn(*at, "/?");
    if (length == 0 || length >= size) {
        return ERR_INVALID;
    }
    memcpy(out, *at, length);
    out[length] = '\0';
    *at += length;
    return 0;
}

/* Parse "/call/SERVICE/OPERATION[/...][?...]" into service, operation and
 * path. The path sent to the target starts with "/OPERATION". ERR_NOT_FOUND
 * if the URL has another form or a part is too long. */
int
ingress_parse_path(pending_call *call, const char *url)
{
    size_t prefix = strlen(INGRESS_CALL_PREFIX);
    if (strncmp(url, INGRESS_CALL_PREFIX, prefix) != 0) {
        return ERR_NOT_FOUND;
    }
    const char *at = url + prefix;
    if (ingress_copy_segment(call->service, sizeof(call->service), &at) < 0 ||
        *at != '/') {
        return ERR_NOT_FOUND;
    }
    const char *path = at;
    at++;
    if (ingress_copy_segment(call->operation, sizeof(call->operation), &at) <
            0 ||
        strlen(path) >= sizeof(call->path)) {
        return ERR_NOT_FOUND;
    }
    snprintf(call->path, sizeof(call->path), "%s", path);
    return 0;
}

/* Store the request headers in the call. Lav-Context is accepted from the
 * target only and ignored if it is malformed; a malformed Lav-Request-Id sets
 * `invalid_id`; an attempt number out of range is ignored. */
void
ingress_parse_headers(pending_call *call, const ingress_headers *headers)
{
    call_context context;
    if (call->from_target && headers->context != NULL &&
        call_context_parse(&context, headers->context) == 0) {
        call->has_context = true;
        call->token = context.token;
    }
    if (headers->request_id != NULL) {
        call->has_id = id_parse(&call->request, headers->request_id) == 0;
        call->invalid_id = !call->has_id;
    }
    if (headers->attempt != NULL) {
        int attempt = atoi(headers->attempt);
        if (attempt > 0 && attempt <= INGRESS_ATTEMPT_MAX) {
            call->caller_attempt = attempt;
        }
    }
    call->earlier_attempts_not_run =
        headers->earlier != NULL && strcmp(headers->earlier, "not-run") == 0;
    if (headers->key != NULL) {
        snprintf(call->key, sizeof(call->key), "%s", headers->key);
    }
    if (headers->content_type != NULL) {
        snprintf(call->content_type, sizeof(call->content_type), "%s",
                 headers->content_type);
    }
}
