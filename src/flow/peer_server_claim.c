#include "lav/clock.h"
#include "lav/counter.h"
#include "peer_server_private.h"

#define PEER_SERVER_KEEP_S                                                    \
    0.3 /* a run may outlast its caller by half a second, and the other node
         * claims the answer within one round trip */
#define PEER_SERVER_KEEP_MAX 65536 /* bytes of a kept answer */

static void
peer_server_on_forget(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    peer_server_request *q = watcher->data;
    evloop_update_now(q->n->l);
    counter_add_reason(REASON_CANCELLED);
    if (q->call != NULL) {
        local_target_cancel_call(q->call);
    }
    peer_server_free(q);
}

/* The connection that a request came on was reset: let it run on for a
 * moment, so that the other node can claim its answer.  False where that is
 * of no use. */
bool
peer_server_retain_request(peer_server_request *q)
{
    if (q->call == NULL || q->answered || !q->r.body_complete) {
        return false;
    }
    q->s = NULL;
    ev_timer_init(&q->forget, peer_server_on_forget, PEER_SERVER_KEEP_S, 0.);
    q->forget.data = q;
    ev_timer_start(q->n->l->loop, &q->forget);
    return true;
}

/* A piece of the answer came while the hop is broken; one that grows large
 * is given up. */
void
peer_server_buffer_body(peer_server_request *q, const char *bytes,
                        size_t length)
{
    bytebuf_append(&q->kept.body, bytes, length);
    if (bytebuf_length(&q->kept.body) > PEER_SERVER_KEEP_MAX) {
        local_target_cancel_call(q->call);
        peer_server_free(q);
    }
}

static void
peer_server_attach(peer_server_request *q, server_conn *s)
{
    server_conn *broken = q->s;
    if (broken != NULL) { /* its reset has not been noticed here yet */
        broken->request = NULL;
        http_conn_reset(broken->c);
    }
    ev_timer_stop(q->n->l->loop, &q->forget);
    q->s = s;
    s->request = q;
    http_conn_set_deadline(s->c,
                           q->r.deadline_us + PEER_SERVER_DEADLINE_GRACE_US);
    if (q->failed) {
        peer_server_refuse_request(q, &q->failure);
        return;
    }
    if (q->kept.begun) {
        server_conn_write_head(s, q->kept.status, &q->kept.fields,
                               q->kept.framing, q->kept.length);
        server_conn_write_body(s, bytebuf_data(&q->kept.body),
                               bytebuf_length(&q->kept.body));
    }
    if (q->kept.done) {
        peer_server_finish_request(q);
    }
}

/* Another node claims the answer to a request whose hop broke.  One that has
 * not come here never runs from now on. */
void
peer_server_claim_response(server_conn *s, uint64_t nonce)
{
    runtime *n = s->n;
    peer_server_request *q = g_hash_table_lookup(n->claims, &nonce);
    bool lost = q != NULL && q->s != NULL && q->answered;
    if (q != NULL && !lost && q->r.body_complete) {
        peer_server_attach(q, s);
        return;
    }
    bool never = q == NULL && local_target_revoke_attempt(n->local, nonce);
    attempt_failure failure = {never ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
                               never ? REASON_PEER_UNREACHABLE
                                     : REASON_REPLY_LOST,
                               !never, false, INSTANCE_NONE};
    peer_server_write_failure(s, 0, &failure);
    server_conn_end_response(s);
}
