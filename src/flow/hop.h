/*
 * hop: the header fields that nodes attach to a forwarded request and to its
 * response, with routing data one way and the outcome and a load report the
 * other way.  Values from other nodes are validated like any other input.
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
#include "lav/service_level.h"
#include "lav/workspace.h"

#define HOP_HEADER "Lav-Hop"

/* Id of the caller's workspace, with a request of one. */
#define HOP_WORKSPACE_HEADER "Lav-Workspace"

/* Admission levels passed on with a request or a response, at most. */
#define HOP_LEVELS_MAX 2

/* Admission levels that the sender knows. */
typedef struct hop_levels {
    service_level_report list[HOP_LEVELS_MAX];
    int count;
} hop_levels;

/* Sent with a forwarded request. */
typedef struct hop_request {
    uint64_t config_version; /* that the sender routed by */
    uint64_t nonce;          /* identifies the attempt */
    int64_t time_left_us;    /* until the caller stops waiting */
    int64_t objective_us;
    int priority;
    int peer_port;   /* of the sender, in host byte order */
    int depth;       /* 0: external request, 1: internal request */
    uint32_t route;  /* key of the route */
    uint32_t origin; /* hash of the service of the node that it entered by */
    bool rerouted;   /* another node refused it before */
    bool resent;     /* the same target refused it before */
    double retry_probability; /* probability that it is a retry */
    bool idempotent;
    char instance[INSTANCE_NAME_SIZE]; /* the only one that may run it */
    instance_rate rate; /* that the instance has named, to the sender */
    double weight;      /* the demand that it stands for */
    hop_levels levels;
    uint32_t workspace; /* id, or WORKSPACE_NONE */
} hop_request;

/* Sent with the response. */
typedef struct hop_response {
    enum outcome outcome;
    enum reason reason;
    bool reached; /* the request was sent to the target */
    uint64_t config_version;
    uint64_t incarnation; /* of the responding node */
    instance_load_report report;
    enum origin_kind origin; /* of the requests on the route */
    downstream_overload
        chain_overload; /* worst overload on the route's call chain */
    uint64_t nonce;     /* of the attempt; 0: from an older node */
    double own_level;   /* that the target measures; 0: an older node */
    hop_levels levels;  /* of other services */
} hop_response;

void hop_write_request(bytebuf *out, const hop_request *request);
int hop_read_request(hop_request *out, http_str value);
int hop_read_workspace(hop_request *out, http_str value);
bool hop_is_field(http_str name);
void hop_write_response(bytebuf *out, const hop_response *response);
int hop_read_response(hop_response *out, http_str value);

#endif
