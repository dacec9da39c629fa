#include "response_server.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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
        server->was_closed = broken_response_repeat(fd, server->repeated);
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
