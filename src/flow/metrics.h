/*
 * metrics: the node's counters, gauges and latency histogram in the Prometheus
 * text exposition format.
 */
#ifndef LAV_METRICS_H
#define LAV_METRICS_H

#include <stdint.h>

#include "http_server.h"

void metrics_observe_latency(int64_t took_us);
void metrics_handle_request(http_server_response *out,
                            const http_server_request *request, void *payload);

#endif
