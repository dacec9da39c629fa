/*
 * peer_server_private: the state of a forwarded request (peer_server_request),
 * shared by the sources that serve it (peer_server) and that retain its
 * response after its connection broke (peer_server_claim).
 */
#ifndef LAV_PEER_SERVER_PRIVATE_H
#define LAV_PEER_SERVER_PRIVATE_H

#include "hop.h"
#include "local_target.h"
#include "peer_server.h"
#include "server_conn.h"

/* 0.3 s after the caller's deadline, at which the connection is closed; the
 * forwarding node ends the attempt earlier. */
#define PEER_SERVER_DEADLINE_GRACE_US 300000

/* A response received while no peer is connected for it. */
typedef struct peer_server_saved_response {
    bool head_received;
    bool complete;
    int status;
    bytebuf fields;
    enum http_conn_framing framing;
    int64_t length;
    bytebuf body;
} peer_server_saved_response;

typedef struct peer_server_request {
    runtime *n;
    server_conn *s; /* NULL: the connection broke; the response is claimable */
    attempt_request r;
    hop_request hop;
    local_target_call *call;
    bool response_started; /* the head was written, or saved */
    peer_server_saved_response saved;
    bool failed; /* while the connection was broken */
    attempt_failure failure;
    ev_timer claim_timer; /* runs while the connection is broken */
} peer_server_request;

bool peer_server_skip_field(http_str name, void *payload);
peer_server_request *peer_server_request_new(server_conn *s,
                                             const http_head *head,
                                             const hop_request *hop);
void peer_server_request_free(peer_server_request *q);
void peer_server_finish_request(peer_server_request *q);
void peer_server_refuse_request(peer_server_request *q,
                                const attempt_failure *failure);
void peer_server_write_hop_header(runtime *n, const hop_request *hop,
                                  bytebuf *fields, enum outcome outcome,
                                  enum reason reason, bool reached);
void peer_server_write_failure(server_conn *s, const hop_request *hop,
                               const attempt_failure *failure);
bool peer_server_retain_request(peer_server_request *q);
void peer_server_buffer_body(peer_server_request *q, const char *bytes,
                             size_t length);
void peer_server_claim_response(server_conn *s, uint64_t nonce);

#endif
