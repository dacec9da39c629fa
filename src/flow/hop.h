/*
 * hop: what nodes tell each other beside a forwarded request and its answer,
 * as the value of one header field each way.  Input from another node is
 * checked like any other.
 */
#ifndef LAV_HOP_H
#define LAV_HOP_H

#include <stdbool.h>
#include <stdint.h>

#include "bytebuf.h"
#include "http_head.h"
#include "lav/downstream.h"
#include "lav/instance.h"
#include "lav/reason.h"

#define HOP_HEADER "Lav-Hop"

/* With a request. */
typedef struct hop_request {
    uint64_t config_version; /* that the sender routed by */
    uint64_t nonce;          /* of this attempt */
    int64_t time_left_us;    /* until the caller stops waiting */
    int64_t objective_us;
    int priority;
    int peer_port;   /* of the sender, host byte order */
    int depth;       /* 0: an outside caller's, 1: of a target */
    uint32_t route;  /* key of its route */
    uint32_t origin; /* hash of the service where it came from */
    bool moved;      /* another node has refused it before */
    double repeat;   /* probability that it is a repeat at the target */
    bool idempotent;
    char instance[INSTANCE_NAME_SIZE]; /* that is to run it */
} hop_request;

/* With an answer. */
typedef struct hop_response {
    enum outcome outcome;
    enum reason reason;
    bool reached; /* the request was sent to the target */
    uint64_t config_version;
    uint64_t incarnation; /* of the answering node */
    instance_load_report report;
    enum origin_kind origin; /* of the requests on the route */
    downstream_overload
        chain_overload; /* the worst overload on the chain of the route */
} hop_response;

void hop_write_request(bytebuf *out, const hop_request *ask);
int hop_read_request(hop_request *out, http_str value);
void hop_write_response(bytebuf *out, const hop_response *reply);
int hop_read_response(hop_response *out, http_str value);

#endif
