#include "hop.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "lav/err.h"

#define HOP_VALUE_SIZE 384         /* bytes of a field value, with the NUL */
#define HOP_WORKSPACE_VALUE_SIZE 9 /* 8 digits and the NUL */
#define HOP_HEX_DIGITS "0123456789abcdef"

/* Older nodes send neither the rate limit nor the weight. */
#define HOP_REQUEST_VALUES_MIN 13

/* Older nodes send neither the nonce, nor whether they take retries, nor the
 * rate limit, nor the cost and the level. */
#define HOP_RESPONSE_VALUES_MIN 13

#define HOP_PERMILLE 1000
#define HOP_WORK " w"        /* before what a call takes at an instance */
#define HOP_NOT_LIMITED (-1) /* rate of an instance that has named no limit */
#define HOP_REROUTED 1       /* flags of a request */
#define HOP_RESENT 2
#define HOP_CALLS_MAX 1000000            /* calls; a larger value is invalid */
#define HOP_WEIGHT_MAX_PERMILLE 1000000  /* a larger weight is invalid */
#define HOP_DURATION_MAX_US 3600000000LL /* 1 h; a longer one is invalid */

/* Returns a rate limit as it is written, in thousandths of a request a
 * second. */
static int64_t
hop_encode_rate(const instance_rate *rate)
{
    return rate->limited ? (int64_t)(rate->per_s * HOP_PERMILLE)
                         : HOP_NOT_LIMITED;
}

/* Returns the rate limit that hop_encode_rate() wrote. */
static instance_rate
hop_decode_rate(int64_t value)
{
    return value < 0 ? (instance_rate){0}
                     : (instance_rate){true, (double)value / HOP_PERMILLE};
}

/* Appends the levels to a header line, what a call takes at the instance, if
 * `work_us` is not 0, and the end of the line. */
static void
hop_write_levels(bytebuf *out, const hop_levels *levels, int work_us)
{
    for (int i = 0; i < levels->count; i++) {
        const service_level_report *level = &levels->list[i];
        bytebuf_appendf(out, " %" PRIx32 " %d %" PRId64, level->service,
                        (int)(level->level * HOP_PERMILLE), level->age_us);
    }
    if (work_us > 0) {
        bytebuf_appendf(out, HOP_WORK "%d", work_us);
    }
    bytebuf_append_text(out, "\r\n");
}

/* Parses the levels that hop_write_levels() wrote at the end of a header
 * value; ERR_INVALID if one of them is out of range. */
static int
hop_read_levels(hop_levels *out, const char *text)
{
    int used = 0;
    int level_permille = 0;
    service_level_report level = {0};
    while (out->count < HOP_LEVELS_MAX &&
           sscanf(text, "%" SCNx32 " %d %" SCNd64 "%n", &level.service,
                  &level_permille, &level.age_us, &used) == 3) {
        level.level = (double)level_permille / HOP_PERMILLE;
        if (level.level < 0 || level.level > SERVICE_LEVEL_MAX ||
            level.age_us < 0 || level.age_us > HOP_DURATION_MAX_US) {
            return ERR_INVALID;
        }
        out->list[out->count++] = level;
        text += used;
    }
    return 0;
}

/* Appends the header lines that accompany a forwarded request. */
void
hop_write_request(bytebuf *out, const hop_request *request)
{
    int flags = (request->rerouted ? HOP_REROUTED : 0) |
                (request->resent ? HOP_RESENT : 0);
    bytebuf_appendf(out,
                    HOP_HEADER ": %" PRIx64 " %" PRIx64 " %" PRId64 " %" PRId64
                               " %d %d %d %d %" PRIx32 " %" PRIx32
                               " %d %d %s %" PRId64 " %d",
                    request->config_version, request->nonce,
                    request->time_left_us, request->objective_us,
                    request->priority, request->peer_port, request->depth,
                    request->idempotent, request->route, request->origin,
                    flags, (int)(request->retry_probability * HOP_PERMILLE),
                    request->instance, hop_encode_rate(&request->rate),
                    (int)(request->weight * HOP_PERMILLE));
    hop_write_levels(out, &request->levels, 0);
    if (request->workspace != WORKSPACE_NONE) {
        bytebuf_appendf(out, HOP_WORKSPACE_HEADER ": %" PRIx32 "\r\n",
                        request->workspace);
    }
}

/* Parses the value of the header field that names the workspace, which not
 * every request has; ERR_INVALID if it is not an id. */
int
hop_read_workspace(hop_request *out, http_str value)
{
    char text[HOP_WORKSPACE_VALUE_SIZE];
    out->workspace = WORKSPACE_NONE;
    if (value.bytes == NULL) {
        return 0;
    }
    bool valid = http_str_copy(text, sizeof(text), value) &&
                 strspn(text, HOP_HEX_DIGITS) == value.length &&
                 sscanf(text, "%" SCNx32, &out->workspace) == 1;
    return valid && out->workspace != WORKSPACE_NONE ? 0 : ERR_INVALID;
}

/* Whether a header field is one of those that nodes attach. */
bool
hop_is_field(http_str name)
{
    return http_str_equals_nocase(name, HOP_HEADER) ||
           http_str_equals_nocase(name, HOP_WORKSPACE_HEADER);
}

/* Parses the value of a request's header field; ERR_INVALID if a part is
 * missing or out of range. */
int
hop_read_request(hop_request *out, http_str value)
{
    char text[HOP_VALUE_SIZE];
    int idempotent = 0;
    int flags = 0;
    int retry_permille = 0;
    int64_t rate = HOP_NOT_LIMITED;
    int weight_permille = HOP_PERMILLE;
    int levels_at = 0;
    *out = (hop_request){0};
    if (!http_str_copy(text, sizeof(text), value) ||
        sscanf(text,
               "%" SCNx64 " %" SCNx64 " %" SCNd64 " %" SCNd64
               " %d %d %d %d %" SCNx32 " %" SCNx32 " %d %d %95s %" SCNd64
               " %d%n",
               &out->config_version, &out->nonce, &out->time_left_us,
               &out->objective_us, &out->priority, &out->peer_port,
               &out->depth, &idempotent, &out->route, &out->origin, &flags,
               &retry_permille, out->instance, &rate, &weight_permille,
               &levels_at) < HOP_REQUEST_VALUES_MIN ||
        hop_read_levels(&out->levels, levels_at > 0 ? text + levels_at : "") <
            0) {
        return ERR_INVALID;
    }
    out->weight = (double)weight_permille / HOP_PERMILLE;
    out->idempotent = idempotent == 1;
    out->rate = hop_decode_rate(rate);
    out->rerouted = (flags & HOP_REROUTED) != 0;
    out->resent = (flags & HOP_RESENT) != 0;
    out->retry_probability = (double)retry_permille / HOP_PERMILLE;
    bool valid =
        out->time_left_us >= 0 && out->time_left_us <= HOP_DURATION_MAX_US &&
        out->objective_us > 0 && out->objective_us <= HOP_DURATION_MAX_US &&
        out->priority >= 0 && retry_permille >= 0 &&
        retry_permille <= HOP_PERMILLE && out->depth >= 0 &&
        out->peer_port > 0 && out->peer_port <= UINT16_MAX &&
        weight_permille > 0 && weight_permille <= HOP_WEIGHT_MAX_PERMILLE;
    return valid ? 0 : ERR_INVALID;
}

/* Returns what a call takes at an instance, in us, as the end of a response's
 * value states it; 0 if it doesn't, or the time is out of range. */
static int
hop_read_work_us(const char *text)
{
    const char *work = strstr(text, HOP_WORK);
    int64_t work_us = 0;
    if (work == NULL ||
        sscanf(work + strlen(HOP_WORK), "%" SCNd64, &work_us) != 1 ||
        work_us < 0 || work_us > INT32_MAX) {
        return 0;
    }
    return (int)work_us;
}

/* Appends the header line that accompanies a response. */
void
hop_write_response(bytebuf *out, const hop_response *response)
{
    const instance_load_report *r = &response->report;
    bytebuf_appendf(
        out,
        HOP_HEADER ": %d %d %d %" PRIx64 " %" PRIx64 " %d %d %d %d %d %" PRIx32
                   " %d %d %" PRIx64 " %d %" PRId64 " %" PRId64 " %d",
        (int)response->outcome, (int)response->reason, response->reached,
        response->config_version, response->incarnation, r->busy, r->limit,
        r->failures_permille, (int)r->state, (int)response->origin,
        response->chain_overload.service,
        (int)(response->chain_overload.factor * HOP_PERMILLE), r->call_us,
        response->nonce, r->no_retries, hop_encode_rate(&r->rate),
        (int64_t)MIN(response->chain_overload.cost_us, HOP_DURATION_MAX_US),
        (int)(response->own_level * HOP_PERMILLE));
    hop_write_levels(out, &response->levels, r->work_us);
}

/* Parses the value of a response's header field; ERR_INVALID if a part is
 * missing or out of range. */
int
hop_read_response(hop_response *out, http_str value)
{
    char text[HOP_VALUE_SIZE];
    int outcome = 0;
    int reason = 0;
    int reached = 0;
    int state = 0;
    int origin = 0;
    int overload_permille = 0;
    int no_retries = 0;
    int64_t rate = HOP_NOT_LIMITED;
    int64_t cost_us = 0;
    int level_permille = 0;
    int levels_at = 0;
    *out = (hop_response){0};
    instance_load_report *r = &out->report;
    if (!http_str_copy(text, sizeof(text), value)) {
        return ERR_INVALID;
    }
    int values =
        sscanf(text,
               "%d %d %d %" SCNx64 " %" SCNx64 " %d %d %d %d %d %" SCNx32
               " %d %d %" SCNx64 " %d %" SCNd64 " %" SCNd64 " %d%n",
               &outcome, &reason, &reached, &out->config_version,
               &out->incarnation, &r->busy, &r->limit, &r->failures_permille,
               &state, &origin, &out->chain_overload.service,
               &overload_permille, &r->call_us, &out->nonce, &no_retries,
               &rate, &cost_us, &level_permille, &levels_at);
    if (values < HOP_RESPONSE_VALUES_MIN ||
        hop_read_levels(&out->levels, levels_at > 0 ? text + levels_at : "") <
            0) {
        return ERR_INVALID;
    }
    bool valid = outcome >= OUTCOME_DONE && outcome <= OUTCOME_UNKNOWN &&
                 reason >= 0 && reason < REASON_COUNT && r->busy >= 0 &&
                 r->busy <= HOP_CALLS_MAX && r->limit >= 0 &&
                 r->limit <= HOP_CALLS_MAX && r->failures_permille >= 0 &&
                 r->failures_permille <= HOP_PERMILLE &&
                 overload_permille >= 0 && r->call_us >= 0 && cost_us >= 0 &&
                 cost_us <= HOP_DURATION_MAX_US && level_permille >= 0 &&
                 level_permille <= (int)(SERVICE_LEVEL_MAX * HOP_PERMILLE) &&
                 state >= INSTANCE_STARTING && state <= INSTANCE_GONE &&
                 origin >= ORIGIN_UNKNOWN && origin <= ORIGIN_INTERNAL;
    if (!valid) {
        return ERR_INVALID;
    }
    out->outcome = (enum outcome)outcome;
    out->reason = (enum reason)reason;
    r->no_retries = no_retries != 0;
    r->work_us = hop_read_work_us(text);
    r->rate = hop_decode_rate(rate);
    out->reached = reached != 0;
    r->state = (enum instance_state)state;
    out->origin = (enum origin_kind)origin;
    out->chain_overload.factor = (double)overload_permille / HOP_PERMILLE;
    out->chain_overload.cost_us = (double)cost_us;
    out->own_level = (double)level_permille / HOP_PERMILLE;
    return 0;
}
