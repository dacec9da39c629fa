#include "hop.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "lav/err.h"

#define HOP_VALUE_SIZE 256 /* bytes of a field's value, with the NUL */
#define HOP_ASK_ITEMS 13
#define HOP_REPLY_ITEMS 13
#define HOP_PERMILLE 1000
#define HOP_LIMIT_MAX 1000000        /* calls; more is taken for a fault */
#define HOP_SPAN_MAX_US 3600000000LL /* 1 h; ditto */

/* Append the field that goes with a request. */
void
hop_write_request(bytebuf *out, const hop_request *ask)
{
    bytebuf_appendf(
        out,
        HOP_HEADER ": %" PRIx64 " %" PRIx64 " %" PRId64 " %" PRId64
                   " %d %d %d %d %" PRIx32 " %" PRIx32 " %d %d %s\r\n",
        ask->config_version, ask->nonce, ask->time_left_us, ask->objective_us,
        ask->priority, ask->peer_port, ask->depth, ask->idempotent, ask->route,
        ask->origin, ask->moved, (int)(ask->repeat * HOP_PERMILLE),
        ask->instance);
}

/* Read it; ERR_INVALID where a part is missing or out of range. */
int
hop_read_request(hop_request *out, http_str value)
{
    char text[HOP_VALUE_SIZE];
    int idempotent = 0;
    int moved = 0;
    int repeat_permille = 0;
    *out = (hop_request){0};
    if (!http_str_copy(text, sizeof(text), value) ||
        sscanf(text,
               "%" SCNx64 " %" SCNx64 " %" SCNd64 " %" SCNd64
               " %d %d %d %d %" SCNx32 " %" SCNx32 " %d %d %95s",
               &out->config_version, &out->nonce, &out->time_left_us,
               &out->objective_us, &out->priority, &out->peer_port,
               &out->depth, &idempotent, &out->route, &out->origin, &moved,
               &repeat_permille, out->instance) != HOP_ASK_ITEMS) {
        return ERR_INVALID;
    }
    out->idempotent = idempotent == 1;
    out->moved = moved == 1;
    out->repeat = (double)repeat_permille / HOP_PERMILLE;
    bool sound =
        out->time_left_us >= 0 && out->time_left_us <= HOP_SPAN_MAX_US &&
        out->objective_us > 0 && out->objective_us <= HOP_SPAN_MAX_US &&
        out->priority >= 0 && repeat_permille >= 0 &&
        repeat_permille <= HOP_PERMILLE && out->depth >= 0 &&
        out->peer_port > 0 && out->peer_port <= UINT16_MAX;
    return sound ? 0 : ERR_INVALID;
}

/* Append the field that goes with an answer. */
void
hop_write_response(bytebuf *out, const hop_response *reply)
{
    const instance_load_report *r = &reply->report;
    bytebuf_appendf(out,
                    HOP_HEADER ": %d %d %d %" PRIx64 " %" PRIx64
                               " %d %d %d %d %d %" PRIx32 " %d %d\r\n",
                    (int)reply->outcome, (int)reply->reason, reply->reached,
                    reply->config_version, reply->incarnation, r->busy,
                    r->limit, r->failures_permille, (int)r->state,
                    (int)reply->origin, reply->chain_overload.service,
                    (int)(reply->chain_overload.factor * HOP_PERMILLE),
                    r->call_us);
}

/* Read it; ERR_INVALID where a part is missing or out of range. */
int
hop_read_response(hop_response *out, http_str value)
{
    char text[HOP_VALUE_SIZE];
    int outcome = 0;
    int reason = 0;
    int reached = 0;
    int state = 0;
    int origin = 0;
    int strain_permille = 0;
    *out = (hop_response){0};
    instance_load_report *r = &out->report;
    if (!http_str_copy(text, sizeof(text), value) ||
        sscanf(text,
               "%d %d %d %" SCNx64 " %" SCNx64 " %d %d %d %d %d %" SCNx32
               " %d %d",
               &outcome, &reason, &reached, &out->config_version,
               &out->incarnation, &r->busy, &r->limit, &r->failures_permille,
               &state, &origin, &out->chain_overload.service, &strain_permille,
               &r->call_us) != HOP_REPLY_ITEMS) {
        return ERR_INVALID;
    }
    bool sound = outcome >= OUTCOME_DONE && outcome <= OUTCOME_UNKNOWN &&
                 reason >= 0 && reason < REASON_COUNT && r->busy >= 0 &&
                 r->busy <= HOP_LIMIT_MAX && r->limit >= 0 &&
                 r->limit <= HOP_LIMIT_MAX && r->failures_permille >= 0 &&
                 r->failures_permille <= HOP_PERMILLE &&
                 strain_permille >= 0 && r->call_us >= 0 &&
                 state >= INSTANCE_STARTING && state <= INSTANCE_GONE &&
                 origin >= ORIGIN_UNKNOWN && origin <= ORIGIN_INTERNAL;
    if (!sound) {
        return ERR_INVALID;
    }
    out->outcome = (enum outcome)outcome;
    out->reason = (enum reason)reason;
    out->reached = reached != 0;
    r->state = (enum instance_state)state;
    out->origin = (enum origin_kind)origin;
    out->chain_overload.factor = (double)strain_permille / HOP_PERMILLE;
    return 0;
}
