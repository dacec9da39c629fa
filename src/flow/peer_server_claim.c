#include "lav/clock.h"
#include "lav/counter.h"
#include "peer_server_private.h"

/* 0.3 s; a run may outlast its caller by at most half a second, and the peer
 * claims the response within one round trip. */
#define PEER_SERVER_CLAIM_TIMEOUT_S 0.3

/* Largest response body that is saved for a claim. */
#define PEER_SERVER_SAVED_BODY_BYTES_MAX 65536

/* Cancels a retained request that was not claimed in time. */
static void
peer_server_on_claim_timeout(struct ev_loop *loop, ev_timer *watcher,
                             int events)
{
    (void)loop;
    (void)events;
    peer_server_request *q = watcher->data;
    evloop_update_now(q->n->l);
    counter_add_reason(REASON_CANCELLED);
    if (q->call != NULL) {
        local_target_cancel_call(q->call);
    }
    peer_server_request_free(q);
}

/* Retains a request whose connection was reset for
 * PEER_SERVER_CLAIM_TIMEOUT_S, so that the peer can claim its response.
 * Returns false if it cannot be claimed: it is not running, its response has
 * started, or its body is incomplete. */
bool
peer_server_retain_request(peer_server_request *q)
{
    if (q->call == NULL || q->response_started || !q->r.body_complete) {
        return false;
    }
    q->s = NULL;
    ev_timer_init(&q->claim_timer, peer_server_on_claim_timeout,
                  PEER_SERVER_CLAIM_TIMEOUT_S, 0.);
    q->claim_timer.data = q;
    ev_timer_start(q->n->l->loop, &q->claim_timer);
    return true;
}

/* Saves a part of the response while the connection is broken.  A request
 * whose response grows too large is cancelled. */
void
peer_server_buffer_body(peer_server_request *q, const char *bytes,
                        size_t length)
{
    bytebuf_append(&q->saved.body, bytes, length);
    if (bytebuf_length(&q->saved.body) > PEER_SERVER_SAVED_BODY_BYTES_MAX) {
        local_target_cancel_call(q->call);
        peer_server_request_free(q);
    }
}

/* Continues a retained request on the connection that claimed its response. */
static void
peer_server_resume_request(peer_server_request *q, server_conn *s)
{
    server_conn *broken = q->s;
    if (broken != NULL) { /* its reset was not noticed yet */
        broken->request = NULL;
        http_conn_reset(broken->c);
    }
    ev_timer_stop(q->n->l->loop, &q->claim_timer);
    q->s = s;
    s->request = q;
    http_conn_set_deadline(s->c,
                           q->r.deadline_us + PEER_SERVER_DEADLINE_GRACE_US);
    if (q->failed) {
        peer_server_refuse_request(q, &q->failure);
        return;
    }
    if (q->saved.head_received) {
        server_conn_write_head(s, q->saved.status, &q->saved.fields,
                               q->saved.framing, q->saved.length);
        server_conn_write_body(s, bytebuf_data(&q->saved.body),
                               bytebuf_length(&q->saved.body));
    }
    if (q->saved.complete) {
        peer_server_finish_request(q);
    }
}

/* Handles a peer's claim of the response to an attempt whose connection broke.
 * An attempt that has not arrived here is refused from now on. */
void
peer_server_claim_response(server_conn *s, uint64_t nonce)
{
    runtime *n = s->n;
    peer_server_request *q = g_hash_table_lookup(n->peer_requests, &nonce);
    bool unclaimable = q != NULL && q->s != NULL && q->response_started;
    if (q != NULL && !unclaimable && q->r.body_complete) {
        peer_server_resume_request(q, s);
        return;
    }
    bool not_run = q == NULL && local_target_revoke_attempt(n->local, nonce);
    attempt_failure failure = {not_run ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
                               not_run ? REASON_PEER_UNREACHABLE
                                       : REASON_REPLY_LOST,
                               !not_run, false, INSTANCE_NONE};
    hop_request hop = {.nonce = nonce};
    peer_server_write_failure(s, &hop, &failure);
    server_conn_end_response(s);
}
