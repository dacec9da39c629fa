/*
 * response_server: reads one request on one connection and answers it with
 * bytes that may be no valid response, and may have no end.
 */
#ifndef LAV_RESPONSE_SERVER_H
#define LAV_RESPONSE_SERVER_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>

#include "broken_response.h"

typedef struct response_server {
    int listener;
    struct sockaddr_in address;
    const broken_response *response;
    const char *repeated; /* sent after it over and over; NULL: nothing */
    bool was_closed;      /* by the client, while that was sent */
    pthread_t thread;
} response_server;

void response_server_start(response_server *server,
                           const broken_response *response,
                           const char *repeated);
void response_server_stop(response_server *server);

#endif
