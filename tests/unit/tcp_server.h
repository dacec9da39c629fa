/*
 * tcp_server: answers HTTP by hand, so that a test can close a connection
 * at the moment that a library gets wrong.
 */
#ifndef LAV_TCP_SERVER_H
#define LAV_TCP_SERVER_H

extern volatile int tcp_server_request_count; /* requests read so far */

/* Answer the first request whole ("/cut": half of it) and keep the
 * connection; take the second on it and close; answer the `answered`-th. */
void tcp_server_start(int port, int answered);
void tcp_server_stop(void);

#endif
