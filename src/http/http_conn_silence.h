/*
 * http_conn_silence: ends a client connection whose peer acknowledges nothing,
 * and no other.  TCP_USER_TIMEOUT does so while the peer's window is open, but
 * ends the connection of a peer that answers with a closed window as well.
 * Once output has been pending for a while, the window is looked at; if it
 * holds output back, the option is switched off, and the connection lasts
 * until the peer stops answering.
 */
#ifndef LAV_HTTP_CONN_SILENCE_H
#define LAV_HTTP_CONN_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/* A connection is dead once sent data was unacknowledged for this long. */
#define HTTP_CONN_UNACKED_TIMEOUT_MS 1500

struct http_conn;

typedef struct http_conn_silence {
    int64_t pending_us; /* since when output may be pending; 0: none is */
    int64_t check_us;   /* when it is checked next; valid while pending */
    int64_t watched_us; /* since when it is watched here and no longer by
                         * TCP_USER_TIMEOUT; 0: not yet */
    int64_t asked_us;   /* when the peer was first seen to owe an answer since
                         * its last one; 0: it doesn't */
    bool asked_often;   /* the kernel asks the peer at least every second */
} http_conn_silence;

/* What the kernel tells of a connection; times are before now. */
typedef struct http_conn_silence_state {
    bool owes_answer; /* the peer hasn't acknowledged data or a probe */
    int64_t heard_us; /* since the peer's last segment */
} http_conn_silence_state;

void http_conn_silence_note_sent(struct http_conn *c);
void http_conn_silence_note_answered(struct http_conn *c);
bool http_conn_silence_is_dead(http_conn_silence *s,
                               const http_conn_silence_state *state,
                               int64_t now_us);
bool http_conn_silence_check(struct http_conn *c);

#endif
