/*
 * mtr: the node's counters and its histogram of latencies as text, in the exposition format that scrapers
 * of metrics read.
 */
#ifndef LAV_METRICS_H
#define LAV_METRICS_H

#include <stdint.h>

#include "http_server.h"

void metrics_observe_latency(int64_t took_us);
void metrics_handle_request(http_server_response *out,
                            const http_server_request *request, void *payload);

#endif
