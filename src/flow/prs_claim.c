#include "lav/clock.h"
#include "lav/counter.h"
#include "prs_private.h"

#define PRS_KEEP_S                                                            \
    0.3 /* a run may outlast its caller by half a second, and the other node
         * claims the answer within one round trip */
#define PRS_KEEP_MAX 65536 /* bytes of a kept answer */

static void
prs_on_forget(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    prs_request *q = watcher->data;
    evloop_update_now(q->n->l);
    counter_add_reason(REASON_CANCELLED);
    if (q->call != NULL) {
        lcl_cancel(q->call);
    }
    prs_free(q);
}

/* The connection that a request came on was reset: let it run on for a
 * moment, so that the other node can claim its answer.  False where that is
 * of no use. */
bool
prs_keep(prs_request *q)
{
    if (q->call == NULL || q->answered || !q->r.body_complete) {
        return false;
    }
    q->s = NULL;
    ev_timer_init(&q->forget, prs_on_forget, PRS_KEEP_S, 0.);
    q->forget.data = q;
    ev_timer_start(q->n->l->loop, &q->forget);
    return true;
}

/* A piece of the answer came while the hop is broken; one that grows large
 * is given up. */
void
prs_keep_body(prs_request *q, const char *bytes, size_t length)
{
    bytebuf_append(&q->kept.body, bytes, length);
    if (bytebuf_length(&q->kept.body) > PRS_KEEP_MAX) {
        lcl_cancel(q->call);
        prs_free(q);
    }
}

static void
prs_attach(prs_request *q, rsp *s)
{
    rsp *broken = q->s;
    if (broken != NULL) { /* its reset has not been noticed here yet */
        broken->request = NULL;
        http_conn_reset(broken->c);
    }
    ev_timer_stop(q->n->l->loop, &q->forget);
    q->s = s;
    s->request = q;
    http_conn_set_deadline(s->c, q->r.deadline_us + PRS_LATE_US);
    if (q->failed) {
        prs_refuse(q, &q->failure);
        return;
    }
    if (q->kept.begun) {
        rsp_head(s, q->kept.status, &q->kept.fields, q->kept.framing,
                 q->kept.length);
        rsp_body(s, bytebuf_data(&q->kept.body),
                 bytebuf_length(&q->kept.body));
    }
    if (q->kept.done) {
        prs_finish(q);
    }
}

/* Another node claims the answer to a request whose hop broke.  One that has
 * not come here never runs from now on. */
void
prs_claim(rsp *s, uint64_t nonce)
{
    nod *n = s->n;
    prs_request *q = g_hash_table_lookup(n->claims, &nonce);
    bool lost = q != NULL && q->s != NULL && q->answered;
    if (q != NULL && !lost && q->r.body_complete) {
        prs_attach(q, s);
        return;
    }
    bool never = q == NULL && lcl_never_runs(n->local, nonce);
    att_failure failure = {never ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
                           never ? REASON_PEER_UNREACHABLE : REASON_REPLY_LOST,
                           !never, false, INSTANCE_NONE};
    prs_fail(s, 0, &failure);
    rsp_end(s);
}
