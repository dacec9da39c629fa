#include "target_info.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Parses a target's announcement, a JSON object:
 * {"url": "http://...", "slots": 50, "draining": false, "cold": true,
 *  "start": 17}. */
int
target_info_parse(target_info *out, const char *text, err *e)
{
    json_error_t error;
    const char *url = NULL;
    int draining = 0;
    int cold = 0;
    json_int_t start = 0;
    json_t *json = json_loads(text, 0, &error);
    memset(out, 0, sizeof(*out));
    int result = 0;
    if (json == NULL ||
        json_unpack_ex(json, &error, JSON_STRICT, "{s:s,s:i,s:b,s:b,s:I}",
                       "url", &url, "slots", &out->slots, "draining",
                       &draining, "cold", &cold, "start", &start) != 0) {
        result = ERR_SET(e, ERR_INVALID, "announcement: %s", error.text);
        goto done;
    }
    if (out->slots < 1 || out->slots > NODE_SLOTS_MAX ||
        strlen(url) >= sizeof(out->url)) {
        result =
            ERR_SET(e, ERR_INVALID,
                    "announcement: slots outside 1 to %d, or url too long",
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
