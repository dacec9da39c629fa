#include "http_conn_silence.h"

#include <linux/tcp.h>
#include <stddef.h>
#include <sys/socket.h>

#include "http_conn_private.h"
#include "lav/clock.h"

#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44 /* socket option, since Linux 6.15 */
#endif

/* From the first output to the first check; most requests are answered. */
#define HTTP_CONN_SILENCE_FIRST_CHECK_US 400000
#define HTTP_CONN_SILENCE_CHECK_PERIOD_US 200000 /* between later checks */

/* Least time for which a peer must be seen to owe an answer. */
#define HTTP_CONN_SILENCE_ASKED_MIN_US 400000

/* Longest time between probes of a closed window, and between retransmissions:
 * the least that the kernel accepts. */
#define HTTP_CONN_SILENCE_PROBE_PERIOD_MAX_MS 1000

#define HTTP_CONN_SILENCE_TIMEOUT_US                                          \
    (HTTP_CONN_UNACKED_TIMEOUT_MS * CLOCK_US_PER_MS)

/* Output was written to the socket of a client connection. */
void
http_conn_silence_note_sent(http_conn *c)
{
    http_conn_silence *s = &c->silence;
    if (s->pending_us == 0 && c->parser.type == HTTP_RESPONSE) {
        s->pending_us = c->l->now_us;
        s->check_us = c->l->now_us + HTTP_CONN_SILENCE_FIRST_CHECK_US;
    }
}

/* The response to all output is complete. */
void
http_conn_silence_note_answered(http_conn *c)
{
    if (bytebuf_length(&c->out) == 0) {
        c->silence.pending_us = 0;
    }
}

/* Decide whether the peer of a watched connection is dead.  Where the kernel
 * asks it ever more rarely, the time between two probes is at most as long as
 * the connection had been watched when the peer was last heard. */
bool
http_conn_silence_is_dead(http_conn_silence *s,
                          const http_conn_silence_state *state, int64_t now_us)
{
    int64_t heard_at_us = now_us - state->heard_us;
    int64_t allowed_us = HTTP_CONN_SILENCE_TIMEOUT_US;
    if (!state->owes_answer) {
        s->asked_us = 0;
        return false;
    }
    if (s->asked_us == 0 || heard_at_us > s->asked_us) {
        s->asked_us = now_us;
    }
    if (!s->asked_often && heard_at_us > s->watched_us) {
        allowed_us += heard_at_us - s->watched_us;
    }
    return now_us - s->asked_us >= HTTP_CONN_SILENCE_ASKED_MIN_US &&
           now_us - s->pending_us >= HTTP_CONN_SILENCE_TIMEOUT_US &&
           state->heard_us >= allowed_us;
}

/* Take a connection over from TCP_USER_TIMEOUT, which also bounds keep-alive
 * probes: one instead of two lets an idle peer that died be noticed as soon as
 * before.  It isn't reused, as the kernel may count the time of this closed
 * window to a later one.  Without the new options it works on, only less
 * promptly; if the old one can't be unset, nothing changes. */
static void
http_conn_silence_take_over(http_conn *c)
{
    int none = 0;
    int probes = 1;
    int period_ms = HTTP_CONN_SILENCE_PROBE_PERIOD_MAX_MS;
    if (setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &none, sizeof(none)) <
        0) {
        return;
    }
    (void)setsockopt(c->fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    c->silence.asked_often = setsockopt(c->fd, IPPROTO_TCP, TCP_RTO_MAX_MS,
                                        &period_ms, sizeof(period_ms)) == 0;
    c->silence.watched_us = c->l->now_us;
    c->not_reusable = true;
}

/* Check a connection if that is due; returns whether its peer is dead. */
bool
http_conn_silence_check(http_conn *c)
{
    http_conn_silence *s = &c->silence;
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (s->pending_us == 0 || c->l->now_us < s->check_us || c->fd < 0) {
        return false;
    }
    s->check_us = c->l->now_us + HTTP_CONN_SILENCE_CHECK_PERIOD_US;
    if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0 ||
        size < offsetof(struct tcp_info, tcpi_snd_wnd) +
                   sizeof(info.tcpi_snd_wnd)) {
        s->pending_us = 0; /* left to TCP_USER_TIMEOUT */
        return false;
    }
    if (info.tcpi_unacked == 0 && info.tcpi_notsent_bytes == 0) {
        s->pending_us = 0;
        s->asked_us = 0;
        return false;
    }
    bool window_holds_back = info.tcpi_unacked == 0 || info.tcpi_snd_wnd == 0;
    if (s->watched_us == 0 && window_holds_back) {
        http_conn_silence_take_over(c);
    }
    if (s->watched_us == 0) {
        return false;
    }
    uint32_t heard_ms = info.tcpi_last_ack_recv < info.tcpi_last_data_recv
                            ? info.tcpi_last_ack_recv
                            : info.tcpi_last_data_recv;
    http_conn_silence_state state = {
        .owes_answer = info.tcpi_unacked > 0 || info.tcpi_probes > 0,
        .heard_us = (int64_t)heard_ms * CLOCK_US_PER_MS};
    return http_conn_silence_is_dead(s, &state, c->l->now_us);
}
