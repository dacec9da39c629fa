#include "ingress_parse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/call_context.h"

#define INGRESS_CALL_PREFIX "/call/"
#define INGRESS_ATTEMPT_MAX 1000

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

/* Take service, operation and path out of "/call/SERVICE/OPERATION...".
 * The path that the target sees begins with the operation. */
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

/* Note what the headers say.  A context is only taken from the target; a
 * context or id that can't be read counts as absent, the latter as bad. */
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
