/*
 * mtr: the node's counters and its histogram of latencies as text, in the exposition format that scrapers
 * of metrics read.
 */
#ifndef LAV_MTR_H
#define LAV_MTR_H

#include <stdint.h>

#include "http_server.h"

void mtr_served(int64_t took_us);
void mtr_on_request(http_server_response *out,
                    const http_server_request *request, void *payload);

#endif
