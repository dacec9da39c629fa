#ifndef LAV_PEER_SERVER_PRIVATE_H
#define LAV_PEER_SERVER_PRIVATE_H

#include "hop.h"
#include "local_target.h"
#include "peer_server.h"
#include "server_conn.h"

#define PEER_SERVER_DEADLINE_GRACE_US                                         \
    300000 /* 0.3 s that an attempt may outlast its caller's wait: its node
            * ends it before */

/* An answer that came while the hop was broken. */
typedef struct peer_server_saved_response {
    bool begun; /* its head has come */
    bool done;  /* all of it has */
    int status;
    bytebuf fields;
    enum http_conn_framing framing;
    int64_t length;
    bytebuf body;
} peer_server_saved_response;

typedef struct peer_server_request {
    runtime *n;
    server_conn *s; /* NULL: the hop broke, and the answer may be claimed */
    attempt_request r;
    hop_request ask;
    local_target_call *call;
    bool answered; /* the head was written, or is kept */
    peer_server_saved_response kept;
    bool failed; /* while the hop was broken */
    attempt_failure failure;
    ev_timer forget; /* runs while the hop is broken */
} peer_server_request;

void peer_server_free(peer_server_request *q);
void peer_server_finish_request(peer_server_request *q);
void peer_server_refuse_request(peer_server_request *q,
                                const attempt_failure *failure);
void peer_server_write_failure(server_conn *s, uint32_t route,
                               const attempt_failure *failure);
bool peer_server_retain_request(peer_server_request *q);
void peer_server_buffer_body(peer_server_request *q, const char *bytes,
                             size_t length);
void peer_server_claim_response(server_conn *s, uint64_t nonce);

#endif
