#include <http_parser.h>
#include <stdlib.h>

#include "http_async.h"
#include "lav/counter.h"
#include "lav/id.h"
#include "lav/log.h"
#include "peer_sync.h"
#include "record_json.h"
#include "usage_gate_private.h"
#include "usage_message.h"

/* Time for the answer to a message. */
#define USAGE_GATE_TIMEOUT_US 250000

/* A message under way. */
typedef struct usage_gate_call {
    usage_gate *gate;
    usage_message message;
} usage_gate_call;

/* Fetches the state of a node whose desired state is newer. */
static void
usage_gate_compare_version(usage_gate *gate, uint64_t member, uint64_t version)
{
    runtime *n = gate->n;
    if (version <= runtime_config_version(n)) {
        return;
    }
    const instance_record *record = instance_get(
        n->fleet, instance_find(n->fleet, usage_gate_node_name(gate, member)));
    if (record != NULL) {
        struct sockaddr_in from = record_json_address(record);
        peer_sync_fetch_state(n, &from);
    }
}

/* Handles an answer, and goes on with the slot. */
static void
usage_gate_answered(usage_gate *gate, const usage_message *message,
                    const usage_answer *answer)
{
    int slot = message->ask.slot;
    int64_t now_us = gate->n->l->now_us;
    usage_share_answered(gate->share, message, answer, now_us);
    if (message->kind == USAGE_MESSAGE_ASK) {
        gate->versions[slot] = answer->version;
        gate->answered_us[slot] = now_us;
    }
    usage_gate_note_owner(gate, slot);
    usage_gate_settle(gate, slot);
    usage_gate_send(gate, slot);
}

/* Handles the response to a message. */
static void
usage_gate_on_response(const http_async_response *response, void *payload)
{
    usage_gate_call *call = payload;
    usage_gate *gate = call->gate;
    usage_answer answer;
    bool read = response->result == HTTP_ASYNC_COMPLETE &&
                response->status == HTTP_STATUS_OK &&
                usage_message_read_answer(&answer, response->body,
                                          response->length) == 0;
    if (read) {
        usage_gate_compare_version(gate, call->message.to, answer.version);
        usage_gate_answered(gate, &call->message, &answer);
    }
    else {
        int slot = call->message.ask.slot;
        gate->failed++;
        if (log_allow_line("usage_unanswered", USAGE_GATE_LINES_PER_S)) {
            log_event(LOG_WARN, "usage_unanswered", NULL, "{s:i,s:s,s:i,s:b}",
                      "slot", slot, "node",
                      usage_gate_node_name(gate, call->message.to), "status",
                      response->status, "sent",
                      response->result != HTTP_ASYNC_NOT_SENT);
        }
        usage_share_failed(gate->share, &call->message,
                           response->result != HTTP_ASYNC_NOT_SENT,
                           gate->n->l->now_us);
        usage_gate_settle(gate, slot);
        usage_gate_send(gate, slot);
    }
    free(call);
}

/* Sends a message to another node; false if it can't be sent. */
static bool
usage_gate_send_message(usage_gate_call *call)
{
    usage_gate *gate = call->gate;
    runtime *n = gate->n;
    const instance_record *record = instance_get(
        n->fleet,
        instance_find(n->fleet, usage_gate_node_name(gate, call->message.to)));
    if (record == NULL) {
        return false;
    }
    bytebuf path = {0};
    struct sockaddr_in to = record_json_address(record);
    usage_message_write_ask(&path, &call->message.ask);
    bytebuf_append(&path, "", 1);
    http_async_options opts = {.method = "GET",
                               .path = bytebuf_data(&path),
                               .timeout_us = USAGE_GATE_TIMEOUT_US};
    int result = http_async_start(NULL, n->pool, n->l, &to, &opts,
                                  usage_gate_on_response, call);
    bytebuf_clear(&path);
    gate->sent++;
    return result == 0;
}

/* Sends the messages that are due for a slot.  Those to this node itself are
 * handled at once. */
void
usage_gate_send(usage_gate *gate, int slot)
{
    int64_t now_us = gate->n->l->now_us;
    uint64_t self = id_hash(gate->n->self.node);
    for (;;) {
        usage_gate_call *call = calloc(1, sizeof(*call));
        if (call == NULL ||
            !usage_share_poll(&call->message, gate->share, slot, now_us)) {
            free(call);
            return;
        }
        call->gate = gate;
        call->message.ask.version = runtime_config_version(gate->n);
        if (call->message.to == self) {
            usage_answer answer;
            usage_owner_handle(&answer, gate->owner, &call->message.ask,
                               usage_share_members(gate->share), now_us);
            answer.version = call->message.ask.version;
            usage_gate_answered(gate, &call->message, &answer);
            free(call);
            return;
        }
        if (!usage_gate_send_message(call)) {
            usage_share_failed(gate->share, &call->message, false, now_us);
            free(call);
            return; /* the timer goes on */
        }
    }
}

/* Handles the message in the path of a query.  Returns the answer as JSON
 * text, which the caller frees; NULL if the message is not valid. */
char *
usage_gate_handle_query(usage_gate *gate, http_str path)
{
    usage_ask ask;
    usage_answer answer;
    if (usage_message_read_ask(&ask, path) < 0) {
        counter_add_reason(REASON_BAD_MESSAGE);
        return NULL;
    }
    usage_gate_check_clock(gate);
    usage_gate_compare_version(gate, ask.lender, ask.version);
    usage_owner_handle(&answer, gate->owner, &ask,
                       usage_share_members(gate->share), gate->n->l->now_us);
    answer.version = runtime_config_version(gate->n);
    return usage_message_write_answer(&answer);
}
