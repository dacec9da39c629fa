/*
 * tcp_server: minimal HTTP server that closes connections at the moments at
 * which a client library may resend a request.
 */
#ifndef LAV_TCP_SERVER_H
#define LAV_TCP_SERVER_H

extern volatile int tcp_server_request_count; /* requests read so far */

/* Start the server: the first request gets a complete response on a persistent
 * connection; the following ones up to number `dropped_until` are read and
 * their connection closed without a response; later ones get a response.
 * "GET /cut" always gets half a response. */
void tcp_server_start(int port, int dropped_until);
void tcp_server_stop(void);

#endif
