#include "response_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lav/clock.h"

#define RESPONSE_SERVER_PIECE_SIZE 16384
#define RESPONSE_SERVER_REPEAT_MAX_US (15 * CLOCK_US_PER_S)

/* Send `repeated` until the client closes the connection, or for
 * RESPONSE_SERVER_REPEAT_MAX_US; whether the client closed it. */
static bool
response_server_repeat(int fd, const char *repeated)
{
    static const struct timeval limit = {1, 0};
    int64_t end_us = clock_now_us() + RESPONSE_SERVER_REPEAT_MAX_US;
    char piece[RESPONSE_SERVER_PIECE_SIZE];
    size_t unit = strlen(repeated);
    size_t length = sizeof(piece) / unit * unit;
    size_t sent = 0;
    for (size_t at = 0; at < length; at += unit) {
        memcpy(piece + at, repeated, unit);
    }
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    while (clock_now_us() < end_us) {
        ssize_t count = send(fd, piece + sent, length - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            return true;
        }
        sent = count < 0 ? sent : (sent + (size_t)count) % length;
    }
    return false;
}

/* Serve one connection. */
static void *
response_server_main(void *payload)
{
    response_server *server = payload;
    char request[1024] = "";
    size_t length = 0;
    int fd = accept(server->listener, NULL, NULL);
    while (strstr(request, "\r\n\r\n") == NULL) {
        ssize_t got =
            recv(fd, request + length, sizeof(request) - 1 - length, 0);
        if (got <= 0) {
            break;
        }
        length += (size_t)got;
        request[length] = '\0';
    }
    broken_response_send(fd, server->response, "");
    if (server->repeated != NULL) {
        server->was_closed = response_server_repeat(fd, server->repeated);
    }
    close(fd);
    return NULL;
}

/* Listen on a free loopback port; aborts when that fails. */
void
response_server_start(response_server *server, const broken_response *response,
                      const char *repeated)
{
    struct sockaddr *address = (struct sockaddr *)&server->address;
    socklen_t size = sizeof(server->address);
    server->response = response;
    server->repeated = repeated;
    server->was_closed = false;
    server->address = (struct sockaddr_in){
        .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    if (bind(server->listener, address, size) < 0 ||
        listen(server->listener, 1) < 0 ||
        getsockname(server->listener, address, &size) < 0 ||
        pthread_create(&server->thread, NULL, response_server_main, server) !=
            0) {
        abort();
    }
}

/* Wait until the connection was served. */
void
response_server_stop(response_server *server)
{
    pthread_join(server->thread, NULL);
    close(server->listener);
}
