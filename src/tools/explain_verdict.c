#include "explain_verdict.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* What refused a request, by the reason in its `answer` line. */
typedef struct explain_verdict_reason {
    const char *reason;
    const char *text;
} explain_verdict_reason;

static const explain_verdict_reason explain_verdict_reasons[] = {
    {"unknown_key", "refused by key: no desired state that may be in force "
                    "has it"},
    {"key_not_confirmed", "refused by key: unknown here, and a newer desired "
                          "state may have it"},
    {"over_cap", "refused by cap: used up over all nodes"},
    {"cap_unchecked", "refused by cap: nobody could say whether it is used "
                      "up"},
    {"early_refusal", "refused by share: overload leaves less for its "
                      "priority and workspace"},
};

static const char *
explain_verdict_field(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));
    return text == NULL ? "" : text;
}

/* Returns what refused the request of an `answer` line; NULL if that was
 * neither a key, a cap nor a share. */
static const char *
explain_verdict_refusal(const json_t *line)
{
    size_t count =
        sizeof(explain_verdict_reasons) / sizeof(explain_verdict_reasons[0]);
    const char *reason = explain_verdict_field(line, "reason");
    for (size_t i = 0; i < count; i++) {
        if (strcmp(explain_verdict_reasons[i].reason, reason) == 0) {
            return explain_verdict_reasons[i].text;
        }
    }
    return NULL;
}

/* Returns the last line that says how the request itself ended; NULL if there
 * is none. */
static const json_t *
explain_verdict_end(const json_t *lines)
{
    const json_t *end = NULL;
    size_t index = 0;
    json_t *line = NULL;
    json_array_foreach(lines, index, line)
    {
        const char *event = explain_verdict_field(line, "event");
        if (json_integer_value(json_object_get(line, "below")) == 0 &&
            json_integer_value(json_object_get(line, "depth")) == 0 &&
            (strcmp(event, "answer") == 0 || strcmp(event, "served") == 0 ||
             strcmp(event, "target_failed") == 0)) {
            end = line;
        }
    }
    return end;
}

/* Writes one sentence about a request from its lines, as log_reader_explain()
 * returns them; "" if it has no workspace and none was asked for. */
void
explain_verdict(char *out, size_t size, const json_t *lines)
{
    const json_t *end = explain_verdict_end(lines);
    const char *workspace = explain_verdict_field(end, "workspace");
    const char *refusal = explain_verdict_refusal(end);
    bool by_key =
        refusal != NULL && strncmp(refusal, "refused by key", 14) == 0;
    out[0] = '\0';
    if (workspace[0] == '\0' && !by_key) {
        return;
    }
    int length = snprintf(
        out, size, "%s%s, status %d%s%s, at %s",
        workspace[0] == '\0' ? "no workspace" : "workspace ", workspace,
        (int)json_integer_value(json_object_get(end, "status")),
        refusal == NULL ? "" : ", ", refusal == NULL ? "" : refusal,
        explain_verdict_field(end, "process"));
    const json_t *desired = json_object_get(end, "desired");
    if (json_is_integer(desired) && (size_t)length < size) {
        snprintf(out + length, size - (size_t)length, ", desired state %lld",
                 (long long)json_integer_value(desired));
    }
}
