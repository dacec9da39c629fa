#include "inb_parse.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/ctx.h"
#include "node.h"

#define INB_CALL_PREFIX "/call/"
#define INB_ATTEMPT_MAX 1000

static int
inb_copy_segment(char *out, size_t size, const char **at)
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
inb_parse_path(cal_call *call, const char *url)
{
    size_t prefix = strlen(INB_CALL_PREFIX);
    if (strncmp(url, INB_CALL_PREFIX, prefix) != 0) {
        return ERR_NOT_FOUND;
    }
    const char *at = url + prefix;
    if (inb_copy_segment(call->service, sizeof(call->service), &at) < 0 ||
        *at != '/') {
        return ERR_NOT_FOUND;
    }
    const char *path = at;
    at++;
    if (inb_copy_segment(call->operation, sizeof(call->operation), &at) < 0 ||
        strlen(path) >= sizeof(call->path)) {
        return ERR_NOT_FOUND;
    }
    snprintf(call->path, sizeof(call->path), "%s", path);
    return 0;
}

/* Note what the headers say.  A context is only taken from the target; a
 * context or id that can't be read counts as absent, the latter as bad. */
void
inb_parse_headers(cal_call *call, const inb_headers *headers)
{
    ctx context;
    if (call->from_target && headers->context != NULL &&
        ctx_parse(&context, headers->context) == 0) {
        call->has_context = true;
        call->token = context.token;
    }
    if (headers->request_id != NULL) {
        call->has_id = id_parse(&call->request, headers->request_id) == 0;
        call->bad_id = !call->has_id;
    }
    if (headers->attempt != NULL) {
        int attempt = atoi(headers->attempt);
        if (attempt > 0 && attempt <= INB_ATTEMPT_MAX) {
            call->caller_attempt = attempt;
        }
    }
    call->earlier_not_run =
        headers->earlier != NULL && strcmp(headers->earlier, "not-run") == 0;
    if (headers->key != NULL) {
        snprintf(call->key, sizeof(call->key), "%s", headers->key);
    }
    if (headers->content_type != NULL) {
        snprintf(call->content_type, sizeof(call->content_type), "%s",
                 headers->content_type);
    }
}

/* Read a target's announcement, a JSON object:
 * {"url": "http://...", "slots": 50, "draining": false, "cold": true,
 *  "start": 17}. */
int
inb_parse_announcement(inb_announcement *out, const char *text, err *e)
{
    json_error_t fault;
    const char *url = NULL;
    int draining = 0;
    int cold = 0;
    json_int_t start = 0;
    json_t *json = json_loads(text, 0, &fault);
    memset(out, 0, sizeof(*out));
    int result = 0;
    if (json == NULL ||
        json_unpack_ex(json, &fault, JSON_STRICT, "{s:s,s:i,s:b,s:b,s:I}",
                       "url", &url, "slots", &out->slots, "draining",
                       &draining, "cold", &cold, "start", &start) != 0) {
        result = ERR_SET(e, ERR_INVALID, "announcement: %s", fault.text);
        goto done;
    }
    if (out->slots < 1 || out->slots > NODE_SLOTS_MAX ||
        strlen(url) >= sizeof(out->url)) {
        result = ERR_SET(e, ERR_INVALID,
                         "announcement: slots are 1 to %d, the url is short",
                         NODE_SLOTS_MAX);
        goto done;
    }
    snprintf(out->url, sizeof(out->url), "%s", url);
    out->draining = draining != 0;
    out->cold = cold != 0;
    out->start = (uint64_t)start;
done:
    json_decref(json);
    return result;
}
